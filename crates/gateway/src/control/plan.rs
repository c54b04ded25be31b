//! What is agreed of a domain: its replicas, their members and epochs.

use citrongw_protocol::store::Key;
use citrongw_state::id::{
    AttemptId, Epoch, FabricDomainId, Incarnation, InstanceId, ModelId, NodeId, PlainServiceId,
    ReplicaId,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::peers::OWNER_PREFIX;

/// Prefix of the records of domains.
pub const PREFIX: &str = "citrongw/plan/";

/// Fabric domain of one service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{service}/{domain}")]
pub struct DomainKey {
    /// The service.
    pub service: PlainServiceId,
    /// The domain.
    pub domain: FabricDomainId,
}

impl DomainKey {
    /// Key of the domain's record.
    pub fn plan_key(&self) -> Key {
        format!("{PREFIX}{self}").into()
    }

    /// Key that names its owner and ends with the owner's lease.
    pub fn owner_key(&self) -> Key {
        format!("{OWNER_PREFIX}{self}").into()
    }
}

/// Member of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PlannedMember {
    /// The instance.
    pub instance: InstanceId,
    /// Start of its process that is meant.
    pub incarnation: Incarnation,
}

/// Replica of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedReplica {
    /// The replica.
    pub id: ReplicaId,
    /// Epoch of its present list of members.
    pub epoch: Epoch,
    /// Model.
    pub model: ModelId,
    /// Members, the one that takes requests first.
    pub members: Vec<PlannedMember>,
}

impl PlannedReplica {
    /// Member that takes the requests.
    pub fn head(&self) -> Option<&PlannedMember> {
        self.members.first()
    }

    /// Ids of the members, in order.
    pub fn member_ids(&self) -> Vec<InstanceId> {
        self.members.iter().map(|it| it.instance.clone()).collect()
    }
}

/// Record of a domain.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DomainPlan {
    /// Node that changes it.
    pub owner: NodeId,
    /// Write that made this value.
    pub attempt: AttemptId,
    /// Highest epoch given so far; only grows.
    pub epoch: Epoch,
    /// Replicas.
    pub replicas: Vec<PlannedReplica>,
    /// Models of the replicas that the domain is to hold.
    pub layout: Vec<ModelId>,
}

impl DomainPlan {
    /// Whether a replica holds the instance.
    pub fn contains(&self, instance: &InstanceId) -> bool {
        self.replicas.iter().any(|it| it.members.iter().any(|it| it.instance == *instance))
    }

    /// Models of the layout that no replica serves.
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
