//! Items that nodes gossip in addition to liveness and configuration.
//!
//! Items can be received repeatedly and out of order. Each contains what the
//! receiver needs to keep the larger sequence number or the union.

use citrongw_state::id::{
    Epoch, FabricDomainId, Fingerprint, Incarnation, InstanceId, NodeId, OrganisationId, ReplicaId,
};
use serde::{Deserialize, Serialize};

/// Event or measurement that nodes spread by gossip.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GossipItem {
    /// An instance is leaving. This is permanent for the incarnation of its
    /// process.
    Leaving(LeavingInstance),
    /// A replica died with a request in flight.
    Suspicion(CrashEvidence),
    /// A suspected request succeeded.
    Cleared(SuspicionCleared),
    /// Demand of an organisation at one node.
    Demand(OrganisationDemand),
    /// The record of a domain changed. The receiver reads it.
    DomainChanged(RecordChange),
    /// An operator requests the planned shutdown of a node.
    StopNode(NodeId),
}

/// Instance that accepts no new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingInstance {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Incarnation of the process that is leaving.
    pub incarnation: Incarnation,
}

/// Death of a replica with a request in flight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Id of the replica that died.
    pub replica: ReplicaId,
    /// Incarnation of the replica's first member at its death.
    pub incarnation: Incarnation,
    /// Number of other requests that were in flight on the replica.
    pub others_in_flight: u32,
}

/// Success of a request that was suspected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionCleared {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
}

/// Demand of an organisation at one node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrganisationDemand {
    /// Id of the organisation.
    pub organisation: OrganisationId,
    /// Id of the node.
    pub node: NodeId,
    /// Sequence number, increased with each report of the node.
    pub sequence: u64,
    /// Rate of arriving requests per second.
    pub requests_per_s: f32,
}

/// Change of a domain's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordChange {
    /// Id of the fabric domain.
    pub domain: FabricDomainId,
    /// Epoch of the record.
    pub epoch: Epoch,
    /// Revision of the key-value service at which the record was written.
    pub revision: citrongw_state::id::Revision,
}
