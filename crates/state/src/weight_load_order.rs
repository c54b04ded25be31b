//! Order of weight loads under the store's rate, which all nodes share.
//!
//! Every node sees the loads of all domains in their records and comes to the
//! same order, so no node has to be asked. A load that returns the most service
//! for its bytes goes first.

use std::cmp::Reverse;

use crate::{id::ReplicaId, objective::Objective};

/// Load that waits for its turn or runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightLoadTask {
    /// The replica.
    pub replica: ReplicaId,
    /// Members that load.
    pub members: u32,
    /// Accelerators that serve once it is done.
    pub accelerators: u32,
    /// Whether it has begun.
    pub running: bool,
}

/// Loads that may begin now, when `limit` members may load at once. A load
/// larger than the limit runs alone.
pub fn startable(objective: Objective, loads: &[WeightLoadTask], limit: u32) -> Vec<ReplicaId> {
    let mut loading: u32 = loads.iter().filter(|it| it.running).map(|it| it.members).sum();
    let mut waiting: Vec<&WeightLoadTask> = loads.iter().filter(|it| !it.running).collect();
    waiting.sort_by_key(|it| (Reverse(rank(objective, it)), it.replica));
    let mut starting = Vec::new();
    for load in waiting {
        if 0 < loading && limit < loading + load.members {
            break;
        }
        loading += load.members;
        starting.push(load.replica);
    }
    starting
}

/// Worth of a load per member loaded, scaled to an integer.
fn rank(objective: Objective, load: &WeightLoadTask) -> u64 {
    const SCALE: u64 = 1 << 20;
    objective.completion_value(load.accelerators) * SCALE / u64::from(load.members.max(1))
}

#[cfg(test)]
mod tests;
