//! Instances that are leaving, as reported by peers or by their engines'
//! refusals. An entry applies to one incarnation of the instance.

use std::collections::HashSet;

use arc_swap::ArcSwap;
use citrongw_protocol::gossip_item::LeavingInstance;
use citrongw_state::{
    id::{Incarnation, InstanceId},
    replica::Member,
};

/// Maximum number of entries. Losing entries is safe: an instance that has left
/// reports this itself.
const MAX_INSTANCES: usize = 16_384;

/// Leaving instances that one node knows of.
#[derive(Debug, Default)]
pub(super) struct LeavingInstances {
    instances: ArcSwap<HashSet<(InstanceId, Incarnation)>>,
}

impl LeavingInstances {
    /// Adds an instance.
    pub(super) fn add(&self, leaving: &LeavingInstance) {
        let entry = (leaving.instance.clone(), leaving.incarnation);
        if self.instances.load().contains(&entry) {
            return;
        }
        self.instances.rcu(|old| {
            let mut instances = HashSet::clone(old);
            if MAX_INSTANCES <= instances.len() {
                instances.clear();
            }
            instances.insert(entry.clone());
            instances
        });
    }

    /// Whether one of the members is leaving.
    pub(super) fn contains_any(&self, members: &[Member]) -> bool {
        let instances = self.instances.load();
        !instances.is_empty()
            && members.iter().any(|it| instances.contains(&(it.instance.clone(), it.incarnation)))
    }
}

#[cfg(test)]
mod tests;
