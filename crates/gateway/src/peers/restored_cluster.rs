//! List of gateways, owners and culprits before the key-value service was restored from a
//! backup. What the backup lacks counts until it could have been written again.

use std::time::Duration;

use citrongw_state::{crash_suspicion::shared_parts::Culprit, id::StoreEra, time::Time};

use super::ClusterView;

/// Time for which gateways count that a backup of the key-value service lacks: a
/// gateway that only notices by the renewal of its lease has registered again by then.
pub(super) const CARRIED_NODE_TIME: Duration = Duration::from_millis(4_500);
/// Time for which owners count that a backup lacks: they notice by the renewals
/// of their leases, and acquire their domains again.
pub(super) const CARRIED_OWNER_TIME: Duration = Duration::from_millis(2_000);
/// Time for which culprits count that a backup lacks: the gateways that know them
/// have listed them again by then.
pub(super) const CARRIED_CULPRIT_TIME: Duration = Duration::from_secs(12);

/// List before the last restore.
#[derive(Debug, Default)]
pub(super) struct RestoredCluster {
    /// Newest era in which the list was read.
    era: Option<StoreEra>,
    /// When the list was first read in that era.
    since: Time,
    before: ClusterView,
    lost_culprits: Vec<Culprit>,
}

impl RestoredCluster {
    /// Adds to a read of the list what it lacks. `before` is the list until then.
    pub(super) fn apply(
        &mut self,
        before: &ClusterView,
        era: StoreEra,
        read: &mut ClusterView,
        now: Time,
    ) {
        if self.era.is_some_and(|it| it < era) {
            self.since = now;
            self.before = before.clone();
        }
        self.era = self.era.max(Some(era));
        let age = now.since(self.since);
        if age < CARRIED_NODE_TIME {
            for (node, listed) in &self.before.nodes {
                read.nodes.entry(*node).or_insert_with(|| listed.clone());
            }
        }
        if age < CARRIED_OWNER_TIME {
            for (key, owner) in &self.before.owners {
                read.owners.entry(key.clone()).or_insert(*owner);
            }
        }
        self.lost_culprits.clear();
        if age < CARRIED_CULPRIT_TIME {
            let lost = self.before.culprits.difference(&read.culprits);
            self.lost_culprits.extend(lost.cloned());
            read.culprits.extend(self.lost_culprits.iter().cloned());
        }
    }

    /// Culprits that no gateway has listed again yet.
    pub(super) fn lost_culprits(&self) -> &[Culprit] {
        &self.lost_culprits
    }
}
