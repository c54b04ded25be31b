//! What a shard is told, and what it asks for.

use std::time::Duration;

use citrongw_protocol::store::{Key, Snapshot, StoreResult, Write, WriteResult};
use citrongw_state::{
    claim::{ClaimKey, ClaimRequest, Settlement},
    id::AttemptId,
};

use super::Verdict;

/// What an attempt wants of its shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Op {
    /// To claim its call. `replaces` is an attempt that has ended without a
    /// known outcome and whose claim may be taken over.
    Claim {
        /// The claim.
        request: ClaimRequest,
        /// Attempt to take over from.
        replaces: Option<AttemptId>,
    },
    /// To end. Cancels a claim of the attempt that has not been answered.
    Settle {
        /// Key of the call.
        key: ClaimKey,
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        settlement: Settlement,
    },
}

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// An attempt wants something.
    Submitted(Op),
    /// The read was answered or failed.
    ReadDone(StoreResult<Snapshot>),
    /// The write was answered or failed.
    WriteDone(StoreResult<WriteResult>),
    /// The pause is over.
    Resumed,
    /// The shard may call the service until it ends its turn.
    SlotGranted,
}

/// What to do.
#[derive(Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the shard.
    Read(Key),
    /// Write the shard.
    Write(Write),
    /// Resume after a pause.
    Pause(Duration),
    /// Grant a turn when one is free.
    RequestSlot,
    /// Take the turn back.
    ReleaseSlot,
    /// Tell an attempt what became of its claim.
    ReportVerdict(AttemptId, Verdict),
    /// Tell an attempt that its end is recorded.
    ReportSettled(AttemptId),
}
