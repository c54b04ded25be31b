//! Who asks whom for the status of which replica.
//!
//! A node takes an interest in a bounded number of replicas, and asks itself
//! only the members of those that it watches; so what it sends and receives
//! grows neither with the number of nodes nor, past the bound, with that of
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

/// Replicas of one model that a node takes an interest in.
pub const MAX_TRACKED_PER_MODEL: usize = 16;

/// What one node asks in one round.
#[derive(Debug, Default)]
pub struct PollAssignment {
    /// Replicas whose members this node asks.
    pub direct: Vec<Arc<ReplicaEntry>>,
    /// Replicas that another node is asked for.
    pub from_peers: Vec<(NodeInfo, Vec<Arc<ReplicaEntry>>)>,
}

/// Divides the replicas. Without a way to ask peers, a node asks for all that
/// it takes an interest in by itself.
pub fn assign(entries: &[Arc<ReplicaEntry>], nodes: &NodeView, can_ask: bool) -> PollAssignment {
    let alive = nodes.alive();
    let this = nodes.this().id;
    let ids: Vec<NodeId> = alive.iter().map(|it| it.id).collect();
    let mut duty = PollAssignment::default();
    let mut asked: BTreeMap<NodeId, Vec<Arc<ReplicaEntry>>> = BTreeMap::new();
    let mut models: BTreeMap<&ModelId, Vec<&Arc<ReplicaEntry>>> = BTreeMap::new();
    for entry in entries {
        if can_ask && ownership::replica_watcher(entry.spec.id, &ids) == Some(this) {
            duty.direct.push(Arc::clone(entry));
        } else {
            models.entry(&entry.spec.model).or_default().push(entry);
        }
    }
    for mut replicas in models.into_values() {
        if can_ask {
            replicas.sort_by_key(|it| ownership::replica_weight(it.spec.id, this));
            replicas.truncate(MAX_TRACKED_PER_MODEL);
        }
        for entry in replicas {
            match ownership::replica_watcher(entry.spec.id, &ids) {
                Some(watcher) if can_ask && watcher != this => {
                    asked.entry(watcher).or_default().push(Arc::clone(entry));
                }
                _ => duty.direct.push(Arc::clone(entry)),
            }
        }
    }
    let info = |id: NodeId| alive.iter().find(|it| it.id == id).cloned();
    duty.from_peers = asked.into_iter().filter_map(|(id, list)| Some((info(id)?, list))).collect();
    duty
}

#[cfg(test)]
mod tests;
