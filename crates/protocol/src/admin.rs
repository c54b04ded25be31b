//! JSON requests and responses of the admin port.

use std::time::Duration;

use citrongw_state::{
    config::{Config, change::ConfigChange},
    id::{
        AttemptId, AvailabilityZone, ChangeId, DeploymentId, Epoch, InstanceId, ModelId,
        ModelVersion, NodeId, ReplicaId, Revision,
    },
    replica::NotRoutable,
};
use serde::{Deserialize, Serialize};

use crate::{
    decision::{RecordedDecision, Subject},
    engine::LoadReport,
};

/// Summary of the installation as one node observes it. It fits on one screen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Node that sends the response.
    pub node: NodeId,
    /// Time since the node started.
    pub up: Duration,
    /// Revision of the node's configuration. None if it has no configuration.
    pub config_revision: Option<Revision>,
    /// Whether the node accepts new work.
    pub ready: bool,
    /// Number of live nodes.
    pub nodes: u32,
    /// Replica counts of each deployment in the configuration.
    pub deployments: Vec<DeploymentStatus>,
    /// Current problems, most important first.
    pub problems: Vec<Problem>,
}

/// Replica counts of one deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeploymentStatus {
    /// Id of the deployment.
    pub id: DeploymentId,
    /// Replicas that the configuration specifies.
    pub wanted: u32,
    /// Replicas in the domain records.
    pub formed: u32,
    /// Replicas to which requests can be routed.
    pub serving: u32,
}

/// Problem of the installation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Description of the problem.
    pub what: String,
    /// Duration of the problem so far, if the node knows it.
    pub lasting: Option<Duration>,
    /// Action that the system takes.
    pub doing: String,
    /// Action that the operator can take.
    pub advice: String,
}

/// State of a replica as one node observes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Id of the replica.
    pub id: ReplicaId,
    /// Epoch of the replica's record.
    pub epoch: Epoch,
    /// Deployment of the replica.
    pub deployment: DeploymentId,
    /// Model that the replica serves.
    pub model: ModelId,
    /// Version of the model.
    pub version: ModelVersion,
    /// Availability zone of the first member.
    pub zone: AvailabilityZone,
    /// Members. The first one receives the requests.
    pub members: Vec<InstanceId>,
    /// Why no requests are routed to the replica. None if it can receive them.
    pub not_routable: Option<NotRoutable>,
    /// Requests that the responding node has in flight on the replica.
    pub in_flight: u32,
    /// Load as last reported.
    pub load: LoadReport,
}

/// A node as the responding node observes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Id of the node.
    pub id: NodeId,
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// Address for messages from other nodes.
    pub peer_addr: std::net::SocketAddr,
    /// Whether this is the responding node.
    pub this: bool,
}

/// Selects the decisions to explain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExplainQuestion {
    /// All decisions about one subject.
    About(Subject),
    /// The most recent refusals.
    Refusals,
}

/// Decisions of one node, with their explanations for the operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Node that made the decisions.
    pub node: NodeId,
    /// Decisions in chronological order.
    pub decisions: Vec<ExplainedDecision>,
}

/// A decision with its explanation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainedDecision {
    /// Decision with its time.
    #[serde(flatten)]
    pub recorded: RecordedDecision,
    /// Explanation in one sentence, the `Display` text of the decision.
    pub sentence: String,
}

impl From<RecordedDecision> for ExplainedDecision {
    fn from(recorded: RecordedDecision) -> Self {
        let sentence = recorded.decision.to_string();
        Self { recorded, sentence }
    }
}

/// Configuration as shown to operators, without digests of keys and tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigView {
    /// Revision of the document. None before the first one.
    pub revision: Option<Revision>,
    /// Configuration document.
    pub config: Config,
}

/// Change of the configuration that an operator requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Id of the change. A resend has the same id.
    pub change: ChangeId,
    /// Revision on which the change is based. None for the first document.
    pub base: Option<Revision>,
    /// Creation time in milliseconds since the Unix epoch, by the operator's
    /// clock.
    pub at_unix_ms: u64,
    /// Change to apply to the base document.
    pub edit: ConfigChange,
    /// Latest revision that the key-value service lost when it was restored to
    /// an older state, and that this change replaces.
    #[serde(default)]
    pub replaces_lost: Option<Revision>,
}

/// Result of looking up a change by its id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeLookup {
    /// Revision under which the change was committed. None if it was not
    /// committed.
    pub revision: Option<Revision>,
}

/// Log filter, such as `info` or `citrongw=debug`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogLevel {
    /// Filter directives.
    pub level: String,
}

/// State of a node for diagnosis, without secrets and bounded in size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Dump {
    /// Same content as the response to `status`.
    pub status: Status,
    /// Nodes that this node considers alive.
    pub nodes: Vec<NodeStatus>,
    /// The first of the replicas that the node knows.
    pub replicas: Vec<ReplicaStatus>,
    /// Number of known replicas that are not in `replicas`.
    pub replicas_left_out: u64,
    /// Configuration without digests of keys.
    pub config: Option<Config>,
    /// The most recent decisions.
    pub decisions: Vec<ExplainedDecision>,
    /// Settings in effect on the node, without secrets.
    pub settings: Vec<SettingValue>,
}

/// A setting with its value in effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingValue {
    /// Name of the setting, such as `node.zone`.
    pub name: String,
    /// Value as text.
    pub value: String,
}

/// Request for an operator action on a replica or an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionRequest {
    /// Id of the action. A resend has the same id.
    pub attempt: AttemptId,
}

/// Response to a request for an operator action.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ActionReply {
    /// The action is stored in the domain's record and will be carried out.
    Recorded,
    /// The action was not recorded.
    Refused {
        /// Reason of the refusal.
        reason: String,
    },
    /// The action may have been recorded.
    Unknown,
}
