//! Driver that keeps this node's copy of the domain records up to date.
//!
//! The first nodes of each availability zone keep a watch on the key-value
//! service; the others read a record when a peer reports a change of it. A watch
//! without events for a while is reopened. A slow periodic read of all records
//! finds changes that the watches and the peers missed; its interval grows with
//! the size of the records, so that its bytes a second stay constant.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use citrongw_protocol::{
    gossip_item::{GossipItem, RecordChange},
    record::{DOMAIN_PREFIX, DomainRecord, domain_key, domain_of_key},
    store::{Entry, Store, StoreResult, WatchEvent},
};
use citrongw_state::id::{FabricDomainId, NodeId, Revision};
use futures::StreamExt;
use tokio::{
    sync::{Notify, broadcast::error::RecvError},
    task::JoinHandle,
    time::Instant,
};

use crate::{
    control::plan::Records, gossip_bus::GossipBus, node_view::NodeView, replica_table::ReplicaTable,
};

/// Nodes of a zone that keep a watch.
const ZONE_WATCHERS: usize = 2;
/// Time without events after which a watch is reopened.
const WATCH_SILENCE: Duration = Duration::from_secs(30);
/// Minimum interval between reads of all records.
const READ_ALL_MIN_INTERVAL: Duration = Duration::from_secs(20);
/// Bytes a second that reads of all records may transfer.
const READ_ALL_MAX_BYTES_PER_S: u64 = 500;
/// Initial retry delay after a failed call.
const RETRY_INITIAL: Duration = Duration::from_millis(200);
/// Maximum retry delay.
const RETRY_MAX: Duration = Duration::from_secs(5);

/// This node's copy of all domain records.
#[derive(Debug, Default)]
pub struct RecordsCell {
    records: ArcSwap<Records>,
    changed: Notify,
    counters: RecordCounters,
}

/// Counters of the calls that keep the records up to date.
#[derive(Debug, Default)]
pub struct RecordCounters {
    reads: AtomicU64,
    full_reads: AtomicU64,
    watches: AtomicU64,
}

/// Values of [`RecordCounters`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RecordCounts {
    /// Reads of single records.
    pub reads: u64,
    /// Reads of all records.
    pub full_reads: u64,
    /// Watches opened.
    pub watches: u64,
}

impl RecordsCell {
    /// Current records with their revisions.
    pub fn records(&self) -> Arc<Records> {
        self.records.load_full()
    }

    /// Waits for the next change of the records.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Number of calls since the start.
    pub fn counts(&self) -> RecordCounts {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        RecordCounts {
            reads: get(&self.counters.reads),
            full_reads: get(&self.counters.full_reads),
            watches: get(&self.counters.watches),
        }
    }

    /// Stores a record if it is newer than the known one. Returns whether it was.
    pub fn update(
        &self,
        domain: &FabricDomainId,
        record: &Arc<DomainRecord>,
        revision: Revision,
    ) -> bool {
        let newer = |records: &Records| records.get(domain).is_none_or(|it| it.1 < revision);
        if !newer(&self.records.load()) {
            return false;
        }
        self.records.rcu(|records| {
            let mut records = Records::clone(records);
            if newer(&records) {
                records.insert(domain.clone(), (Arc::clone(record), revision));
            }
            records
        });
        self.changed.notify_waiters();
        true
    }

    fn is_current(&self, change: &RecordChange) -> bool {
        let records = self.records.load();
        records.get(&change.domain).is_some_and(|it| change.revision <= it.1)
    }

    fn remove(&self, domain: &FabricDomainId, revision: Revision) {
        self.records.rcu(|records| {
            let mut records = Records::clone(records);
            if records.get(domain).is_some_and(|it| it.1 < revision) {
                records.remove(domain);
            }
            records
        });
        self.changed.notify_waiters();
    }
}

/// Dependencies of the driver.
pub struct RecordWatch {
    /// Client of the key-value service.
    pub store: Arc<dyn Store>,
    /// Records, updated by the driver.
    pub cell: Arc<RecordsCell>,
    /// Replica table, updated by the driver.
    pub table: Arc<ReplicaTable>,
    /// Gossip items of this node and its peers.
    pub gossip: Arc<GossipBus>,
    /// Live nodes.
    pub nodes: Arc<NodeView>,
}

/// Spawns the driver.
pub fn spawn(watch: RecordWatch) -> JoinHandle<()> {
    let watch = Arc::new(watch);
    tokio::spawn(async move {
        tokio::join!(
            watch_loop(&watch),
            read_loop(&watch),
            handle_gossip(&watch),
            update_table_loop(&watch),
        );
    })
}

/// Whether this node is one of its zone's watchers.
pub fn is_watcher(nodes: &NodeView) -> bool {
    let this = nodes.this();
    let alive = nodes.alive();
    let mut zone: Vec<NodeId> =
        alive.iter().filter(|it| it.zone == this.zone).map(|it| it.id).collect();
    zone.sort_unstable();
    zone.iter().take(ZONE_WATCHERS).any(|it| *it == this.id)
}

async fn watch_loop(watch: &RecordWatch) {
    let mut pause = RETRY_INITIAL;
    loop {
        if is_watcher(&watch.nodes) {
            match watch_once(watch).await {
                Ok(()) => pause = RETRY_INITIAL,
                Err(error) => {
                    tracing::warn!(%error, "could not watch domain records");
                    pause = (pause * 2).min(RETRY_MAX);
                }
            }
        }
        tokio::time::sleep(pause).await;
    }
}

/// Reads all records, then watches them until the watch ends, delivers nothing
/// for [`WATCH_SILENCE`], or this node is no longer a watcher.
async fn watch_once(watch: &RecordWatch) -> StoreResult<()> {
    let (revision, _) = read_all(watch).await?;
    watch.cell.counters.watches.fetch_add(1, Ordering::Relaxed);
    let from = revision.next();
    let mut events = watch.store.watch(DOMAIN_PREFIX.into(), from).await?;
    while is_watcher(&watch.nodes) {
        let Ok(Some(event)) = tokio::time::timeout(WATCH_SILENCE, events.next()).await else {
            return Ok(());
        };
        match event? {
            WatchEvent::Put(entry) => apply_entry(watch, &entry, true),
            WatchEvent::Deleted(key, revision) => {
                if let Some(domain) = domain_of_key(&key) {
                    watch.cell.remove(&domain, revision);
                }
            }
            WatchEvent::Progress(_) => {}
        }
    }
    Ok(())
}

async fn read_loop(watch: &RecordWatch) {
    let mut retry_delay = RETRY_INITIAL;
    loop {
        match read_all(watch).await {
            Ok((_, bytes)) => {
                retry_delay = RETRY_INITIAL;
                let by_bytes = Duration::from_secs(bytes / READ_ALL_MAX_BYTES_PER_S);
                tokio::time::sleep(READ_ALL_MIN_INTERVAL.max(by_bytes)).await;
            }
            Err(error) => {
                tracing::warn!(%error, "could not read domain records");
                tokio::time::sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(RETRY_MAX);
            }
        }
    }
}

async fn read_all(watch: &RecordWatch) -> StoreResult<(Revision, u64)> {
    watch.cell.counters.full_reads.fetch_add(1, Ordering::Relaxed);
    let snapshot = watch.store.list(DOMAIN_PREFIX.into()).await?;
    let bytes = snapshot.entries.iter().map(|it| it.value.len() as u64).sum();
    for entry in &snapshot.entries {
        apply_entry(watch, entry, false);
    }
    Ok((snapshot.revision, bytes))
}

/// Reads records for which peers reported a newer revision, and marks leaving
/// instances.
async fn handle_gossip(watch: &RecordWatch) {
    let mut gossip_rx = watch.gossip.subscribe();
    loop {
        match gossip_rx.recv().await {
            Ok(GossipItem::DomainChanged(change)) if !watch.cell.is_current(&change) => {
                watch.cell.counters.reads.fetch_add(1, Ordering::Relaxed);
                match watch.store.get(domain_key(&change.domain)).await {
                    Ok(snapshot) => {
                        if let Some(entry) = snapshot.into_entry() {
                            apply_entry(watch, &entry, false);
                        }
                    }
                    Err(error) => tracing::debug!(%error, "could not read domain record"),
                }
            }
            Ok(GossipItem::Leaving(leaving)) => watch.table.mark_leaving(&leaving),
            Ok(_) | Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return,
        }
    }
}

fn apply_entry(watch: &RecordWatch, entry: &Entry, publish_change: bool) {
    let Some(domain) = domain_of_key(&entry.key) else { return };
    match serde_json::from_slice::<DomainRecord>(&entry.value) {
        Ok(record) => {
            let epoch = record.epoch;
            let revision = entry.revision;
            if watch.cell.update(&domain, &Arc::new(record), revision) && publish_change {
                let change = RecordChange { domain, epoch, revision };
                watch.gossip.publish(GossipItem::DomainChanged(change));
            }
        }
        Err(error) => tracing::error!(%error, key = %entry.key, "could not decode domain record"),
    }
}

/// Updates the replica table after changes of the records, batching changes that
/// follow each other closely.
async fn update_table_loop(watch: &RecordWatch) {
    /// Time for which further changes are collected.
    const BATCH_DELAY: Duration = Duration::from_millis(20);
    /// Interval at which the records are checked without a notification.
    const CHECK_INTERVAL: Duration = Duration::from_secs(1);
    let mut known: Option<Arc<Records>> = None;
    loop {
        let records = watch.cell.records();
        if known.as_ref().is_none_or(|it| !Arc::ptr_eq(it, &records)) {
            update_replica_table(&watch.table, &records);
            known = Some(records);
        }
        let until = Instant::now() + CHECK_INTERVAL;
        let _ = tokio::time::timeout_at(until, watch.cell.changed()).await;
        tokio::time::sleep(BATCH_DELAY).await;
    }
}

/// Replaces the contents of the replica table by those of the records.
pub fn update_replica_table(
    table: &ReplicaTable,
    records: &BTreeMap<FabricDomainId, (Arc<DomainRecord>, Revision)>,
) {
    let all = || records.values().map(|(record, _)| record);
    let leaving = all().flat_map(|it| &it.leaving).map(|it| (&it.instance, it.incarnation));
    let returned = all().flat_map(|it| &it.returned).map(|it| (&it.instance, it.incarnation));
    table.replace(all().flat_map(|it| it.replicas.iter().cloned()).collect());
    table.set_leaving(leaving, returned);
}
