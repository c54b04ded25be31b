//! Order of weight loads under the rate limit of the weight store, which all
//! nodes share.
//!
//! Every node reads the loads of all domains from their records and computes
//! the same order without coordination. Loads that restore the most service per
//! byte come first.

use std::cmp::Reverse;

use crate::{id::ReplicaId, objective::Objective};

/// Load of a replica's weights, waiting or running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightLoadTask {
    /// Replica whose weights are loaded.
    pub replica: ReplicaId,
    /// Number of members that load.
    pub members: u32,
    /// Accelerators that serve once the load is complete.
    pub accelerators: u32,
    /// Whether the load has started.
    pub running: bool,
}

/// Loads that may start now, when at most `limit` members load concurrently. A
/// load larger than the limit runs alone.
pub fn startable(objective: Objective, loads: &[WeightLoadTask], limit: u32) -> Vec<ReplicaId> {
    let mut loading: u32 = loads.iter().filter(|it| it.running).map(|it| it.members).sum();
    let mut waiting: Vec<&WeightLoadTask> = loads.iter().filter(|it| !it.running).collect();
    waiting.sort_by_key(|it| (Reverse(rank(objective, it)), it.replica));
    let mut startable = Vec::new();
    for load in waiting {
        if 0 < loading && limit < loading + load.members {
            break;
        }
        loading += load.members;
        startable.push(load.replica);
    }
    startable
}

/// Value of a load per member loaded, scaled to an integer.
fn rank(objective: Objective, load: &WeightLoadTask) -> u64 {
    const SCALE: u64 = 1 << 20;
    objective.completion_value(load.accelerators) * SCALE / u64::from(load.members.max(1))
}

#[cfg(test)]
mod tests;
