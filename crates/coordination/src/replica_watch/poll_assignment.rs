//! Division of status polling among the nodes.
//!
//! A node tracks a bounded number of replicas of each model, and polls the
//! members only of those for which it is the watcher. Its traffic therefore grows
//! neither with the number of nodes nor, beyond the bound, with the number of
//! replicas.

use std::{collections::BTreeMap, sync::Arc};

use citrongw_state::{
    id::{ModelId, NodeId},
    ownership,
};

use crate::{
    node_view::{NodeInfo, NodeView},
    replica_table::ReplicaEntry,
};

/// Maximum replicas of one model that a node tracks besides those whose watcher it
/// is.
pub const MAX_TRACKED_PER_MODEL: usize = 16;

/// Replicas that one node covers in a polling round.
#[derive(Debug, Default)]
pub struct PollAssignment {
    /// Replicas whose members this node polls.
    pub direct: Vec<Arc<ReplicaEntry>>,
    /// Replicas whose status is queried from their watcher.
    pub from_peers: Vec<(NodeInfo, Vec<Arc<ReplicaEntry>>)>,
}

/// Computes the replicas that this node polls and queries. If peers cannot be
/// queried, the node polls all replicas.
pub fn assign(entries: &[Arc<ReplicaEntry>], nodes: &NodeView, can_query: bool) -> PollAssignment {
    let alive = nodes.alive();
    let this = nodes.this().id;
    let ids: Vec<NodeId> = alive.iter().map(|it| it.id).collect();
    let mut assignment = PollAssignment::default();
    let mut by_watcher: BTreeMap<NodeId, Vec<Arc<ReplicaEntry>>> = BTreeMap::new();
    let mut models: BTreeMap<&ModelId, Vec<&Arc<ReplicaEntry>>> = BTreeMap::new();
    for entry in entries {
        if can_query && ownership::replica_watcher(entry.spec.id, &ids) == Some(this) {
            assignment.direct.push(Arc::clone(entry));
        } else {
            models.entry(&entry.spec.model).or_default().push(entry);
        }
    }
    for mut replicas in models.into_values() {
        if can_query {
            replicas.sort_by_key(|it| ownership::replica_weight(it.spec.id, this));
            replicas.truncate(MAX_TRACKED_PER_MODEL);
        }
        for entry in replicas {
            match ownership::replica_watcher(entry.spec.id, &ids) {
                Some(watcher) if can_query && watcher != this => {
                    by_watcher.entry(watcher).or_default().push(Arc::clone(entry));
                }
                _ => assignment.direct.push(Arc::clone(entry)),
            }
        }
    }
    let info = |id: NodeId| alive.iter().find(|it| it.id == id).cloned();
    assignment.from_peers =
        by_watcher.into_iter().filter_map(|(id, list)| Some((info(id)?, list))).collect();
    assignment
}

#[cfg(test)]
mod tests;
