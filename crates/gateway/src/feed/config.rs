//! Follows the operators' configuration.
//!
//! The gateway that reads the list of instances for all waits on a watch, and
//! tells the others the revision that it holds; they read the configuration when
//! theirs is older. A gateway that does not hear the reader watches by itself.

use std::{sync::Arc, time::Duration};

use citrongw_coordination::clock::Clock;
use citrongw_protocol::store::{Entry, StoreError, WatchEvent};
use citrongw_state::id::Revision;
use futures::StreamExt;
use tokio::time::{sleep, timeout};

use super::{RoutingState, unreadable::UnreadableRecords};
use crate::{adapter::Adapter, peers::Peers};

/// Pause before the configuration is read again after a failure.
const RETRY: Duration = Duration::from_millis(200);
/// Pause between two looks at whether the reader is still heard.
const READER_INTERVAL: Duration = Duration::from_millis(300);

/// Follows the configuration for ever.
pub(super) async fn follow(
    adapter: Adapter,
    world: Arc<RoutingState>,
    peers: Arc<Peers>,
    unreadable: UnreadableRecords,
    clock: Clock,
) {
    let follower = Follower { adapter, world, peers, unreadable, clock };
    loop {
        let followed = if follower.is_told() {
            follower.wait_for_news().await
        } else {
            follower.watch().await
        };
        if let Err(error) = followed {
            tracing::warn!(%error, dependency = "store", "could not follow the configuration");
            sleep(RETRY).await;
        }
    }
}

struct Follower {
    adapter: Adapter,
    world: Arc<RoutingState>,
    peers: Arc<Peers>,
    unreadable: UnreadableRecords,
    clock: Clock,
}

impl Follower {
    /// Whether another gateway tells of new versions.
    fn is_told(&self) -> bool {
        let has_one = self.world.active_config.load().is_some();
        has_one && !self.peers.is_reader() && self.world.is_reader_active(self.clock.now())
    }

    /// Reads the configuration once the reader holds a newer one.
    async fn wait_for_news(&self) -> Result<(), StoreError> {
        let mut hint_rx = self.world.config_hint_tx.subscribe();
        if self.world.config_revision() < *hint_rx.borrow_and_update() {
            self.read().await?;
        }
        // Without news it is time to look whether the reader is still heard.
        let _ = timeout(READER_INTERVAL, hint_rx.changed()).await;
        Ok(())
    }

    /// Reads the configuration and follows a watch until the watch ends, or
    /// another gateway does so for this one.
    async fn watch(&self) -> Result<(), StoreError> {
        let from = Revision(self.read().await?.0 + 1);
        let mut events = self.adapter.store.watch(self.adapter.codec.config_key(), from).await?;
        while let Some(event) = events.next().await {
            match event? {
                WatchEvent::Put(entry) if entry.key == self.adapter.codec.config_key() => {
                    self.apply(&entry);
                }
                WatchEvent::Put(_) | WatchEvent::Deleted(..) | WatchEvent::Progress(_) => {}
            }
            if self.is_told() {
                break;
            }
        }
        Ok(())
    }

    /// Reads the configuration once; gives the revision of the store.
    async fn read(&self) -> Result<Revision, StoreError> {
        let snapshot = self.adapter.store.get(self.adapter.codec.config_key()).await?;
        let revision = snapshot.revision;
        if let Some(entry) = snapshot.into_entry() {
            self.apply(&entry);
        }
        Ok(revision)
    }

    fn apply(&self, entry: &Entry) {
        match self.adapter.codec.decode_config(entry) {
            Ok(directory) => self.world.set_config(directory),
            // The one in force stays; the service accepts only valid ones.
            Err(error) => self.unreadable.add(entry, &error),
        }
    }
}
