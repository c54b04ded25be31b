//! Records in the key-value service, and their keys.

use citrongw_state::{
    id::{AttemptId, Epoch, FabricDomainId, NodeId},
    replica::ReplicaSpec,
};
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

/// Allocations of one fabric domain. Every change is one compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DomainRecord {
    /// Fencing number; grows with each owner.
    pub epoch: Epoch,
    /// Node that controls the domain.
    pub owner: Option<NodeId>,
    /// The write that made this value, to be looked up when its reply is lost.
    pub attempt: AttemptId,
    /// Replicas whose first member is in this domain.
    pub replicas: Vec<ReplicaSpec>,
}
