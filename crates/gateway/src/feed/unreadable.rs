//! Records of the platform that cannot be decoded. Each change of a record is
//! logged and counted once, no matter how often the record is read.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

use citrongw_protocol::store::{Entry, Key};
use citrongw_state::id::Revision;
use prometheus_client::metrics::counter::Counter;

use crate::{adapter::CodecError, metrics::Metrics};

/// Records that could not be decoded, with the revision of each. Clones share the
/// records.
#[derive(Debug, Clone)]
pub(super) struct UnreadableRecords {
    seen: Arc<Mutex<HashMap<Key, Revision>>>,
    count: Counter,
}

impl UnreadableRecords {
    pub(super) fn new(metrics: &Metrics) -> Self {
        Self { seen: Arc::default(), count: metrics.unreadable_records() }
    }

    /// Logs and counts a record that could not be decoded, unless this revision of
    /// it was added before.
    pub(super) fn add(&self, entry: &Entry, error: &CodecError) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if seen.insert(entry.key.clone(), entry.revision) != Some(entry.revision) {
            self.count.inc();
            let (key, revision) = (&entry.key, entry.revision.number);
            tracing::warn!(%key, revision, %error, "record cannot be read");
        }
    }

    /// Removes the records under `prefix` that are no longer listed.
    pub(super) fn retain(&self, prefix: &Key, is_listed: impl Fn(&Key) -> bool) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.retain(|key, _| !key.as_str().starts_with(prefix.as_str()) || is_listed(key));
    }
}

#[cfg(test)]
mod tests;
