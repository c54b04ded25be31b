//! Distribution of the platform's instance list, which one gateway reads for all.
//!
//! The platform charges for each read, so one gateway, the list reader, reads the
//! list and sends the changes to the others. A gateway that receives nothing for
//! a while, or whose copy differs from the reader's, reads the list itself.

use std::{
    collections::{BTreeMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use citrongw_state::{
    id::{InstanceId, Revision},
    time::Time,
};
use serde::{Deserialize, Serialize};

use crate::{
    instance::InstanceEntry,
    instance_table::{InstancesView, KnownInstance},
};

/// Time without a message of the reader after which a gateway reads the list
/// itself: two of the reader's intervals. Including its own read, the gateway
/// stays within the shortest time in which a leaving instance must be known.
pub(crate) const READER_SILENCE: Duration = Duration::from_millis(1_000);
/// Limit on the entries of one message, so that it fits into a datagram.
const MAX_ENTRIES: usize = 5;
/// Limit on the removed ids of one message, for the same reason.
const MAX_REMOVED: usize = 30;
/// Limit on the messages for one read. If a read has more changes, the other
/// gateways read the list themselves.
const MAX_MESSAGES: usize = 48;
/// Limit on the changes that are kept for gateways that lost some: those of two
/// reads at least.
const MAX_KEPT_CHANGES: usize = 2 * MAX_MESSAGES;

/// Message that the reader sends for each read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChange {
    /// Revision of the store at the read.
    pub revision: Revision,
    /// Revision of the active configuration of the reader.
    pub config_revision: Revision,
    /// Digest of the list of gateways at the reader.
    pub cluster_digest: u64,
    /// Digest of the list after the change.
    pub digest: u64,
    /// Entries that are new or changed.
    pub changed: Vec<InstanceEntry>,
    /// Instances that are no longer listed.
    pub removed: Vec<InstanceId>,
    /// Version of the active configuration of the reader.
    pub config_version: u64,
}

/// Result of applying a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The copy equals the reader's.
    Current,
    /// The change is older than the copy.
    Stale,
    /// The copy differs from the reader's.
    Diverged,
}

/// State of the reader at a read, besides the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderState {
    /// Revision of the store at the read.
    pub revision: Revision,
    /// Revision of the active configuration.
    pub config_revision: Revision,
    /// Digest of the list of gateways.
    pub cluster_digest: u64,
    /// Version of the active configuration.
    pub config_version: u64,
}

/// Changes that lead from one view to the next, split into messages. Each has the
/// digest of the list after it is applied. If there are no changes or too many,
/// one message has only the digest of the new list.
pub fn changes(old: &InstancesView, new: &InstancesView, state: ReaderState) -> Vec<ListChange> {
    let message = |view: &InstancesView| ListChange {
        revision: state.revision,
        config_revision: state.config_revision,
        cluster_digest: state.cluster_digest,
        digest: digest(view),
        changed: Vec::new(),
        removed: Vec::new(),
        config_version: state.config_version,
    };
    let has_changed = |known: &&KnownInstance| {
        old.instances.get(&known.entry.id).is_none_or(|it| it.entry != known.entry)
    };
    let changed: Vec<&KnownInstance> = new.instances.values().filter(has_changed).collect();
    let removed: Vec<&InstanceId> =
        old.instances.keys().filter(|it| !new.instances.contains_key(*it)).collect();
    let count = changed.len().div_ceil(MAX_ENTRIES) + removed.len().div_ceil(MAX_REMOVED);
    if count == 0 || MAX_MESSAGES < count {
        return vec![message(new)];
    }
    let mut view = old.clone();
    let mut changes = Vec::with_capacity(count);
    for ids in removed.chunks(MAX_REMOVED) {
        view.instances.retain(|id, _| !ids.contains(&id));
        let removed = ids.iter().copied().cloned().collect();
        changes.push(ListChange { removed, ..message(&view) });
    }
    for known in changed.chunks(MAX_ENTRIES) {
        let entries = known.iter().map(|it| (it.entry.id.clone(), KnownInstance::clone(it)));
        view.instances.extend(entries);
        let changed = known.iter().map(|it| InstanceEntry::clone(&it.entry)).collect();
        changes.push(ListChange { changed, ..message(&view) });
    }
    changes
}

/// Applies a change to a copy of the list that was read at `revision`.
pub fn apply(
    view: &InstancesView,
    revision: Revision,
    change: &ListChange,
    received_at: Time,
) -> (ApplyOutcome, InstancesView) {
    if change.revision < revision {
        return (ApplyOutcome::Stale, view.clone());
    }
    let mut instances: BTreeMap<InstanceId, KnownInstance> = view.instances.clone();
    for entry in &change.changed {
        let is_known = instances.get(&entry.id).is_some_and(|it| *it.entry == *entry);
        if !is_known {
            let known = KnownInstance {
                entry: Arc::new(entry.clone()),
                revision: change.revision,
                changed_at: received_at,
            };
            instances.insert(entry.id.clone(), known);
        }
    }
    for id in &change.removed {
        instances.remove(id);
    }
    let next = InstancesView { read_at: received_at, instances };
    let applied =
        if digest(&next) == change.digest { ApplyOutcome::Current } else { ApplyOutcome::Diverged };
    (applied, next)
}

/// Last changes that a gateway published or applied, each of which leads from the
/// digest of the one before to its own.
#[derive(Debug, Default)]
pub struct ChangeHistory {
    changes: VecDeque<ListChange>,
}

impl ChangeHistory {
    /// Adds a change of the list that had the digest `before`.
    pub fn add(&mut self, before: u64, change: &ListChange) {
        if self.changes.back().is_none_or(|it| it.digest != before) {
            // Changes before a read of the store lead elsewhere.
            self.changes.clear();
            let (changed, removed) = (Vec::new(), Vec::new());
            self.changes.push_back(ListChange { digest: before, changed, removed, ..*change });
        }
        if change.digest != before {
            self.changes.push_back(change.clone());
        }
        while MAX_KEPT_CHANGES < self.changes.len() {
            self.changes.pop_front();
        }
    }

    /// Changes that lead from the list with `digest` to the current one. Empty if
    /// they are not kept.
    pub fn since(&self, digest: u64) -> impl Iterator<Item = &ListChange> {
        let known = self.changes.iter().rposition(|it| it.digest == digest);
        self.changes.iter().skip(known.map_or(self.changes.len(), |idx| idx + 1))
    }
}

/// Digest of a list, equal on all gateways of one build.
pub fn digest(view: &InstancesView) -> u64 {
    let mut hasher = DefaultHasher::new();
    for known in view.instances.values() {
        known.entry.hash(&mut hasher);
    }
    hasher.finish()
}

#[cfg(test)]
mod tests;
