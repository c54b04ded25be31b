//! Events of a history.

use bytes::Bytes;
use citrongw_coordination::claims::shard;
use citrongw_protocol::store::{Snapshot, StoreResult, Write, WriteResult};
use citrongw_state::id::AttemptId;

/// One copy of a caller's request.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    /// Number of the request in the history.
    pub(crate) id: usize,
    /// Idempotency key.
    pub(crate) key: u128,
    /// Request body.
    pub(crate) body: String,
}

/// Response to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Response {
    /// This attempt did not run and will not run.
    NotRun(AttemptId),
    /// The key was used for another body.
    KeyReused,
    /// The call may have run, or is still running.
    Unknown,
    /// The call ran and returned this body.
    Completed(Bytes),
}

/// Scheduled delivery of a message or fault.
#[derive(Debug)]
pub(crate) enum Delivery {
    /// A request at a node.
    Node(usize, NodeEvent),
    /// A call at the store.
    Store(Origin, StoreCall),
    /// A call at the backend server.
    Backend(Origin, AttemptId, Call),
    /// A caller sends the next request.
    Caller(usize),
    /// A node crashes and is replaced by a new one.
    Crash(usize),
    /// A node is suspended for some microseconds.
    Pause(usize, u64),
    /// The store begins or ends an outage.
    Outage(bool),
}

/// Node process that a reply goes to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Origin {
    /// Index of the node.
    pub(crate) node: usize,
    /// Incarnation of the node.
    pub(crate) incarnation: u64,
    /// Number of the store call of that incarnation.
    pub(crate) call: u64,
}

/// Call to the store.
#[derive(Debug, Clone)]
pub(crate) enum StoreCall {
    /// Reads the shard.
    Read,
    /// Writes the shard.
    Write(Write),
}

/// Reply of the store, a timeout, or the end of a pause.
#[derive(Debug, Clone)]
pub(crate) enum StoreReply {
    /// To a read.
    Read(StoreResult<Snapshot>),
    /// To a write.
    Write(StoreResult<WriteResult>),
    /// The pause between two calls is over.
    Resumed,
}

impl From<StoreReply> for shard::Event {
    fn from(reply: StoreReply) -> Self {
        match reply {
            StoreReply::Read(res) => Self::ReadDone(res),
            StoreReply::Write(res) => Self::WriteDone(res),
            StoreReply::Resumed => Self::Resumed,
        }
    }
}

/// Event at a node.
#[derive(Debug)]
pub(crate) enum NodeEvent {
    /// A request.
    Request(Call),
    /// A reply of the store to a call of one incarnation.
    Store(Origin, StoreReply),
    /// A slot granted to the shard of one incarnation.
    SlotGranted(u64),
    /// An event of an attempt of one incarnation.
    Attempt(u64, AttemptId, AttemptEvent),
}

/// Event of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AttemptEvent {
    /// The deadline of its claim has passed.
    ClaimDeadline,
    /// The deadline for the response to its caller has passed.
    CallDeadline,
    /// The attempt sends its call.
    Send,
    /// The backend server responded.
    Responded(Bytes),
    /// The exchange was interrupted or timed out.
    Interrupted,
}
