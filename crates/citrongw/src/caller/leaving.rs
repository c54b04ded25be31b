//! Instances that are leaving: told by peers, or by their engines' refusals.
//! The mark sticks to one start of the instance's process.

use std::collections::HashSet;

use arc_swap::ArcSwap;
use citrongw_protocol::gossip_item::LeavingInstance;
use citrongw_state::{
    id::{Incarnation, InstanceId},
    replica::Member,
};

/// Marks kept, at most; an instance that has left reports so itself.
const MAX_MARKS: usize = 16_384;

/// Marks of one node.
#[derive(Debug, Default)]
pub(super) struct LeavingMarks {
    marks: ArcSwap<HashSet<(InstanceId, Incarnation)>>,
}

impl LeavingMarks {
    /// Adds a mark.
    pub(super) fn add(&self, leaving: &LeavingInstance) {
        let mark = (leaving.instance.clone(), leaving.incarnation);
        if self.marks.load().contains(&mark) {
            return;
        }
        self.marks.rcu(|old| {
            let mut marks = HashSet::clone(old);
            if MAX_MARKS <= marks.len() {
                marks.clear();
            }
            marks.insert(mark.clone());
            marks
        });
    }

    /// Whether one of the members is leaving.
    pub(super) fn contains_any(&self, members: &[Member]) -> bool {
        let marks = self.marks.load();
        !marks.is_empty()
            && members.iter().any(|it| marks.contains(&(it.instance.clone(), it.incarnation)))
    }
}

#[cfg(test)]
mod tests;
