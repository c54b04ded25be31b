//! What operators ask of a node and get, by JSON on the admin port.

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

/// One screen on how the installation fares, as one node sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Node that answers.
    pub node: NodeId,
    /// Time since it started.
    pub up: Duration,
    /// Revision of its configuration, if it has one.
    pub config_revision: Option<Revision>,
    /// Whether it takes new work.
    pub ready: bool,
    /// Live nodes.
    pub nodes: u32,
    /// Replicas that the configuration wants, by deployment.
    pub deployments: Vec<DeploymentStatus>,
    /// What is wrong, most important first.
    pub problems: Vec<Problem>,
}

/// Replicas of one deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeploymentStatus {
    /// The deployment.
    pub id: DeploymentId,
    /// Replicas wanted.
    pub wanted: u32,
    /// Replicas in the records.
    pub formed: u32,
    /// Replicas that may be routed to.
    pub serving: u32,
}

/// Something that is not as it should be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// What it is.
    pub what: String,
    /// Time that it has lasted, as far as the node knows.
    pub lasting: Option<Duration>,
    /// What the system does about it.
    pub doing: String,
    /// What the operator can do.
    pub advice: String,
}

/// Replica as one node sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The replica.
    pub id: ReplicaId,
    /// Epoch of its record.
    pub epoch: Epoch,
    /// Its deployment.
    pub deployment: DeploymentId,
    /// Model.
    pub model: ModelId,
    /// Version.
    pub version: ModelVersion,
    /// Zone of its first member.
    pub zone: AvailabilityZone,
    /// Members, the one that takes requests first.
    pub members: Vec<InstanceId>,
    /// Why it may not be routed to, if so.
    pub not_routable: Option<NotRoutable>,
    /// Requests of the answering node on it.
    pub in_flight: u32,
    /// Load as last heard.
    pub load: LoadReport,
}

/// Node as another sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node.
    pub id: NodeId,
    /// Its zone.
    pub zone: AvailabilityZone,
    /// Address for peers.
    pub peer_addr: std::net::SocketAddr,
    /// Whether it is the one that answers.
    pub this: bool,
}

/// Question for decisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExplainQuestion {
    /// All about one subject.
    About(Subject),
    /// The last refusals.
    Refusals,
}

/// Decisions of one node, with the sentences that an operator reads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Node that decided.
    pub node: NodeId,
    /// Decisions, in order of time.
    pub decisions: Vec<ExplainedDecision>,
}

/// One decision and its sentence.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainedDecision {
    /// The decision.
    #[serde(flatten)]
    pub recorded: RecordedDecision,
    /// Its sentence.
    pub sentence: String,
}

impl From<RecordedDecision> for ExplainedDecision {
    fn from(recorded: RecordedDecision) -> Self {
        let sentence = recorded.decision.to_string();
        Self { recorded, sentence }
    }
}

/// Configuration as operators see it, without digests of keys and tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigView {
    /// Its version; none before the first one.
    pub revision: Option<Revision>,
    /// The document.
    pub config: Config,
}

/// Change of the configuration, as an operator asks for it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Id of the change; a resend carries the same.
    pub change: ChangeId,
    /// Version that it is made from; none for the first document.
    pub base: Option<Revision>,
    /// When it was made, on the operator's clock.
    pub at_unix_ms: u64,
    /// What to change.
    pub edit: ConfigChange,
    /// Latest version that the service lost when it was restored to an older
    /// state, and that this change replaces.
    #[serde(default)]
    pub replaces_lost: Option<Revision>,
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeFound {
    /// Version that it became, if it was committed.
    pub revision: Option<Revision>,
}

/// Level of logs, such as `info` or `citrongw=debug`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogLevel {
    /// The filter.
    pub level: String,
}

/// State of a node, complete but for secrets and bounded in size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Dump {
    /// The same as in `status`.
    pub status: Status,
    /// Nodes that it holds for alive.
    pub nodes: Vec<NodeStatus>,
    /// Replicas that it knows, the first of them.
    pub replicas: Vec<ReplicaStatus>,
    /// Replicas left out.
    pub replicas_left_out: u64,
    /// Configuration without digests of keys.
    pub config: Option<Config>,
    /// The last decisions.
    pub decisions: Vec<ExplainedDecision>,
    /// Settings that the node runs under, without secrets.
    pub settings: Vec<SettingValue>,
}

/// One setting.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingValue {
    /// Its name, such as `node.zone`.
    pub name: String,
    /// Its value as text.
    pub value: String,
}

/// Request for an act on a replica or an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActRequest {
    /// Id of the act; a resend carries the same.
    pub attempt: AttemptId,
}

/// Answer to the request for an act.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ActReply {
    /// It stands in the record and will be carried out.
    Recorded,
    /// It was not recorded.
    Refused {
        /// Why.
        reason: String,
    },
    /// It may have been recorded.
    Unknown,
}
