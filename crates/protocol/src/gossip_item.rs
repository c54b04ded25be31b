//! What nodes tell each other beside liveness and configuration.
//!
//! Each item carries what is needed to take it in twice or out of order: the
//! receiver keeps the larger sequence or the union.

use citrongw_state::id::{
    Epoch, FabricDomainId, Fingerprint, Incarnation, InstanceId, NodeId, OrganisationId, ReplicaId,
};
use serde::{Deserialize, Serialize};

/// One item.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GossipItem {
    /// An instance is leaving; holds for this start of its process for good.
    Leaving(LeavingInstance),
    /// Replicas died with a request in flight.
    Suspicion(CrashEvidence),
    /// A suspected request succeeded.
    Cleared(SuspicionCleared),
    /// Demand of an organisation at one node.
    Demand(OrganisationDemand),
    /// A domain's record changed: read it.
    DomainChanged(RecordChange),
    /// An operator asks a node for its planned stop.
    StopNode(NodeId),
}

/// Instance that takes no new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingInstance {
    /// The instance.
    pub instance: InstanceId,
    /// The start of its process that is leaving.
    pub incarnation: Incarnation,
}

/// A replica's death with a request in flight on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The replica that died.
    pub replica: ReplicaId,
    /// The start of its first member that died.
    pub incarnation: Incarnation,
    /// Other requests that were in flight beside it.
    pub beside: u32,
}

/// Success of a request that was suspected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionCleared {
    /// The request.
    pub fingerprint: Fingerprint,
}

/// Demand of an organisation at one node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrganisationDemand {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The node.
    pub node: NodeId,
    /// Grows with each report of the node.
    pub sequence: u64,
    /// Requests that arrived, a second.
    pub requests_per_s: f32,
}

/// Change of a domain's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordChange {
    /// The domain.
    pub domain: FabricDomainId,
    /// Epoch of the record.
    pub epoch: Epoch,
    /// Revision of the service that wrote it.
    pub revision: citrongw_state::id::Revision,
}
