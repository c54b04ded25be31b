//! Decisions as the system explains them: typed, and one plain sentence each.

use std::time::Duration;

use citrongw_state::id::{ReplicaId, RequestId};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::code::ResultCode;

/// One decision. Its text is the sentence that an operator reads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Display)]
pub enum Decision {
    /// A request was sent to a replica.
    #[display("request {request} went to replica {replica}, attempt {attempt}")]
    Routed {
        /// The request.
        request: RequestId,
        /// The replica.
        replica: ReplicaId,
        /// Attempts so far, this one among them.
        attempt: u32,
    },
    /// A request was answered with an error.
    #[display("request {request} was refused: {code} (outcome {})", code.outcome())]
    Refused {
        /// The request.
        request: RequestId,
        /// The code.
        code: ResultCode,
    },
}

/// Decision with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordedDecision {
    /// Time since the start of the node.
    pub at: Duration,
    /// The decision.
    pub decision: Decision,
}

/// What a decision is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subject {
    /// A request.
    Request(RequestId),
    /// A replica.
    Replica(ReplicaId),
}

impl Decision {
    /// Whether the decision is about `subject`.
    pub fn concerns(&self, subject: Subject) -> bool {
        match (self, subject) {
            (
                Self::Routed { request, .. } | Self::Refused { request, .. },
                Subject::Request(id),
            ) => *request == id,
            (Self::Routed { replica, .. }, Subject::Replica(id)) => *replica == id,
            (Self::Refused { .. }, Subject::Replica(_)) => false,
        }
    }
}
