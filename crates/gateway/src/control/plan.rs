//! Plan of a domain, stored as one record in the key-value service: its replicas,
//! their members and epochs.

use citrongw_protocol::store::Key;
use citrongw_state::id::{
    AttemptId, Epoch, FabricDomainId, Incarnation, InstanceId, ModelId, NodeId, PlainServiceId,
    ReplicaId, StoreEra,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::peers::OWNER_PREFIX;

/// Prefix of the keys of plans.
pub const PREFIX: &str = "citrongw/plan/";

/// Fabric domain of one service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{service}/{domain}")]
pub struct DomainKey {
    /// Service whose instances form the domain.
    pub service: PlainServiceId,
    /// Fabric domain within the service.
    pub domain: FabricDomainId,
}

impl DomainKey {
    /// Key of the domain's plan.
    pub fn plan_key(&self) -> Key {
        format!("{PREFIX}{self}").into()
    }

    /// Key that names the owner. It is attached to the owner's lease and is
    /// deleted with it.
    pub fn owner_key(&self) -> Key {
        format!("{OWNER_PREFIX}{self}").into()
    }
}

/// Member of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PlannedMember {
    /// Instance that is the member.
    pub instance: InstanceId,
    /// Incarnation of the instance's process. Another incarnation is not a
    /// member.
    pub incarnation: Incarnation,
}

/// Replica of a model as planned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedReplica {
    /// Id of the replica, which it keeps across epochs.
    pub id: ReplicaId,
    /// Epoch of the current member list.
    pub epoch: Epoch,
    /// Model that the replica serves.
    pub model: ModelId,
    /// Members by rank; the first one takes the requests.
    pub members: Vec<PlannedMember>,
}

impl PlannedReplica {
    /// Member that takes the requests, the first one.
    pub fn head(&self) -> Option<&PlannedMember> {
        self.members.first()
    }

    /// Ids of the members, in order.
    pub fn member_ids(&self) -> Vec<InstanceId> {
        self.members.iter().map(|it| it.instance.clone()).collect()
    }
}

/// Epochs that a write of the plan reserves beyond those that it assigns: for the joins of
/// spares until the next write, of which there is one for each repair.
const RESERVED_EPOCHS: u64 = 64;
/// Bits of an epoch below the era of the key-value service: more epochs than are given out
/// between two restores from a backup.
const ERA_SHIFT: u32 = 32;
/// Highest era that counts, so that JSON holds each epoch exactly.
const MAX_ERA: u64 = (1 << 20) - 1;
/// Epochs that an owner of a former build may have given out beyond the one in the record:
/// far more than one for each join of a spare between two writes.
const FORMER_BUILD_EPOCHS: u64 = 1 << 16;

/// Plan of a domain.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DomainPlan {
    /// Node that owns the domain and writes the plan.
    pub owner: NodeId,
    /// Id of the write that made this value.
    pub attempt: AttemptId,
    /// Highest epoch that may have been assigned so far. It only grows.
    pub epoch: Epoch,
    /// Replicas of the domain.
    pub replicas: Vec<PlannedReplica>,
    /// Models of the target replicas, one element for each replica.
    pub layout: Vec<ModelId>,
    /// Whether all epochs that were assigned are at most `epoch`. Former builds, which
    /// don't write it, also give out higher ones.
    #[serde(default)]
    pub has_all_epochs: bool,
}

/// Lowest epoch in an era of the key-value service. A backup may lack the epochs that were
/// given out since, but those of an earlier era are all lower.
pub(super) fn first_epoch(era: StoreEra) -> Epoch {
    Epoch(era.0.min(MAX_ERA) << ERA_SHIFT)
}

impl DomainPlan {
    /// Epoch that all epochs must exceed that are given out after a read of this plan.
    pub(super) fn epoch_floor(&self, era: StoreEra) -> Epoch {
        let is_of_former_build = !self.has_all_epochs && *self != Self::default();
        let unrecorded = if is_of_former_build { FORMER_BUILD_EPOCHS } else { 0 };
        Epoch(self.epoch.0.saturating_add(unrecorded)).max(first_epoch(era))
    }

    /// Reserves epochs after `last`, the last one that was given out.
    pub(super) fn reserve_epochs(&mut self, last: Epoch) {
        self.epoch = self.epoch.max(Epoch(last.0.saturating_add(RESERVED_EPOCHS)));
        self.has_all_epochs = true;
    }

    /// Whether the instance is a member of a replica.
    pub fn contains(&self, instance: &InstanceId) -> bool {
        self.replicas.iter().any(|it| it.members.iter().any(|it| it.instance == *instance))
    }

    /// Models of the layout that lack a replica, one element for each missing
    /// replica.
    pub fn missing_models(&self) -> Vec<ModelId> {
        let mut missing = self.layout.clone();
        for replica in &self.replicas {
            if let Some(idx) = missing.iter().position(|it| *it == replica.model) {
                missing.swap_remove(idx);
            }
        }
        missing.sort();
        missing
    }
}
