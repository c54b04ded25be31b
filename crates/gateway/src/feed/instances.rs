//! Follows the platform's instance list, for this gateway or for all.

use std::{
    sync::{Arc, PoisonError},
    time::Duration,
};

use citrongw_coordination::clock::Clock;
use citrongw_protocol::store::Snapshot;
use citrongw_state::{id::Revision, time::Time};
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval},
};

use super::{RoutingState, unreadable::UnreadableRecords};
use crate::{
    adapter::Adapter,
    instance_table::{InstanceTable, InstancesView},
    listing::{self, ApplyOutcome, ListChange, ReaderState},
    peers::{Peers, message::PeerMessage},
};

/// Interval between reads by the list reader.
const READER_READ_INTERVAL: Duration = Duration::from_millis(450);
/// Interval between reads by a gateway for itself. A leaving instance must be
/// known within the shortest drain time of the platform, which is twice this
/// interval.
const OWN_READ_INTERVAL: Duration = Duration::from_millis(900);

/// Keeps this gateway's instance list up to date.
pub(super) struct InstanceFeed {
    adapter: Adapter,
    routing: Arc<RoutingState>,
    peers: Arc<Peers>,
    clock: Clock,
    table: InstanceTable,
    revision: Revision,
    read_at: Option<Time>,
    is_store_reachable: bool,
    unreadable: UnreadableRecords,
}

/// Creates the feed.
pub(super) fn open(
    adapter: &Adapter,
    routing: &Arc<RoutingState>,
    peers: &Arc<Peers>,
    unreadable: UnreadableRecords,
    clock: Clock,
) -> InstanceFeed {
    InstanceFeed {
        adapter: adapter.clone(),
        routing: Arc::clone(routing),
        peers: Arc::clone(peers),
        clock,
        table: InstanceTable::default(),
        revision: Revision(0),
        read_at: None,
        is_store_reachable: true,
        unreadable,
    }
}

impl InstanceFeed {
    /// Follows the list; never returns.
    pub(super) async fn follow(mut self) {
        let list_rx = self.routing.list_rx.lock().unwrap_or_else(PoisonError::into_inner).take();
        // Each routing state has only one feed.
        let Some(mut list_rx) = list_rx else { return };
        let mut ticks = interval(READER_READ_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let routing = Arc::clone(&self.routing);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.read_if_due().await,
                Some(change) = list_rx.recv() => self.handle_change(&change, &mut list_rx).await,
                () = routing.config_changed.notified() => self.publish_config_revision().await,
            }
        }
    }

    async fn read_if_due(&mut self) {
        let now = self.clock.now();
        if self.peers.is_reader() {
            let before = self.table.view().clone();
            if self.read().await {
                self.publish_changes(&before).await;
            }
        } else if !self.routing.is_reader_active(now)
            && self.read_at.is_none_or(|at| OWN_READ_INTERVAL <= now.since(at))
        {
            self.read().await;
        }
    }

    /// Reads the list. True if the key-value service responded.
    async fn read(&mut self) -> bool {
        let read_at = self.clock.now();
        self.read_at = Some(read_at);
        match self.adapter.store.list(self.adapter.codec.instances_prefix()).await {
            Ok(snapshot) => {
                if !self.is_store_reachable {
                    tracing::info!(dependency = "store", "instance list is readable again");
                }
                self.is_store_reachable = true;
                self.revision = snapshot.revision;
                let view = self.apply_snapshot(read_at, &snapshot);
                self.routing.set_instances(view);
                true
            }
            Err(error) => {
                if self.is_store_reachable {
                    tracing::warn!(%error, dependency = "store", "could not read the instance list");
                }
                self.is_store_reachable = false;
                false
            }
        }
    }

    fn apply_snapshot(&mut self, read_at: Time, snapshot: &Snapshot) -> InstancesView {
        let entries = snapshot.entries.iter().filter_map(|entry| {
            // An entry that cannot be decoded is left out.
            let decoded = self.adapter.codec.decode_instance(entry);
            let decoded = decoded.inspect_err(|error| self.unreadable.add(entry, error));
            Some((decoded.ok()?, entry.revision))
        });
        let entries: Vec<_> = entries.collect();
        let prefix = self.adapter.codec.instances_prefix();
        self.unreadable
            .retain(&prefix, |key| snapshot.entries.iter().any(|entry| entry.key == *key));
        self.table.apply(read_at, entries).clone()
    }

    /// Applies a change from the reader, or reads the list if a change is
    /// missing.
    async fn handle_change(
        &mut self,
        change: &ListChange,
        list_rx: &mut mpsc::Receiver<ListChange>,
    ) {
        if self.peers.is_reader() {
            return;
        }
        let now = self.clock.now();
        let (applied, view) = listing::apply(self.table.view(), self.revision, change, now);
        match applied {
            ApplyOutcome::Stale => {}
            ApplyOutcome::Current => {
                self.revision = change.revision;
                self.table.replace(view.clone());
                self.routing.set_instances(view);
            }
            ApplyOutcome::Diverged => {
                self.read().await;
                // The read includes the queued changes.
                while list_rx.try_recv().is_ok() {}
            }
        }
    }

    async fn publish_changes(&self, before: &InstancesView) {
        let state = ReaderState {
            revision: self.revision,
            config_revision: self.routing.config_revision(),
            cluster_digest: self.peers.cluster().digest(),
        };
        for change in listing::changes(before, self.table.view(), state) {
            self.peers.broadcast(&PeerMessage::List(change)).await;
        }
    }

    /// Sends the revision of a new configuration to the others at once.
    async fn publish_config_revision(&self) {
        if self.peers.is_reader() {
            self.publish_changes(self.table.view()).await;
        }
    }
}
