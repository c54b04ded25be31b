//! Table of the instances from reads of the platform's list.
//!
//! Entries that expire during an outage of the platform's service reappear
//! shortly after it if the instance is alive. So an entry that is missing right
//! after an outage is kept until it could have reappeared, unless it was listed since.
//!
//! The service may also be restored from a backup, in a new era. Until the instances could
//! have written again, what was known before overrides the entries of the backup:
//! instances that left stay away, those that were leaving are leaving, and missing ones
//! are kept.

use std::{
    collections::{BTreeMap, BTreeSet, btree_map},
    sync::Arc,
    time::Duration,
};

use citrongw_state::{
    id::{Incarnation, InstanceId, Revision, StoreEra},
    time::Time,
};

use crate::instance::InstanceEntry;

/// Time without a read that counts as an outage: the entries can have missed
/// three heartbeats by then.
const OUTAGE_AFTER: Duration = Duration::from_millis(2_500);
/// Time that expired entries take to reappear, as the platform specifies it, plus
/// the interval between two reads.
const REAPPEAR_TIME: Duration = Duration::from_millis(2_500);

/// Time for which an instance that left the list is remembered: longer than a backup
/// of the platform's service is old.
const DEPARTED_RETENTION: Duration = Duration::from_secs(120);

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
    era: StoreEra,
    keep_missing_until: Time,
    /// Instances that were listed since the last outage, while missing entries are
    /// kept. Their entries did not expire in it.
    listed_since_outage: BTreeSet<InstanceId>,
    /// Starts of instances that left the list, and when.
    departed: BTreeMap<InstanceId, (Incarnation, Time)>,
    backup: Option<RestoredBackup>,
}

/// List as first read after the key-value service was restored.
#[derive(Debug)]
struct RestoredBackup {
    /// Until when what was known before overrides entries of the backup.
    until: Time,
    /// Revision of each entry.
    revisions: BTreeMap<InstanceId, Revision>,
}

impl RestoredBackup {
    /// Whether an entry was not written since the backup was first read.
    fn contains(&self, entry: &InstanceEntry, revision: Revision) -> bool {
        self.revisions.get(&entry.id) == Some(&revision)
    }
}

impl InstanceTable {
    /// Current view of the instances.
    pub fn view(&self) -> &InstancesView {
        &self.view
    }

    /// Replaces the view by one that another gateway read in this era.
    pub fn replace(&mut self, era: StoreEra, view: InstancesView) {
        self.has_read = true;
        if self.era < era {
            self.era = era;
            self.backup = None;
        }
        let old = std::mem::replace(&mut self.view, view).instances;
        self.record_departed(old);
    }

    /// Applies one read of the list that was requested at `read_at` and given in `era`.
    pub fn apply(
        &mut self,
        read_at: Time,
        era: StoreEra,
        entries: Vec<(InstanceEntry, Revision)>,
    ) -> &InstancesView {
        if era < self.era {
            // The response was delayed until after the service was restored.
            return &self.view;
        }
        let is_restored = self.has_read && self.era < era;
        let is_after_outage = OUTAGE_AFTER < read_at.since(self.view.read_at);
        if self.has_read && (is_restored || is_after_outage) {
            self.keep_missing_until = read_at + REAPPEAR_TIME;
            self.listed_since_outage.clear();
        }
        if is_restored {
            let revisions = entries.iter().map(|(entry, revision)| (entry.id.clone(), *revision));
            let until = read_at + REAPPEAR_TIME;
            self.backup = Some(RestoredBackup { until, revisions: revisions.collect() });
        }
        self.backup = self.backup.take().filter(|it| read_at < it.until);
        let keeps_missing = read_at < self.keep_missing_until;
        self.has_read = true;
        self.era = era;
        let mut old = std::mem::take(&mut self.view.instances);
        let mut new = BTreeMap::new();
        for (entry, revision) in entries {
            let is_of_backup = self.backup.as_ref().is_some_and(|it| it.contains(&entry, revision));
            if is_of_backup && self.has_departed(&entry) {
                continue;
            }
            let known = match old.remove(&entry.id) {
                Some(known) if known.revision == revision => known,
                Some(known) if is_of_backup && known.entry.incarnation == entry.incarnation => {
                    merge_backup(known, &entry)
                }
                _ => KnownInstance { entry: Arc::new(entry), revision, changed_at: read_at },
            };
            if keeps_missing {
                self.listed_since_outage.insert(known.entry.id.clone());
            }
            new.insert(known.entry.id.clone(), known);
        }
        if keeps_missing {
            let mut removed = BTreeMap::new();
            for (id, known) in old {
                if self.listed_since_outage.contains(&id) {
                    removed.insert(id, known);
                } else if let btree_map::Entry::Vacant(vacant) = new.entry(id) {
                    vacant.insert(known);
                }
            }
            old = removed;
        }
        self.view = InstancesView { read_at, instances: new };
        self.record_departed(old);
        &self.view
    }

    /// Whether this start of an instance left the list before the service was restored.
    fn has_departed(&self, entry: &InstanceEntry) -> bool {
        self.departed
            .get(&entry.id)
            .is_some_and(|(incarnation, _)| *incarnation == entry.incarnation)
    }

    /// Records which of the instances that were listed before are not any more.
    fn record_departed(&mut self, old: BTreeMap<InstanceId, KnownInstance>) {
        let read_at = self.view.read_at;
        for (id, known) in old {
            if !self.view.instances.contains_key(&id) {
                self.departed.insert(id, (known.entry.incarnation, read_at));
            }
        }
        let listed = &self.view.instances;
        self.departed.retain(|id, (_, at)| {
            !listed.contains_key(id) && read_at.since(*at) < DEPARTED_RETENTION
        });
    }
}

/// Entry of an instance that was known before the service was restored: the known state
/// is newer than the backup, unless the instance has begun to leave since.
fn merge_backup(known: KnownInstance, restored: &InstanceEntry) -> KnownInstance {
    if known.entry.leaving || !restored.leaving {
        return known;
    }
    let entry = InstanceEntry { leaving: true, ..InstanceEntry::clone(&known.entry) };
    KnownInstance { entry: Arc::new(entry), ..known }
}

#[cfg(test)]
mod tests;
