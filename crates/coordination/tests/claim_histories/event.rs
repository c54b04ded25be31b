//! Events of a history.

use bytes::Bytes;
use citrongw_coordination::claims::shard;
use citrongw_protocol::store::{Snapshot, StoreResult, Write, WriteResult};
use citrongw_state::id::AttemptId;

/// A caller's request, one copy of it.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    /// Number of the request in the history.
    pub(crate) id: usize,
    /// Key.
    pub(crate) key: u128,
    /// Body.
    pub(crate) body: String,
}

/// What a caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Answer {
    /// This attempt did not run and won't.
    NotRun(AttemptId),
    /// The key was used for another body.
    Reused,
    /// It may have run, or still runs.
    Unknown,
    /// It ran.
    Completed(Bytes),
}

/// Place where something arrives.
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
    /// A node dies and a new one takes its place.
    Kill(usize),
    /// A node stands still for some microseconds.
    Pause(usize, u64),
    /// The store begins or ends an outage.
    Outage(bool),
}

/// Node process that a reply goes to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Origin {
    /// Place of the node.
    pub(crate) node: usize,
    /// Start of the node.
    pub(crate) start: u64,
    /// Call of that start.
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

/// Reply of the store, or the lack of one.
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

/// What arrives at a node.
#[derive(Debug)]
pub(crate) enum NodeEvent {
    /// A request.
    Request(Call),
    /// A reply of the store to a call of one start.
    Store(Origin, StoreReply),
    /// The turn of the shard of one start.
    Turn(u64),
    /// Something of an attempt of one start.
    Attempt(u64, AttemptId, AttemptEvent),
}

/// What happens to an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AttemptEvent {
    /// Its claim took too long.
    ClaimDeadline,
    /// Its caller must be answered.
    CallDeadline,
    /// It sends.
    Send,
    /// The backend server answered.
    Answered(Bytes),
    /// The exchange broke off or took too long.
    BrokenOff,
}
