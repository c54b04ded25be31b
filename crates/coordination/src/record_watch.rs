//! Driver that keeps the domain records known on this node.
//!
//! The first nodes of each availability zone hold a watch on the key-value
//! service; the others read a record when a peer says that it changed. A watch
//! that tells nothing for long is opened anew. A slow periodic read of all
//! finds what both missed; its pause grows with its size, so that its bytes a
//! second stay the same.

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

/// Nodes of one zone that watch.
const ZONE_WATCHERS: usize = 2;
/// Silence after which a watch is opened anew.
const WATCH_SILENCE: Duration = Duration::from_secs(30);
/// Least pause between two reads of all records.
const READ_ALL_LEAST: Duration = Duration::from_secs(20);
/// Bytes a second that the reads of all records may take.
const READ_ALL_BYTES_PER_S: u64 = 500;
/// First pause after a failed call.
const RETRY_FIRST: Duration = Duration::from_millis(200);
/// Longest such pause.
const RETRY_MOST: Duration = Duration::from_secs(5);

/// Records of all domains as this node knows them.
#[derive(Debug, Default)]
pub struct RecordsCell {
    records: ArcSwap<Records>,
    changed: Notify,
    counters: RecordCounters,
}

/// Calls that keeping the records took.
#[derive(Debug, Default)]
pub struct RecordCounters {
    reads: AtomicU64,
    read_alls: AtomicU64,
    watches: AtomicU64,
}

/// Values of the counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RecordCounts {
    /// Reads of one record.
    pub reads: u64,
    /// Reads of all records.
    pub full_reads: u64,
    /// Watches opened.
    pub watches: u64,
}

impl RecordsCell {
    /// Records now known.
    pub fn records(&self) -> Arc<Records> {
        self.records.load_full()
    }

    /// Waits for a change.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Calls so far.
    pub fn counts(&self) -> RecordCounts {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        RecordCounts {
            reads: get(&self.counters.reads),
            full_reads: get(&self.counters.read_alls),
            watches: get(&self.counters.watches),
        }
    }

    /// Takes in a record. False if what is known is not older.
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

    fn knows(&self, change: &RecordChange) -> bool {
        let records = self.records.load();
        records.get(&change.domain).is_some_and(|it| change.revision <= it.1)
    }

    fn forget(&self, domain: &FabricDomainId, revision: Revision) {
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

/// What the driver works with.
pub struct RecordWatch {
    /// Client of the key-value service.
    pub store: Arc<dyn Store>,
    /// Records known.
    pub cell: Arc<RecordsCell>,
    /// Replicas known.
    pub table: Arc<ReplicaTable>,
    /// News.
    pub news: Arc<GossipBus>,
    /// Live nodes.
    pub nodes: Arc<NodeView>,
}

/// Spawns the driver.
pub fn spawn(watch: RecordWatch) -> JoinHandle<()> {
    let watch = Arc::new(watch);
    tokio::spawn(async move {
        tokio::join!(
            keep_watching(&watch),
            keep_reading(&watch),
            take_news(&watch),
            keep_table(&watch),
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

async fn keep_watching(watch: &RecordWatch) {
    let mut pause = RETRY_FIRST;
    loop {
        if is_watcher(&watch.nodes) {
            match watch_once(watch).await {
                Ok(()) => pause = RETRY_FIRST,
                Err(error) => {
                    tracing::warn!(%error, "could not watch domain records");
                    pause = (pause * 2).min(RETRY_MOST);
                }
            }
        }
        tokio::time::sleep(pause).await;
    }
}

/// Reads all, then watches until the watch ends, goes silent, or another node
/// is to watch.
async fn watch_once(watch: &RecordWatch) -> StoreResult<()> {
    let (revision, _) = read_all(watch).await?;
    watch.cell.counters.watches.fetch_add(1, Ordering::Relaxed);
    let from = Revision(revision.0 + 1);
    let mut events = watch.store.watch(DOMAIN_PREFIX.into(), from).await?;
    while is_watcher(&watch.nodes) {
        let Ok(Some(event)) = tokio::time::timeout(WATCH_SILENCE, events.next()).await else {
            return Ok(());
        };
        match event? {
            WatchEvent::Put(entry) => take_entry(watch, &entry, true),
            WatchEvent::Deleted(key, revision) => {
                if let Some(domain) = domain_of_key(&key) {
                    watch.cell.forget(&domain, revision);
                }
            }
            WatchEvent::Progress(_) => {}
        }
    }
    Ok(())
}

async fn keep_reading(watch: &RecordWatch) {
    let mut failed = RETRY_FIRST;
    loop {
        match read_all(watch).await {
            Ok((_, bytes)) => {
                failed = RETRY_FIRST;
                let by_bytes = Duration::from_secs(bytes / READ_ALL_BYTES_PER_S);
                tokio::time::sleep(READ_ALL_LEAST.max(by_bytes)).await;
            }
            Err(error) => {
                tracing::warn!(%error, "could not read domain records");
                tokio::time::sleep(failed).await;
                failed = (failed * 2).min(RETRY_MOST);
            }
        }
    }
}

async fn read_all(watch: &RecordWatch) -> StoreResult<(Revision, u64)> {
    watch.cell.counters.read_alls.fetch_add(1, Ordering::Relaxed);
    let snapshot = watch.store.list(DOMAIN_PREFIX.into()).await?;
    let bytes = snapshot.entries.iter().map(|it| it.value.len() as u64).sum();
    for entry in &snapshot.entries {
        take_entry(watch, entry, false);
    }
    Ok((snapshot.revision, bytes))
}

/// Reads the records that peers say have changed, once each.
async fn take_news(watch: &RecordWatch) {
    let mut news_rx = watch.news.subscribe();
    loop {
        match news_rx.recv().await {
            Ok(GossipItem::DomainChanged(change)) if !watch.cell.knows(&change) => {
                watch.cell.counters.reads.fetch_add(1, Ordering::Relaxed);
                match watch.store.get(domain_key(&change.domain)).await {
                    Ok(snapshot) => {
                        if let Some(entry) = snapshot.into_entry() {
                            take_entry(watch, &entry, false);
                        }
                    }
                    Err(error) => tracing::debug!(%error, "could not read changed record"),
                }
            }
            Ok(GossipItem::Leaving(leaving)) => watch.table.mark_leaving(&leaving),
            Ok(_) | Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return,
        }
    }
}

fn take_entry(watch: &RecordWatch, entry: &Entry, tell: bool) {
    let Some(domain) = domain_of_key(&entry.key) else { return };
    match serde_json::from_slice::<DomainRecord>(&entry.value) {
        Ok(record) => {
            let epoch = record.epoch;
            let revision = entry.revision;
            if watch.cell.update(&domain, &Arc::new(record), revision) && tell {
                let change = RecordChange { domain, epoch, revision };
                watch.news.publish(GossipItem::DomainChanged(change));
            }
        }
        Err(error) => tracing::error!(%error, key = %entry.key, "could not read record"),
    }
}

/// Renews the replica table after each change, but not for each of many.
async fn keep_table(watch: &RecordWatch) {
    /// Pause in which changes are gathered.
    const GATHER: Duration = Duration::from_millis(20);
    /// Pause after which the table is renewed in any case.
    const RENEW: Duration = Duration::from_secs(1);
    let mut known: Option<Arc<Records>> = None;
    loop {
        let records = watch.cell.records();
        if known.as_ref().is_none_or(|it| !Arc::ptr_eq(it, &records)) {
            update_replica_table(&watch.table, &records);
            known = Some(records);
        }
        let until = Instant::now() + RENEW;
        let _ = tokio::time::timeout_at(until, watch.cell.changed()).await;
        tokio::time::sleep(GATHER).await;
    }
}

/// Puts the records into the replica table.
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
