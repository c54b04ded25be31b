//! Table of the instances from reads of the platform's list.
//!
//! Entries that expire during an outage of the platform's service reappear
//! shortly after it if the instance is alive. So an entry that is missing right
//! after an outage is kept until it could have reappeared, unless it was listed since.

use std::{
    collections::{BTreeMap, BTreeSet, btree_map},
    sync::Arc,
    time::Duration,
};

use citrongw_state::{
    id::{InstanceId, Revision},
    time::Time,
};

use crate::instance::InstanceEntry;

/// Time without a read that counts as an outage: the entries can have missed
/// three heartbeats by then.
const OUTAGE_AFTER: Duration = Duration::from_millis(2_500);
/// Time that expired entries take to reappear, as the platform specifies it, plus
/// the interval between two reads.
const REAPPEAR_TIME: Duration = Duration::from_millis(2_500);

/// Instance as last listed.
#[derive(Debug, Clone)]
pub struct KnownInstance {
    /// Entry of the instance.
    pub entry: Arc<InstanceEntry>,
    /// Revision of the entry.
    pub revision: Revision,
    /// When a change of the entry was last seen.
    pub changed_at: Time,
}

/// All instances at the time of one read of the list.
#[derive(Debug, Clone, Default)]
pub struct InstancesView {
    /// When the list was requested. The entries are no older than this.
    pub read_at: Time,
    /// Instances by id.
    pub instances: BTreeMap<InstanceId, KnownInstance>,
}

/// Table of the instances that is updated with each read of the list.
#[derive(Debug, Default)]
pub struct InstanceTable {
    view: InstancesView,
    has_read: bool,
    keep_missing_until: Time,
    /// Instances that were listed since the last outage, while missing entries are
    /// kept. Their entries did not expire in it.
    listed_since_outage: BTreeSet<InstanceId>,
}

impl InstanceTable {
    /// Current view of the instances.
    pub fn view(&self) -> &InstancesView {
        &self.view
    }

    /// Replaces the view by one that another gateway read.
    pub fn replace(&mut self, view: InstancesView) {
        self.has_read = true;
        self.view = view;
    }

    /// Applies one read of the list that was requested at `read_at`.
    pub fn apply(
        &mut self,
        read_at: Time,
        entries: Vec<(InstanceEntry, Revision)>,
    ) -> &InstancesView {
        if self.has_read && OUTAGE_AFTER < read_at.since(self.view.read_at) {
            self.keep_missing_until = read_at + REAPPEAR_TIME;
            self.listed_since_outage.clear();
        }
        let keeps_missing = read_at < self.keep_missing_until;
        self.has_read = true;
        let mut old = std::mem::take(&mut self.view.instances);
        let mut new = BTreeMap::new();
        for (entry, revision) in entries {
            let known = match old.remove(&entry.id) {
                Some(known) if known.revision == revision => known,
                _ => KnownInstance { entry: Arc::new(entry), revision, changed_at: read_at },
            };
            if keeps_missing {
                self.listed_since_outage.insert(known.entry.id.clone());
            }
            new.insert(known.entry.id.clone(), known);
        }
        if keeps_missing {
            for (id, known) in old {
                if self.listed_since_outage.contains(&id) {
                    continue;
                }
                if let btree_map::Entry::Vacant(vacant) = new.entry(id) {
                    vacant.insert(known);
                }
            }
        }
        self.view = InstancesView { read_at, instances: new };
        &self.view
    }
}

#[cfg(test)]
mod tests;
