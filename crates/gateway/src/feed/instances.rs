//! Follows the platform's instance list, for this gateway or for all.

use std::{sync::Arc, time::Duration};

use citrongw_coordination::clock::Clock;
use citrongw_protocol::store::Snapshot;
use citrongw_state::{
    id::{NodeId, Revision},
    time::Time,
};
use derive_more::Display;
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval},
};

use super::{ListMessage, RoutingState, cold_entries::ColdEntries, unreadable::UnreadableRecords};
use crate::{
    adapter::Adapter,
    instance_table::{InstanceTable, InstancesView},
    listing::{self, ApplyOutcome, ChangeHistory, ListChange, ReaderState},
    lock::lock,
    peers::{Peers, message::PeerMessage},
};

/// Interval between reads by the list reader.
const READER_READ_INTERVAL: Duration = Duration::from_millis(450);
/// Interval between reads by a gateway for itself. A leaving instance must be
/// known within the shortest drain time of the platform, which is twice this
/// interval.
const OWN_READ_INTERVAL: Duration = Duration::from_millis(900);

/// Interval between reads by a gateway for itself while the store is unreachable.
/// The gateways that read for others notice the end of an outage sooner.
const OUTAGE_READ_INTERVAL: Duration = Duration::from_millis(3_600);
/// Interval between checks of whether a read is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Silence of the list reader after which the substitute of a zone reads the list
/// for its zone: less than that after which each gateway reads it for itself, by
/// more than a read takes.
const SUBSTITUTE_SILENCE: Duration = Duration::from_millis(600);
/// Time without the requested changes after which a gateway reads the list.
const MISSING_TIMEOUT: Duration = Duration::from_millis(300);

/// Where a gateway gets the instance list from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
enum ListSource {
    /// It reads the list for all gateways.
    #[display("reads for all")]
    Reader,
    /// It reads the list for its zone.
    #[display("reads for its zone")]
    Substitute,
    /// It applies the changes of a gateway that reads the list.
    #[display("follows {_0}")]
    Follower(NodeId),
    /// It reads the list for itself.
    #[display("reads for itself")]
    Alone,
}

/// Keeps this gateway's instance list up to date.
pub(super) struct InstanceFeed {
    adapter: Adapter,
    routing: Arc<RoutingState>,
    peers: Arc<Peers>,
    clock: Clock,
    table: InstanceTable,
    revision: Revision,
    read_at: Option<Time>,
    /// Changes for gateways that lost some.
    history: ChangeHistory,
    /// When this gateway requested the changes that it lost.
    requested_missing_at: Option<Time>,
    is_store_reachable: bool,
    source: ListSource,
    unreadable: UnreadableRecords,
    cold_entries: ColdEntries,
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
        revision: Revision::new(0),
        read_at: None,
        history: ChangeHistory::default(),
        requested_missing_at: None,
        is_store_reachable: true,
        source: ListSource::Alone,
        unreadable,
        cold_entries: ColdEntries::default(),
    }
}

impl InstanceFeed {
    /// Follows the list; never returns.
    pub(super) async fn follow(mut self) {
        let list_rx = lock(&self.routing.list_rx).take();
        // Each routing state has only one feed.
        let Some(mut list_rx) = list_rx else { return };
        let mut ticks = interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let routing = Arc::clone(&self.routing);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.read_if_due().await,
                Some(message) = list_rx.recv() => self.handle(message, &mut list_rx).await,
                () = routing.config_changed.notified() => {
                    routing.record_config_change(self.clock.now());
                    self.publish_config_revision().await;
                }
            }
        }
    }

    async fn read_if_due(&mut self) {
        let now = self.clock.now();
        let read_at = self.read_at;
        let is_due = |interval| read_at.is_none_or(|at| interval <= now.since(at));
        let is_substitute = self.peers.is_substitute_reader()
            && !self.routing.has_reader_message(now, SUBSTITUTE_SILENCE);
        if self.peers.is_reader() || is_substitute {
            self.set_source(match self.peers.is_reader() {
                true => ListSource::Reader,
                false => ListSource::Substitute,
            });
            // A check may come slightly before the interval has passed.
            if !is_due(READER_READ_INTERVAL - CHECK_INTERVAL / 2) {
                return;
            }
            let before = self.table.view().clone();
            if self.read().await {
                self.publish_changes(&before).await;
                self.cold_entries.publish(&self.routing, &self.peers).await;
            }
            return;
        }
        let lacks_changes =
            self.requested_missing_at.is_some_and(|at| MISSING_TIMEOUT <= now.since(at));
        let own_interval = match self.is_store_reachable {
            true => OWN_READ_INTERVAL,
            false => OUTAGE_READ_INTERVAL,
        };
        let is_alone = !self.routing.is_reader_active(now) && is_due(own_interval);
        if is_alone {
            self.set_source(ListSource::Alone);
        }
        if lacks_changes || is_alone {
            self.read().await;
        }
    }

    fn set_source(&mut self, source: ListSource) {
        if self.source != source {
            tracing::info!(before = %self.source, now = %source, "source of the instance list changed");
            self.source = source;
        }
    }

    /// Reads the list. True if the key-value service responded.
    async fn read(&mut self) -> bool {
        let read_at = self.clock.now();
        let is_first = self.read_at.replace(read_at).is_none();
        self.requested_missing_at = None;
        let prefix = self.adapter.codec.instances_prefix();
        // Until the first request an older list does no harm, but a gateway that
        // restarts gets its first request at once.
        let listed = match is_first || self.routing.has_traffic() {
            true => self.adapter.store.list(prefix).await,
            false => self.adapter.store.list_stale(prefix).await,
        };
        match listed {
            Ok(snapshot) => {
                if !self.is_store_reachable {
                    tracing::info!(dependency = "store", "instance list is readable again");
                }
                self.is_store_reachable = true;
                self.routing.confirm_config(read_at);
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
            let decoded = decoded.inspect_err(|error| self.unreadable.add(entry, error)).ok()?;
            self.cold_entries.read(&self.routing, &*self.adapter.codec, entry, &decoded);
            Some((decoded, entry.revision))
        });
        let entries: Vec<_> = entries.collect();
        self.cold_entries.record(&self.routing, snapshot);
        let prefix = self.adapter.codec.instances_prefix();
        self.unreadable
            .retain(&prefix, |key| snapshot.entries.iter().any(|entry| entry.key == *key));
        self.table.apply(read_at, snapshot.revision.era, entries).clone()
    }

    /// Handles a message and those that are queued behind it. The backend servers
    /// are derived from the list only once for all of them.
    async fn handle(
        &mut self,
        first: (NodeId, ListMessage),
        list_rx: &mut mpsc::Receiver<(NodeId, ListMessage)>,
    ) {
        let mut has_changed = false;
        let mut next = Some(first);
        while let Some((from, message)) = next {
            match message {
                ListMessage::Change(change) => {
                    has_changed |= self.apply_change(from, &change).await;
                }
                ListMessage::Missing(digest) => self.send_missing(from, digest).await,
            }
            next = list_rx.try_recv().ok();
        }
        if has_changed {
            self.routing.set_instances(self.table.view().clone());
        }
    }

    /// Applies a change from the reader, or requests the changes that were lost
    /// before it. True if the list is another one.
    async fn apply_change(&mut self, from: NodeId, change: &ListChange) -> bool {
        if self.peers.is_reader() {
            return false;
        }
        self.set_source(ListSource::Follower(from));
        let now = self.clock.now();
        let (applied, view) = listing::apply(self.table.view(), self.revision, change, now);
        match applied {
            ApplyOutcome::Stale => false,
            ApplyOutcome::Current => {
                self.history.add(listing::digest(self.table.view()), change);
                self.requested_missing_at = None;
                self.revision = change.revision;
                self.table.replace(change.revision.era, view);
                true
            }
            ApplyOutcome::Diverged => {
                if self.requested_missing_at.is_none() {
                    self.requested_missing_at = Some(now);
                    let digest = listing::digest(self.table.view());
                    self.peers.send_to_gateway(from, &PeerMessage::ListMissing { digest }).await;
                }
                false
            }
        }
    }

    /// Sends a gateway the changes after its copy of the list, if they are kept.
    async fn send_missing(&self, to: NodeId, digest: u64) {
        for change in self.history.since(digest) {
            self.peers.send_to_gateway(to, &PeerMessage::List(change.clone())).await;
        }
    }

    async fn publish_changes(&mut self, before: &InstancesView) {
        // Read before the revision, which is set first.
        let config_version = self.routing.config_version();
        let state = ReaderState {
            config_version,
            revision: self.revision,
            config_revision: self.routing.config_revision(),
            cluster_digest: self.peers.cluster().digest(),
        };
        let mut digest = listing::digest(before);
        for change in listing::changes(before, self.table.view(), state) {
            self.history.add(digest, &change);
            digest = change.digest;
            match self.peers.is_reader() {
                true => self.peers.publish_change(&change).await,
                false => self.peers.publish_change_to_zone(&change).await,
            }
        }
    }

    /// Sends the revision of a new configuration to the others at once.
    async fn publish_config_revision(&mut self) {
        if self.peers.is_reader() {
            let view = self.table.view().clone();
            self.publish_changes(&view).await;
        }
    }
}

#[cfg(test)]
mod tests;
