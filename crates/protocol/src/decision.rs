//! Typed decisions of the system. Each one is displayed as a sentence for the
//! operator.

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

/// A decision. Its `Display` text is shown to operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Display)]
pub enum Decision {
    /// A request was sent to a replica.
    #[display("request {request} went to replica {replica}, attempt {attempt}")]
    Routed {
        /// Id of the request.
        request: RequestId,
        /// Id of the replica.
        replica: ReplicaId,
        /// Number of attempts so far, including this one.
        attempt: u32,
    },
    /// An interrupted or stalled stream was resumed on the replica that runs
    /// it.
    #[display("request {request} was taken up again on replica {replica} from token {offset}")]
    Resumed {
        /// Id of the request.
        request: RequestId,
        /// Id of the replica.
        replica: ReplicaId,
        /// Index of the first token that was requested.
        offset: u64,
    },
    /// A request was abandoned on a replica and runs on another one. Its caller
    /// had received no part of the response.
    #[display("request {request} was given up on replica {replica} and runs again")]
    RunAgain {
        /// Id of the request.
        request: RequestId,
        /// Id of the replica on which the request was abandoned.
        replica: ReplicaId,
    },
    /// A second attempt was started in parallel to a slow first one.
    #[display("request {request} was sent to replica {replica} as well: the first is slow")]
    Hedged {
        /// Id of the request.
        request: RequestId,
        /// Id of the replica.
        replica: ReplicaId,
    },
    /// A caller disconnected before the end of its response.
    #[display("request {request} was cancelled: its caller left")]
    CallerLeft {
        /// Id of the request.
        request: RequestId,
    },
    /// A request was rejected with an error.
    #[display("request {request} was refused: {code} (outcome {})", code.outcome())]
    Refused {
        /// Id of the request.
        request: RequestId,
        /// Result code of the response.
        code: ResultCode,
    },
    /// A configuration came into force.
    #[display("configuration version {revision} is in force")]
    ConfigInForce {
        /// Revision of the configuration.
        revision: Revision,
    },
    /// The key-value service holds an older configuration than this node.
    #[display(
        "the key-value service went back to configuration version {found}; version {held} stays \
         in force until an operator decides"
    )]
    ConfigWentBack {
        /// Revision in force.
        held: Revision,
        /// Revision in the key-value service.
        found: Revision,
    },
    /// The key-value service holds a configuration that does not descend from
    /// the one in force.
    #[display(
        "configuration version {found} does not descend from version {held}, which stays in force \
         until an operator decides"
    )]
    ConfigForked {
        /// Revision in force.
        held: Revision,
        /// Revision in the key-value service.
        found: Revision,
    },
    /// A node was declared dead.
    #[display("node {node} is held for dead: it did not answer, and did not refute")]
    NodeDied {
        /// Id of the node.
        node: NodeId,
    },
    /// The record of the nodes of this node's zone was written.
    #[display("record of zone {zone} names {members} nodes, as version {revision}")]
    NodesRecorded {
        /// The availability zone.
        zone: AvailabilityZone,
        /// Number of nodes in the record.
        members: usize,
        /// Revision of the record.
        revision: Revision,
    },
    /// A replica was chosen among the candidates of a request.
    #[display("replica {replica} was chosen for request {request}: {reason}")]
    Chosen {
        /// Id of the request.
        request: RequestId,
        /// Id of the replica.
        replica: ReplicaId,
        /// Reason of the decision.
        reason: routing::Reason,
    },
    /// No replica was chosen for a request.
    #[display("no replica was chosen for request {request}: {reason}")]
    NotChosen {
        /// Id of the request.
        request: RequestId,
        /// Reason of the decision.
        reason: routing::NoChoice,
    },
    /// A request was not admitted.
    #[display("request {request} was not admitted: {refusal}")]
    NotAdmitted {
        /// Id of the request.
        request: RequestId,
        /// Reason of the decision.
        refusal: admission::Refusal,
    },
    /// A failed attempt was not retried.
    #[display("request {request} was not tried again: {reason}")]
    NotRetried {
        /// Id of the request.
        request: RequestId,
        /// Reason of the decision.
        reason: retry::NoRetry,
    },
    /// A replica was ejected as a straggler, probed, or reinstated.
    #[display("replica {replica} {change}")]
    Straggler {
        /// Id of the replica.
        replica: ReplicaId,
        /// Change of the replica's state.
        change: straggler::EjectionChange,
    },
    /// A suspected request runs on a replica without other suspected requests.
    #[display("request {request} runs on replica {replica} in isolation after {deaths} deaths")]
    Isolated {
        /// Id of the request.
        request: RequestId,
        /// Id of the replica.
        replica: ReplicaId,
        /// Number of replicas that died while the request was in flight.
        deaths: u32,
    },
    /// A request was rejected because replicas died while it was in flight.
    #[display("request {request} was refused: {deaths} replicas died with it in flight")]
    Contained {
        /// Id of the request.
        request: RequestId,
        /// Number of replicas that died while the request was in flight.
        deaths: u32,
    },
    /// An at-most-once call was claimed. Only the claiming attempt sends it,
    /// once.
    #[display("request {request} holds the claim of its call, attempt {attempt}")]
    CallClaimed {
        /// Id of the request.
        request: RequestId,
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// The attempt of an at-most-once call has ended.
    #[display("request {request} ended attempt {attempt} of its call: {outcome}")]
    CallSettled {
        /// Id of the request.
        request: RequestId,
        /// Id of the attempt.
        attempt: AttemptId,
        /// Outcome of the call.
        outcome: Outcome,
    },
    /// A resend of an at-most-once call received the stored response.
    #[display("request {request} got the answer that attempt {attempt} left; nothing ran again")]
    CallReplayed {
        /// Id of the request.
        request: RequestId,
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// A decision of the replica control.
    #[display("{_0}")]
    Control(ControlDecision),
}

/// A decision with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordedDecision {
    /// Time since the start of the node.
    pub at: Duration,
    /// The decision itself.
    pub decision: Decision,
}

/// Request or replica that a decision is about.
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
