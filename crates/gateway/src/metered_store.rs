//! Client of the key-value service that counts its calls by subject.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use citrongw_protocol::store::{
    Key, LeaseId, Snapshot, Store, StoreError, StoreResult, WatchEvent, Write, WriteResult,
};
use citrongw_state::id::Revision;
use derive_more::Display;
use futures::{FutureExt, StreamExt, future::BoxFuture, stream::BoxStream};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
};
use tokio::{task::JoinHandle, time::sleep};

use crate::lock::lock;

/// Interval between log lines with the numbers of calls.
const LOG_INTERVAL: Duration = Duration::from_secs(20);
/// Subject of calls whose keys match no prefix.
const OTHER: &str = "other";

/// Counts of calls by subject, kind and outcome. Clones share the counts.
#[derive(Debug, Clone, Default)]
pub struct StoreCalls {
    family: Family<CallLabels, Counter>,
    totals: Arc<Mutex<BTreeMap<CallLabels, u64>>>,
}

impl StoreCalls {
    /// The counts as a metric.
    pub fn family(&self) -> Family<CallLabels, Counter> {
        self.family.clone()
    }

    /// Totals since the start.
    pub fn totals(&self) -> BTreeMap<CallLabels, u64> {
        lock(&self.totals).clone()
    }

    fn count(&self, subject: &'static str, call: &'static str, error: Option<&StoreError>) {
        let outcome = match error {
            None => "answered",
            Some(StoreError::NotReached) => "not_reached",
            Some(StoreError::NoResponse) => "no_answer",
            Some(StoreError::Refused { .. }) => "refused",
        };
        let labels = CallLabels { subject, call, outcome };
        self.family.get_or_create(&labels).inc();
        *lock(&self.totals).entry(labels).or_default() += 1;
    }
}

/// Subject, kind and outcome of a call.
#[derive(Debug, Clone, Display, PartialEq, Eq, PartialOrd, Ord, Hash, EncodeLabelSet)]
#[display("{subject} {call} {outcome}")]
pub struct CallLabels {
    subject: &'static str,
    call: &'static str,
    outcome: &'static str,
}

/// Subjects of keys by prefix. The first match counts.
pub type Subjects = Vec<(Key, &'static str)>;

/// Client that counts its calls.
pub struct MeteredStore {
    inner: Arc<dyn Store>,
    subjects: Subjects,
    calls: StoreCalls,
}

/// Wraps a client. The first subject whose prefix matches a key counts.
pub fn open(inner: Arc<dyn Store>, subjects: Subjects, calls: StoreCalls) -> Arc<dyn Store> {
    Arc::new(MeteredStore { inner, subjects, calls })
}

impl MeteredStore {
    fn subject(&self, key: &Key) -> &'static str {
        let found =
            self.subjects.iter().find(|(prefix, _)| key.as_str().starts_with(prefix.as_str()));
        found.map_or(OTHER, |(_, subject)| subject)
    }

    fn count<'a, T: 'a>(
        &'a self,
        subject: &'static str,
        call: &'static str,
        response: BoxFuture<'a, StoreResult<T>>,
    ) -> BoxFuture<'a, StoreResult<T>> {
        async move {
            let res = response.await;
            self.calls.count(subject, call, res.as_ref().err());
            res
        }
        .boxed()
    }
}

impl Store for MeteredStore {
    fn get(&self, key: Key) -> BoxFuture<'_, StoreResult<Snapshot>> {
        self.count(self.subject(&key), "get", self.inner.get(key))
    }

    fn list(&self, prefix: Key) -> BoxFuture<'_, StoreResult<Snapshot>> {
        self.count(self.subject(&prefix), "list", self.inner.list(prefix))
    }

    fn list_stale(&self, prefix: Key) -> BoxFuture<'_, StoreResult<Snapshot>> {
        self.count(self.subject(&prefix), "list_stale", self.inner.list_stale(prefix))
    }

    fn compare_and_swap(&self, write: Write) -> BoxFuture<'_, StoreResult<WriteResult>> {
        let subject = self.subject(&write.key);
        self.count(subject, "write", self.inner.compare_and_swap(write))
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, StoreResult<LeaseId>> {
        self.count("lease", "grant", self.inner.grant_lease(ttl))
    }

    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<()>> {
        self.count("lease", "renew", self.inner.renew_lease(lease))
    }

    fn end_lease(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<()>> {
        self.count("lease", "end", self.inner.end_lease(lease))
    }

    fn watch(
        &self,
        prefix: Key,
        from: Revision,
    ) -> BoxFuture<'_, StoreResult<BoxStream<'static, StoreResult<WatchEvent>>>> {
        let subject = self.subject(&prefix);
        let calls = self.calls.clone();
        async move {
            let events = self.inner.watch(prefix, from).await?;
            // Each response to a call of a watch ends with a progress event.
            let counted = events.inspect(move |event| match event {
                Ok(WatchEvent::Progress(_)) => calls.count(subject, "watch", None),
                Ok(WatchEvent::Put(_) | WatchEvent::Deleted(..)) => {}
                Err(error) => calls.count(subject, "watch", Some(error)),
            });
            Ok(counted.boxed())
        }
        .boxed()
    }
}

/// Spawns a task that periodically logs the calls made since the last line.
pub(crate) fn spawn_report(calls: StoreCalls) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut last = BTreeMap::new();
        loop {
            sleep(LOG_INTERVAL).await;
            let totals = calls.totals();
            let made: Vec<String> = totals
                .iter()
                .map(|(labels, total)| (labels, total - last.get(labels).unwrap_or(&0)))
                .filter(|(_, made)| *made != 0)
                .map(|(labels, made)| format!("{labels}: {made}"))
                .collect();
            last = totals;
            tracing::info!(
                calls = made.join(", "),
                over_ms = LOG_INTERVAL.as_millis(),
                "calls to the key-value service"
            );
        }
    })
}

#[cfg(test)]
mod tests;
