//! Client of the key-value service that notices when the service was restored from
//! a backup.
//!
//! The service forgets then what was written since the backup, leases too, and may grant
//! the ids of these leases again. Calls that rely on an earlier era are refused here,
//! before they reach another's lease or record, responses of an earlier era that come
//! late are dropped, and whoever keeps something in the service learns of the new era.

use std::{sync::Arc, time::Duration};

use citrongw_protocol::store::{
    Expected, Key, LeaseId, Snapshot, Store, StoreError, StoreResult, WatchEvent, Write,
    WriteResult,
};
use citrongw_state::id::{Revision, StoreEra};
use futures::{FutureExt, StreamExt, future::BoxFuture, stream::BoxStream};
use tokio::sync::watch;

/// Newest era that was seen. Clones share it.
#[derive(Debug, Clone)]
pub struct NewestEra {
    era_tx: Arc<watch::Sender<Option<StoreEra>>>,
}

/// Creates a record of the era, before the first response.
pub fn open() -> NewestEra {
    NewestEra { era_tx: Arc::new(watch::channel(None).0) }
}

impl NewestEra {
    /// Newest era, or the first one before any response.
    pub fn get(&self) -> StoreEra {
        self.era_tx.borrow().unwrap_or_default()
    }

    /// Completes once the service was restored in an era after `era`.
    pub async fn wait_after(&self, era: StoreEra) {
        let mut era_rx = self.era_tx.subscribe();
        // The sender is part of this value.
        let _ = era_rx.wait_for(|it| it.is_some_and(|it| era < it)).await;
    }

    /// Records the era of a response, to this gateway or another. False if it is an
    /// earlier one.
    pub(crate) fn record(&self, era: StoreEra) -> bool {
        let mut is_current = true;
        self.era_tx.send_if_modified(|newest| match *newest {
            Some(known) if era < known => {
                is_current = false;
                false
            }
            Some(known) if era == known => false,
            known => {
                if let Some(before) = known {
                    tracing::warn!(
                        era = era.0,
                        before = before.0,
                        dependency = "store",
                        "key-value service was restored from a backup"
                    );
                }
                *newest = Some(era);
                true
            }
        });
        is_current
    }

    /// Result of a call whose response was given in `era`.
    fn check<T>(&self, era: StoreEra, value: T) -> StoreResult<T> {
        if self.record(era) { Ok(value) } else { Err(StoreError::NoResponse) }
    }

    fn check_snapshot(&self, snapshot: Snapshot) -> StoreResult<Snapshot> {
        self.check(snapshot.revision.era, snapshot)
    }
}

/// Client that keeps the eras apart.
struct EraStore {
    inner: Arc<dyn Store>,
    newest: NewestEra,
}

/// Wraps a client.
pub fn wrap(inner: Arc<dyn Store>, newest: NewestEra) -> Arc<dyn Store> {
    Arc::new(EraStore { inner, newest })
}

fn refused<T>(reason: &str) -> StoreResult<T> {
    Err(StoreError::Refused { reason: reason.to_owned() })
}

impl Store for EraStore {
    fn get(&self, key: Key) -> BoxFuture<'_, StoreResult<Snapshot>> {
        async move { self.newest.check_snapshot(self.inner.get(key).await?) }.boxed()
    }

    fn list(&self, prefix: Key) -> BoxFuture<'_, StoreResult<Snapshot>> {
        async move { self.newest.check_snapshot(self.inner.list(prefix).await?) }.boxed()
    }

    fn list_stale(&self, prefix: Key) -> BoxFuture<'_, StoreResult<Snapshot>> {
        async move {
            let snapshot = self.inner.list_stale(prefix.clone()).await?;
            if self.newest.record(snapshot.revision.era) {
                return Ok(snapshot);
            }
            self.newest.check_snapshot(self.inner.list(prefix).await?)
        }
        .boxed()
    }

    fn compare_and_swap(&self, write: Write) -> BoxFuture<'_, StoreResult<WriteResult>> {
        async move {
            let expected = match write.expected {
                Expected::Absent => None,
                Expected::Revision(revision) => Some(revision.era),
            };
            let relied_on = expected.max(write.lease.map(|it| it.era));
            if relied_on.is_some_and(|it| it < self.newest.get()) {
                return refused("write relies on an earlier era");
            }
            let result = self.inner.compare_and_swap(write).await?;
            let era = match &result {
                WriteResult::Committed(revision) => revision.era,
                WriteResult::Conflict(Some(entry)) => entry.revision.era,
                WriteResult::Conflict(None) => return Ok(result),
            };
            let is_committed = matches!(result, WriteResult::Committed(_));
            let result = self.newest.check(era, result)?;
            if is_committed && relied_on.is_some_and(|it| it < era) {
                // The service was restored in between; the same number may belong to
                // another entry or lease. The caller has to read again.
                return Err(StoreError::NoResponse);
            }
            Ok(result)
        }
        .boxed()
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, StoreResult<LeaseId>> {
        async move {
            let lease = self.inner.grant_lease(ttl).await?;
            self.newest.check(lease.era, lease)
        }
        .boxed()
    }

    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<()>> {
        async move {
            if lease.era < self.newest.get() {
                return refused("lease is of an earlier era");
            }
            self.inner.renew_lease(lease).await
        }
        .boxed()
    }

    fn end_lease(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<()>> {
        async move {
            if lease.era < self.newest.get() {
                // It may be another's now. Its own keys end with the backup or by themselves.
                return Ok(());
            }
            self.inner.end_lease(lease).await
        }
        .boxed()
    }

    fn watch(
        &self,
        prefix: Key,
        from: Revision,
    ) -> BoxFuture<'_, StoreResult<BoxStream<'static, StoreResult<WatchEvent>>>> {
        let newest = self.newest.clone();
        async move {
            let events = self.inner.watch(prefix, from).await?;
            let checked = events.map(move |event| {
                let event = event?;
                let era = match &event {
                    WatchEvent::Put(entry) => entry.revision.era,
                    WatchEvent::Deleted(_, revision) | WatchEvent::Progress(revision) => {
                        revision.era
                    }
                };
                newest.check(era, event)
            });
            Ok(checked.boxed())
        }
        .boxed()
    }
}

#[cfg(test)]
mod tests;
