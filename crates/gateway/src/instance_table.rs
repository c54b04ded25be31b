//! What is known of the instances from the platform's list, poll by poll.
//!
//! Entries that lapse while the platform's service is away come back shortly
//! after its return if the instance lives, so an entry that is missing right
//! after an outage is kept for that long.

use std::{
    collections::{BTreeMap, btree_map},
    sync::Arc,
    time::Duration,
};

use citrongw_state::{
    id::{InstanceId, Revision},
    time::Time,
};

use crate::instance::InstanceEntry;

/// Time without a poll that counts as an outage: three heartbeats of the
/// entries can have been missed by then.
const OUTAGE_AFTER: Duration = Duration::from_millis(2_500);
/// Time that lapsed entries take to come back, by the platform's word, with the
/// pause between two polls added.
const RETURN_TIME: Duration = Duration::from_millis(2_500);

/// Instance as last read.
#[derive(Debug, Clone)]
pub struct KnownInstance {
    /// Its entry.
    pub entry: Arc<InstanceEntry>,
    /// Revision of the entry.
    pub revision: Revision,
    /// When a change of the entry was last seen.
    pub changed_at: Time,
}

/// All instances as of one poll.
#[derive(Debug, Clone, Default)]
pub struct InstancesView {
    /// When the poll was sent; the entries are no older.
    pub polled_at: Time,
    /// Instances by id.
    pub instances: BTreeMap<InstanceId, KnownInstance>,
}

/// Keeps the view from poll to poll.
#[derive(Debug, Default)]
pub struct InstanceTable {
    view: InstancesView,
    polled: bool,
    returning_until: Time,
}

impl InstanceTable {
    /// The present view.
    pub fn view(&self) -> &InstancesView {
        &self.view
    }

    /// Takes over a view that another gateway read.
    pub fn replace(&mut self, view: InstancesView) {
        self.polled = true;
        self.view = view;
    }

    /// Takes in one poll that was sent at `asked_at`.
    pub fn apply(
        &mut self,
        asked_at: Time,
        entries: Vec<(InstanceEntry, Revision)>,
    ) -> &InstancesView {
        if self.polled && OUTAGE_AFTER < asked_at.since(self.view.polled_at) {
            self.returning_until = asked_at + RETURN_TIME;
        }
        self.polled = true;
        let mut old = std::mem::take(&mut self.view.instances);
        let mut new = BTreeMap::new();
        for (entry, revision) in entries {
            let known = match old.remove(&entry.id) {
                Some(known) if known.revision == revision => known,
                _ => KnownInstance { entry: Arc::new(entry), revision, changed_at: asked_at },
            };
            new.insert(known.entry.id.clone(), known);
        }
        if asked_at < self.returning_until {
            for (id, known) in old {
                if let btree_map::Entry::Vacant(place) = new.entry(id) {
                    place.insert(known);
                }
            }
        }
        self.view = InstancesView { polled_at: asked_at, instances: new };
        &self.view
    }
}

#[cfg(test)]
mod tests;
