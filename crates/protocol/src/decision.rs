//! Decisions as the system explains them: typed, and one plain sentence each.

use std::time::Duration;

use citrongw_state::id::{AvailabilityZone, NodeId, ReplicaId, RequestId, Revision};
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
    /// A configuration was put in force.
    #[display("configuration version {revision} is in force")]
    ConfigInForce {
        /// Its version.
        revision: Revision,
    },
    /// The key-value service holds an older configuration than this node.
    #[display(
        "the key-value service went back to configuration version {found}; version {held} stays \
         in force until an operator decides"
    )]
    ConfigWentBack {
        /// Version in force.
        held: Revision,
        /// Version in the service.
        found: Revision,
    },
    /// The key-value service holds a configuration that lacks a change.
    #[display(
        "configuration version {found} does not descend from version {held}, which stays in force \
         until an operator decides"
    )]
    ConfigForked {
        /// Version in force.
        held: Revision,
        /// Version in the service.
        found: Revision,
    },
    /// A node is held for dead.
    #[display("node {node} is held for dead: it did not answer, and did not refute")]
    NodeDied {
        /// The node.
        node: NodeId,
    },
    /// The nodes of this node's zone were recorded.
    #[display("record of zone {zone} names {members} nodes, as version {revision}")]
    NodesRecorded {
        /// The zone.
        zone: AvailabilityZone,
        /// Nodes in the record.
        members: usize,
        /// Its version.
        revision: Revision,
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
            (Self::Refused { .. }, Subject::Replica(_))
            | (
                Self::ConfigInForce { .. }
                | Self::ConfigWentBack { .. }
                | Self::ConfigForked { .. }
                | Self::NodeDied { .. }
                | Self::NodesRecorded { .. },
                _,
            ) => false,
        }
    }
}
