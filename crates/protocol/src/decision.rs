//! Decisions as the system explains them: typed, and one plain sentence each.

pub mod control;

use std::time::Duration;

use citrongw_state::{
    admission,
    id::{AttemptId, AvailabilityZone, NodeId, ReplicaId, RequestId, Revision},
    retry, routing, straggler,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use self::control::ControlDecision;
use crate::code::{Outcome, ResultCode};

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
    /// A broken or silent stream was taken up again where it runs.
    #[display("request {request} was taken up again on replica {replica} from token {offset}")]
    Resumed {
        /// The request.
        request: RequestId,
        /// The replica.
        replica: ReplicaId,
        /// First token asked for.
        offset: u64,
    },
    /// A request whose caller had no part of an answer was given up on a
    /// replica, to run elsewhere.
    #[display("request {request} was given up on replica {replica} and runs again")]
    RunAgain {
        /// The request.
        request: RequestId,
        /// The replica that lost it.
        replica: ReplicaId,
    },
    /// A second attempt was started beside a slow first one.
    #[display("request {request} was sent to replica {replica} as well: the first is slow")]
    Hedged {
        /// The request.
        request: RequestId,
        /// The replica.
        replica: ReplicaId,
    },
    /// A caller went away before its answer ended.
    #[display("request {request} was cancelled: its caller left")]
    CallerLeft {
        /// The request.
        request: RequestId,
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
    /// A replica was chosen among the candidates of a request.
    #[display("replica {replica} was chosen for request {request}: {reason}")]
    Chosen {
        /// The request.
        request: RequestId,
        /// The replica.
        replica: ReplicaId,
        /// Why.
        reason: routing::Reason,
    },
    /// No replica was chosen for a request.
    #[display("no replica was chosen for request {request}: {reason}")]
    NotChosen {
        /// The request.
        request: RequestId,
        /// Why.
        reason: routing::NoChoice,
    },
    /// A request was not admitted.
    #[display("request {request} was not admitted: {refusal}")]
    NotAdmitted {
        /// The request.
        request: RequestId,
        /// Why.
        refusal: admission::Refusal,
    },
    /// A failed attempt was not made again.
    #[display("request {request} was not tried again: {reason}")]
    NotRetried {
        /// The request.
        request: RequestId,
        /// Why.
        reason: retry::NoRetry,
    },
    /// A replica was ejected as a straggler, tried again, or returned.
    #[display("replica {replica} {change}")]
    Straggler {
        /// The replica.
        replica: ReplicaId,
        /// What changed.
        change: straggler::EjectionChange,
    },
    /// A request runs alone among suspects.
    #[display("request {request} runs on replica {replica} in isolation after {deaths} deaths")]
    Isolated {
        /// The request.
        request: RequestId,
        /// The replica.
        replica: ReplicaId,
        /// Replicas that died with it in flight.
        deaths: u32,
    },
    /// A request is refused for the replicas that it crashed.
    #[display("request {request} was refused: {deaths} replicas died with it in flight")]
    Contained {
        /// The request.
        request: RequestId,
        /// Replicas that died with it in flight.
        deaths: u32,
    },
    /// An at-most-once call was claimed; its attempt sends it, once.
    #[display("request {request} holds the claim of its call, attempt {attempt}")]
    CallClaimed {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// The attempt of an at-most-once call has ended.
    #[display("request {request} ended attempt {attempt} of its call: {outcome}")]
    CallSettled {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// What became of it.
        outcome: Outcome,
    },
    /// A resend of an at-most-once call got the stored answer.
    #[display("request {request} got the answer that attempt {attempt} left; nothing ran again")]
    CallReplayed {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// What replica control decided.
    #[display("{_0}")]
    Control(ControlDecision),
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
    pub fn is_about(&self, subject: Subject) -> bool {
        match (self, subject) {
            (
                Self::Routed { request, .. }
                | Self::Resumed { request, .. }
                | Self::RunAgain { request, .. }
                | Self::Hedged { request, .. }
                | Self::CallerLeft { request }
                | Self::Refused { request, .. }
                | Self::Chosen { request, .. }
                | Self::NotChosen { request, .. }
                | Self::NotAdmitted { request, .. }
                | Self::NotRetried { request, .. }
                | Self::Isolated { request, .. }
                | Self::Contained { request, .. }
                | Self::CallClaimed { request, .. }
                | Self::CallSettled { request, .. }
                | Self::CallReplayed { request, .. },
                Subject::Request(id),
            ) => *request == id,
            (
                Self::Routed { replica, .. }
                | Self::Resumed { replica, .. }
                | Self::RunAgain { replica, .. }
                | Self::Hedged { replica, .. }
                | Self::Chosen { replica, .. }
                | Self::Straggler { replica, .. }
                | Self::Isolated { replica, .. },
                Subject::Replica(id),
            ) => *replica == id,
            (Self::Control(decision), Subject::Replica(id)) => decision.is_about(id),
            _ => false,
        }
    }
}
