//! Domain records in the key-value service and their keys.
//!
//! One record per fabric domain contains the agreed state of its instances. An
//! instance is allocated while any part of its domain's record contains it. It
//! is free only when no part does and its engine reports that it serves
//! nothing.

use citrongw_state::{
    id::{
        AdapterId, AttemptId, DeploymentId, Epoch, FabricDomainId, Incarnation, InstanceId,
        ModelVersion, NodeId, ReplicaId,
    },
    replica::{Member, NotRoutable, ReplicaSpec},
};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::store::Key;

/// Key of the configuration document.
pub const CONFIG_KEY: &str = "citrongw/config";
/// Key prefix of the domain records.
pub const DOMAIN_PREFIX: &str = "citrongw/domain/";

/// Returns the key of a domain's record.
pub fn domain_key(domain: &FabricDomainId) -> Key {
    format!("{DOMAIN_PREFIX}{domain}").into()
}

/// Returns the domain of a record's key. None if it is not the key of a domain
/// record.
pub fn domain_of_key(key: &Key) -> Option<FabricDomainId> {
    key.as_str().strip_prefix(DOMAIN_PREFIX).map(FabricDomainId::from)
}

/// Allocations of a fabric domain. Every change is one compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DomainRecord {
    /// Fencing token, increased with each change of owner and each change of
    /// members.
    pub epoch: Epoch,
    /// Node that controls the domain.
    pub owner: Option<NodeId>,
    /// Id of the write that produced this value. The owner looks it up after a
    /// lost reply.
    pub attempt: AttemptId,
    /// Replicas whose first member is in this domain.
    pub replicas: Vec<ReplicaSpec>,
    /// Replicas that span domains and whose instances are still being claimed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pending: Vec<ReplicaSpec>,
    /// Replicas that replace others under repair. A repair with instances of
    /// other domains creates a new replica, so that a claim of an earlier
    /// repair cannot be mistaken for one of this repair.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub replacements: Vec<Replacement>,
    /// Replicas that accept no new work and whose members are still allocated.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub draining: Vec<DrainingReplica>,
    /// Instances of this domain that are allocated to replicas of other
    /// domains.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub foreign: Vec<ForeignClaim>,
    /// Members that were removed from a replica and have not yet reported that
    /// they are free.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub releasing: Vec<Member>,
    /// Instances that accept no new work.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<LeavingMark>,
    /// Instances that an operator returned to service although they were
    /// leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub returned: Vec<ReturnedMark>,
    /// Weight loads that are running or waiting because of the weight store's
    /// rate limit.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<WeightLoad>,
    /// Replicas of this domain that are not serving, as observed by the owner.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub down: Vec<DownReplica>,
    /// Instances that belong to no replica and cannot be used at present.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unusable: Vec<InstanceId>,
    /// Planned changes that failed in this domain.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed_changes: Vec<FailedChange>,
    /// Changes requested by operators, newest last.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub asked: Vec<AttemptId>,
}

/// Replacement of a replica under repair by a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replacement {
    /// Id of the new replica.
    pub new: ReplicaId,
    /// Id of the replica under repair.
    pub old: ReplicaId,
}

/// Reason for draining a replica.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "snake_case")]
pub enum DrainCause {
    /// An operator requested it.
    #[display("operator")]
    Operator,
    /// The deployment has more replicas than configured.
    #[display("more replicas than wanted")]
    Excess,
    /// The version or the adapters of the replica are to change.
    #[display("planned change")]
    Change,
    /// The replica cannot be repaired, or its members complete other replicas.
    #[display("members complete other replicas")]
    TakenApart,
}

/// Replica that accepts no new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainingReplica {
    /// Members and model of the replica.
    pub spec: ReplicaSpec,
    /// Reason for draining the replica.
    pub cause: DrainCause,
}

/// Instance that is allocated to a replica of another domain. The claim is
/// valid while the record of that domain contains the replica with this member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForeignClaim {
    /// Instance with the incarnation that was claimed.
    pub member: Member,
    /// Id of the replica.
    pub replica: ReplicaId,
    /// Home domain of the replica.
    pub home: FabricDomainId,
}

/// Reason that an instance is leaving.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "snake_case")]
pub enum LeavingCause {
    /// The platform's instance list marks it as leaving.
    #[display("instance list")]
    Listed,
    /// Its engine reports that it is leaving.
    #[display("engine")]
    Engine,
    /// An operator requested it.
    #[display("operator")]
    Operator,
    /// It is slower than its peers.
    #[display("straggler")]
    Straggler,
}

/// Marks an instance that accepts no new work. The mark applies to one
/// incarnation of the instance's process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingMark {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Incarnation that is leaving.
    pub incarnation: Incarnation,
    /// Reason that the instance is leaving.
    pub cause: LeavingCause,
}

/// Marks an instance that an operator returned to service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnedMark {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Incarnation that was returned to service.
    pub incarnation: Incarnation,
}

/// Replica that is not serving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DownReplica {
    /// Id of the replica.
    pub replica: ReplicaId,
    /// Reason given by the first member that fails the routability check.
    pub cause: NotRoutable,
}

/// Load of model weights by members of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightLoad {
    /// Id of the replica.
    pub replica: ReplicaId,
    /// Number of members that load weights.
    pub members: u32,
    /// Number of accelerators that will serve once the load has finished.
    pub accelerators: u32,
    /// Whether the load has started.
    pub running: bool,
}

/// Planned change that was stopped and is rolled back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedChange {
    /// Id of the deployment.
    pub deployment: DeploymentId,
    /// Model version that the change was to deploy.
    pub version: ModelVersion,
    /// Adapters of that version.
    pub adapters: Vec<AdapterId>,
    /// Version to roll back to.
    pub previous_version: ModelVersion,
    /// Adapters to roll back to.
    pub previous_adapters: Vec<AdapterId>,
}

impl DomainRecord {
    /// Returns every allocated member, without those that are being released.
    pub fn allocated_members(&self) -> impl Iterator<Item = &Member> {
        let specs = self.replicas.iter().chain(&self.pending);
        let specs = specs.chain(self.draining.iter().map(|it| &it.spec));
        specs.flat_map(|it| &it.members).chain(self.foreign.iter().map(|it| &it.member))
    }

    /// Whether any part of the record contains the instance, as an allocated or
    /// releasing member.
    pub fn names_instance(&self, instance: &InstanceId) -> bool {
        self.allocated_members().chain(&self.releasing).any(|it| it.instance == *instance)
    }

    /// Whether this incarnation of the instance is marked as leaving.
    pub fn is_leaving(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        self.leaving.iter().any(|it| it.instance == *instance && it.incarnation == incarnation)
    }

    /// Whether an operator returned this incarnation of the instance to
    /// service.
    pub fn is_returned(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        self.returned.iter().any(|it| it.instance == *instance && it.incarnation == incarnation)
    }

    /// Returns a replica of any part of the record by its id.
    pub fn replica(&self, id: ReplicaId) -> Option<&ReplicaSpec> {
        let specs = self.replicas.iter().chain(&self.pending);
        specs.chain(self.draining.iter().map(|it| &it.spec)).find(|it| it.id == id)
    }

    /// Whether a replica whose home is this domain still has the instance of
    /// another domain as a member.
    pub fn confirms_claim(&self, replica: ReplicaId, instance: &InstanceId) -> bool {
        self.replica(replica).is_some_and(|it| it.members.iter().any(|m| m.instance == *instance))
    }

    /// Returns the replica that the new one replaces.
    pub fn replaced_by(&self, new: ReplicaId) -> Option<ReplicaId> {
        self.replacements.iter().find(|it| it.new == new).map(|it| it.old)
    }

    /// Whether a repair of the replica is in progress.
    pub fn is_under_repair(&self, old: ReplicaId) -> bool {
        self.replacements.iter().any(|it| it.old == old)
    }
}

#[cfg(test)]
mod tests;
