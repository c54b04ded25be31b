//! Records in the key-value service, and their keys.
//!
//! One record per fabric domain holds all that is agreed of its instances. An
//! instance is allocated while any part of its domain's record names it, and
//! free only when none does and its engine says that it serves nothing.

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
/// Prefix of the domain records.
pub const DOMAIN_PREFIX: &str = "citrongw/domain/";

/// Key of a domain's record.
pub fn domain_key(domain: &FabricDomainId) -> Key {
    format!("{DOMAIN_PREFIX}{domain}").into()
}

/// Domain of a record's key.
pub fn domain_of_key(key: &Key) -> Option<FabricDomainId> {
    key.as_str().strip_prefix(DOMAIN_PREFIX).map(FabricDomainId::from)
}

/// Allocations of one fabric domain. Every change is one compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DomainRecord {
    /// Fencing number; grows with each owner and with each change of members.
    pub epoch: Epoch,
    /// Node that controls the domain.
    pub owner: Option<NodeId>,
    /// The write that made this value, to be looked up when its reply is lost.
    pub attempt: AttemptId,
    /// Replicas whose first member is in this domain.
    pub replicas: Vec<ReplicaSpec>,
    /// Replicas across domains whose instances are still being claimed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pending: Vec<ReplicaSpec>,
    /// Which replicas take the place of which under repair. A repair with
    /// instances of other domains is a new replica, so that no claim of an
    /// earlier repair can be taken for one of it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub replacements: Vec<Replacement>,
    /// Replicas that take no new work, with their members still allocated.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub draining: Vec<DrainingReplica>,
    /// Instances of this domain that replicas of other domains hold.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub foreign: Vec<ForeignClaim>,
    /// Members that left a replica and have not said that they are free.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub releasing: Vec<Member>,
    /// Instances that take no new work.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<LeavingMark>,
    /// Instances that an operator returned though they were leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub returned: Vec<ReturnedMark>,
    /// Weight loads under way or waiting for the store's rate.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<WeightLoad>,
    /// Replicas of this domain that are not serving, as its owner sees them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub down: Vec<DownReplica>,
    /// Instances that no replica holds and that cannot be used now.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unusable: Vec<InstanceId>,
    /// Planned changes that failed here.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed_changes: Vec<FailedChange>,
    /// Changes asked for by operators, the newest last.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub asked: Vec<AttemptId>,
}

/// Replica that takes the place of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replacement {
    /// The new replica.
    pub new: ReplicaId,
    /// The one under repair.
    pub old: ReplicaId,
}

/// Why a replica drains.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "snake_case")]
pub enum DrainCause {
    /// An operator asked for it.
    #[display("operator")]
    Operator,
    /// There are more replicas than wanted.
    #[display("more replicas than wanted")]
    Excess,
    /// Its version or adapters are to change.
    #[display("planned change")]
    Change,
    /// It cannot be repaired, or completes others.
    #[display("members complete other replicas")]
    TakenApart,
}

/// Replica that takes no new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainingReplica {
    /// The replica.
    pub spec: ReplicaSpec,
    /// Why.
    pub cause: DrainCause,
}

/// Instance held by a replica of another domain. It holds while that domain's
/// record names both.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForeignClaim {
    /// The instance, and the start that was claimed.
    pub member: Member,
    /// The replica.
    pub replica: ReplicaId,
    /// Domain of the replica.
    pub home: FabricDomainId,
}

/// Why an instance is leaving.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "snake_case")]
pub enum LeavingCause {
    /// The platform's list says so.
    #[display("instance list")]
    Listed,
    /// Its engine says so.
    #[display("engine")]
    Engine,
    /// An operator asked for it.
    #[display("operator")]
    Operator,
    /// It is slower than its peers.
    #[display("straggler")]
    Straggler,
}

/// Mark that an instance takes no new work. It sticks to one start of the
/// instance's process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingMark {
    /// The instance.
    pub instance: InstanceId,
    /// The start that is leaving.
    pub incarnation: Incarnation,
    /// Why.
    pub cause: LeavingCause,
}

/// Mark that an operator let an instance work again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnedMark {
    /// The instance.
    pub instance: InstanceId,
    /// The start that works again.
    pub incarnation: Incarnation,
}

/// Replica that is not serving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DownReplica {
    /// The replica.
    pub replica: ReplicaId,
    /// What the first such member lacks.
    pub cause: NotRoutable,
}

/// Weights that members of a replica load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightLoad {
    /// The replica.
    pub replica: ReplicaId,
    /// Members that load.
    pub members: u32,
    /// Accelerators that serve once it is done.
    pub accelerators: u32,
    /// Whether it has begun.
    pub running: bool,
}

/// Planned change that was halted and is rolled back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedChange {
    /// Deployment that was to change.
    pub deployment: DeploymentId,
    /// Version that failed.
    pub version: ModelVersion,
    /// Adapters that it came with.
    pub adapters: Vec<AdapterId>,
    /// Version to go back to.
    pub previous_version: ModelVersion,
    /// Adapters to go back to.
    pub previous_adapters: Vec<AdapterId>,
}

impl DomainRecord {
    /// Every allocation of an instance: who names it, without those released.
    pub fn allocated_members(&self) -> impl Iterator<Item = &Member> {
        let specs = self.replicas.iter().chain(&self.pending);
        let specs = specs.chain(self.draining.iter().map(|it| &it.spec));
        specs.flat_map(|it| &it.members).chain(self.foreign.iter().map(|it| &it.member))
    }

    /// Whether anything here names the instance.
    pub fn names_instance(&self, instance: &InstanceId) -> bool {
        self.allocated_members().chain(&self.releasing).any(|it| it.instance == *instance)
    }

    /// Whether this start of the instance is marked as leaving.
    pub fn is_leaving(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        self.leaving.iter().any(|it| it.instance == *instance && it.incarnation == incarnation)
    }

    /// Whether an operator returned this start of the instance.
    pub fn is_returned(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        self.returned.iter().any(|it| it.instance == *instance && it.incarnation == incarnation)
    }

    /// Replica by id, in whatever part of the record.
    pub fn replica(&self, id: ReplicaId) -> Option<&ReplicaSpec> {
        let specs = self.replicas.iter().chain(&self.pending);
        specs.chain(self.draining.iter().map(|it| &it.spec)).find(|it| it.id == id)
    }

    /// Whether a replica homed here still holds the foreign instance.
    pub fn confirms_claim(&self, replica: ReplicaId, instance: &InstanceId) -> bool {
        self.replica(replica).is_some_and(|it| it.members.iter().any(|m| m.instance == *instance))
    }

    /// Replica whose place the new one takes.
    pub fn replaced_by(&self, new: ReplicaId) -> Option<ReplicaId> {
        self.replacements.iter().find(|it| it.new == new).map(|it| it.old)
    }

    /// Whether a repair of the replica is under way.
    pub fn is_under_repair(&self, old: ReplicaId) -> bool {
        self.replacements.iter().any(|it| it.old == old)
    }
}

#[cfg(test)]
mod tests;
