//! Records of the platform that cannot be read: logged and counted once a change,
//! however often they are read.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

use citrongw_protocol::store::{Entry, Key};
use citrongw_state::id::Revision;
use prometheus_client::metrics::counter::Counter;

use crate::{adapter::CodecError, metrics::Metrics};

/// Records that could not be read, with the revision of each. Clones share them.
#[derive(Debug, Clone)]
pub(super) struct UnreadableRecords {
    seen: Arc<Mutex<HashMap<Key, Revision>>>,
    count: Counter,
}

impl UnreadableRecords {
    pub(super) fn new(metrics: &Metrics) -> Self {
        Self { seen: Arc::default(), count: metrics.unreadable_records() }
    }

    /// Takes in that a record could not be read; what was known holds.
    pub(super) fn add(&self, entry: &Entry, error: &CodecError) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if seen.insert(entry.key.clone(), entry.revision) != Some(entry.revision) {
            self.count.inc();
            let (key, revision) = (&entry.key, entry.revision.0);
            tracing::warn!(%key, revision, %error, "record cannot be read");
        }
    }

    /// Forgets the records that are not among those just read.
    pub(super) fn retain(&self, prefix: &Key, is_listed: impl Fn(&Key) -> bool) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.retain(|key, _| !key.as_str().starts_with(prefix.as_str()) || is_listed(key));
    }
}

#[cfg(test)]
mod tests;
