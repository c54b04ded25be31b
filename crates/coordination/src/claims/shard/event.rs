//! Events that a shard handles, and the actions it returns.

use std::time::Duration;

use citrongw_protocol::store::{Key, Snapshot, StoreResult, Write, WriteResult};
use citrongw_state::{
    claim::{ClaimKey, ClaimRequest, Settlement},
    id::AttemptId,
};

use super::Verdict;

/// Operation that an attempt submits to its shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Op {
    /// Claims the call. `replaces` is an attempt that ended without a known
    /// outcome and whose claim may be taken over.
    Claim {
        /// Call to claim, with the attempt that claims it.
        request: ClaimRequest,
        /// Attempt to take over from.
        replaces: Option<AttemptId>,
    },
    /// Ends the attempt. Cancels its claim if the claim has no result yet.
    Settle {
        /// Key of the call.
        key: ClaimKey,
        /// Attempt that ends.
        attempt: AttemptId,
        /// Outcome to record.
        settlement: Settlement,
    },
}

/// Event that a shard handles.
#[derive(Debug)]
pub enum Event {
    /// An attempt submitted an operation.
    Submitted(Op),
    /// The read returned or failed.
    ReadDone(StoreResult<Snapshot>),
    /// The write returned or failed.
    WriteDone(StoreResult<WriteResult>),
    /// The pause is over.
    Resumed,
    /// A slot was granted: the shard may call the service until it releases the
    /// slot.
    SlotGranted,
}

/// Action that a shard requests.
#[derive(Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the shard.
    Read(Key),
    /// Write the shard.
    Write(Write),
    /// Resume after a pause.
    Pause(Duration),
    /// Grant a slot when one is free.
    RequestSlot,
    /// Release the slot.
    ReleaseSlot,
    /// Report the verdict on its claim to an attempt.
    ReportVerdict(AttemptId, Verdict),
    /// Report to an attempt that its end is recorded.
    ReportSettled(AttemptId),
}
