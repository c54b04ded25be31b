//! Follows changes of the operators' configuration.
//!
//! The list reader, the gateway that reads the instance list for all, waits on a
//! watch and sends its configuration revision to the others. They read the
//! configuration when theirs is older. A gateway that receives nothing from the
//! reader watches the store itself, except while the gateways start: until they have
//! elected a reader, a watch of each would only show them the same first version.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use citrongw_coordination::clock::Clock;
use citrongw_protocol::store::{Entry, Snapshot, StoreError, StoreResult, WatchEvent};
use citrongw_state::{id::Revision, time::Time};
use futures::StreamExt;
use tokio::time::{sleep, timeout};

use super::{RoutingState, unreadable::UnreadableRecords};
use crate::{adapter::Adapter, backoff, peers::Peers};

/// First delay before the configuration is read again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest delay before the configuration is read again after failures. A gateway
/// that reads for others tries again after the first delay.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_600);
/// Largest random delay before all gateways read a configuration that the list
/// reader published. It spreads their reads, and is a small part of the time in
/// which a configuration must be in force.
const MAX_READ_DELAY_MS: u64 = 300;
/// Time after the start in which a gateway without requests expects the list reader to
/// appear: more than the first election of an owner takes.
const STARTUP_TIME: Duration = Duration::from_secs(5);
/// Interval between cheap reads of the configuration in that time.
const STARTUP_READ_INTERVAL: Duration = Duration::from_millis(450);
/// Interval between checks of whether the list reader is still active.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Follows the configuration; never returns.
pub(super) async fn follow(
    adapter: Adapter,
    routing: Arc<RoutingState>,
    peers: Arc<Peers>,
    unreadable: UnreadableRecords,
    clock: Clock,
) {
    let follower = Follower { adapter, routing, peers, unreadable, clock };
    let mut backoff = backoff::open(RETRY_DELAY, MAX_RETRY_DELAY);
    loop {
        let followed = if follower.has_reader() {
            follower.wait_for_update().await
        } else if follower.expects_reader() {
            follower.wait_for_reader().await
        } else {
            follower.watch().await
        };
        follower.routing.is_config_unfollowed.store(followed.is_err(), Ordering::Relaxed);
        let Err(error) = followed else {
            backoff.reset();
            continue;
        };
        tracing::warn!(%error, dependency = "store", "could not watch the configuration");
        if follower.reads_for_others() {
            backoff.reset();
        }
        follower.wait_before_retry(backoff.next_delay()).await;
    }
}

struct Follower {
    adapter: Adapter,
    routing: Arc<RoutingState>,
    peers: Arc<Peers>,
    unreadable: UnreadableRecords,
    clock: Clock,
}

impl Follower {
    /// Whether this gateway has a configuration and another one, the list reader,
    /// sends the revisions of newer ones.
    fn has_reader(&self) -> bool {
        let has_config = self.routing.active_config.load().is_some();
        has_config && !self.peers.is_reader() && self.routing.is_reader_active(self.clock.now())
    }

    /// Whether other gateways rely on what this one reads.
    fn reads_for_others(&self) -> bool {
        let is_silent = !self.routing.is_reader_active(self.clock.now());
        self.peers.is_reader() || (is_silent && self.peers.is_substitute_reader())
    }

    /// Whether the gateways are likely to be starting together, without requests yet.
    fn expects_reader(&self) -> bool {
        let is_starting = self.clock.now() < Time::START + STARTUP_TIME;
        is_starting && !self.routing.has_traffic() && !self.peers.is_reader()
    }

    /// Reads the configuration until the list reader appears. Only the first read has to be
    /// the newest, and later ones may be old: a gateway that restarts alone hears the reader within one interval,
    /// and with it whether its configuration is the newest.
    async fn wait_for_reader(&self) -> Result<(), StoreError> {
        if self.routing.config_revision() == Revision::default() {
            self.read().await?;
        }
        self.routing.is_config_unfollowed.store(false, Ordering::Relaxed);
        loop {
            sleep(STARTUP_READ_INTERVAL).await;
            if self.has_reader() || !self.expects_reader() {
                return Ok(());
            }
            let key = self.adapter.codec.config_key();
            let snapshot = self.adapter.store.list_stale(key.clone()).await?;
            if let Some(entry) = snapshot.entries.iter().find(|it| it.key == key) {
                self.apply(entry);
            }
        }
    }

    /// Waits for `delay`, or until the reader publishes a configuration.
    async fn wait_before_retry(&self, delay: Duration) {
        let mut reader_config_rx = self.routing.reader_config_tx.subscribe();
        // After a timeout the configuration is read again too.
        let _ = timeout(delay, reader_config_rx.changed()).await;
    }

    /// Reads the configuration once the reader has a newer one. Returns after the
    /// check interval at the latest.
    async fn wait_for_update(&self) -> Result<(), StoreError> {
        let mut reader_config_rx = self.routing.reader_config_tx.subscribe();
        let published = *reader_config_rx.borrow_and_update();
        if self.routing.config_revision() < published {
            self.read_published(published).await?;
        }
        // After a timeout the caller checks whether the reader is still active.
        let _ = timeout(READER_CHECK_INTERVAL, reader_config_rx.changed()).await;
        Ok(())
    }

    /// Reads the configuration and follows a watch until the watch ends or the
    /// reader takes over.
    async fn watch(&self) -> Result<(), StoreError> {
        let from = self.read().await?.next();
        self.routing.is_config_unfollowed.store(false, Ordering::Relaxed);
        let mut events = self.adapter.store.watch(self.adapter.codec.config_key(), from).await?;
        while let Some(event) = events.next().await {
            match event? {
                WatchEvent::Put(entry) if entry.key == self.adapter.codec.config_key() => {
                    self.apply(&entry);
                }
                WatchEvent::Put(_) | WatchEvent::Deleted(..) | WatchEvent::Progress(_) => {}
            }
            if self.has_reader() {
                break;
            }
        }
        Ok(())
    }

    /// Reads the configuration that the reader has at `published`. All gateways
    /// read it at about the same time, so a cheap read that may be old is tried
    /// first, and its revision shows whether it was.
    async fn read_published(&self, published: Revision) -> Result<(), StoreError> {
        sleep(Duration::from_millis(rand::random_range(0..MAX_READ_DELAY_MS))).await;
        let key = self.adapter.codec.config_key();
        let read = self.adapter.store.list_stale(key.clone());
        let snapshot = self.log_read(Some(published), read).await?;
        let found = snapshot.entries.into_iter().find(|it| it.key == key);
        match found.filter(|it| published <= it.revision) {
            Some(entry) => self.apply(&entry),
            None => drop(self.read().await?),
        }
        Ok(())
    }

    /// Reads the configuration once and returns the revision of the store.
    async fn read(&self) -> Result<Revision, StoreError> {
        let read = self.adapter.store.get(self.adapter.codec.config_key());
        let snapshot = self.log_read(None, read).await?;
        let revision = snapshot.revision;
        if let Some(entry) = snapshot.into_entry() {
            self.apply(&entry);
        }
        Ok(revision)
    }

    /// Logs how long a read took and what it returned. `published` is the revision
    /// that the reader has, if it caused the read.
    async fn log_read(
        &self,
        published: Option<Revision>,
        read: impl Future<Output = StoreResult<Snapshot>>,
    ) -> StoreResult<Snapshot> {
        let started_at = self.clock.now();
        let res = read.await;
        let found = res.as_ref().ok().and_then(|it| it.entries.first());
        tracing::info!(
            published = published.map(|it| it.number),
            revision = found.map(|it| it.revision.number),
            bytes = found.map(|it| it.value.len()),
            error = res.as_ref().err().map(ToString::to_string),
            took_ms = self.clock.now().since(started_at).as_millis(),
            "read of the configuration ended"
        );
        res
    }

    fn apply(&self, entry: &Entry) {
        match self.adapter.codec.decode_config(entry) {
            Ok(config) => self.routing.set_config(config),
            // The active configuration stays. The platform's service accepts
            // only valid ones.
            Err(error) => self.unreadable.add(entry, &error),
        }
    }
}

#[cfg(test)]
mod tests;
