//! The list of gateways and of the owners of domains.
//!
//! Each gateway keeps itself in the list. The reader of the list of instances reads
//! this one too and tells its digest; the others read it only if theirs differs.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use citrongw_protocol::store::{
    Change, Entry, Expected, Key, Store, StoreError, StoreResult, Write, WriteResult,
};
use citrongw_state::id::NodeId;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::{LISTING_RETRY, LIVE_PREFIX, OWNER_PREFIX, Peers};

pub(super) const NODE_PREFIX: &str = "citrongw/live/node/";
/// Time after which a gateway that ended is no longer listed.
pub(super) const NODE_LEASE_TIME: Duration = Duration::from_secs(10);
/// Pause between two renewals of that: a third of its time.
const NODE_RENEW_INTERVAL: Duration = Duration::from_millis(3_300);
/// Pause between two reads of the list of gateways and owners.
const LIVE_INTERVAL: Duration = Duration::from_millis(700);
/// Longest random wait before a read of that list which all make at once.
const MAX_JITTER_MS: u64 = 200;

/// Gateways and owners as last read.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ClusterView {
    /// Address of each gateway.
    pub nodes: BTreeMap<NodeId, SocketAddr>,
    /// Owner of each domain, by the key that names it.
    pub owners: BTreeMap<Key, NodeId>,
}

impl ClusterView {
    /// Digest, alike on all gateways of one build.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// Keeps this gateway in the list.
pub(super) async fn register_self(peers: Arc<Peers>, store: Arc<dyn Store>, addr: SocketAddr) {
    loop {
        if let Err(error) = list_until_lapsed(&peers, &*store, addr).await {
            tracing::info!(%error, "gateway is not listed among its peers");
        }
        sleep(LISTING_RETRY).await;
    }
}

async fn list_until_lapsed(peers: &Peers, store: &dyn Store, addr: SocketAddr) -> StoreResult<()> {
    let lease = store.grant_lease(NODE_LEASE_TIME).await?;
    let write = Write {
        key: format!("{NODE_PREFIX}{}", peers.node).into(),
        expected: Expected::Absent,
        change: Change::Put(Bytes::from(addr.to_string())),
        lease: Some(lease),
    };
    // An entry of an earlier lease ends with it; then this is tried again.
    if let WriteResult::Conflict(_) = store.compare_and_swap(write).await? {
        store.end_lease(lease).await?;
        return Ok(());
    }
    loop {
        sleep(NODE_RENEW_INTERVAL).await;
        match store.renew_lease(lease).await {
            Ok(()) => {}
            Err(StoreError::Refused { reason }) => {
                return Err(StoreError::Refused { reason });
            }
            // The next renewal may still come in time.
            Err(error) => tracing::debug!(%error, "listing among peers was not renewed"),
        }
    }
}

pub(super) async fn poll_cluster(peers: Arc<Peers>, store: Arc<dyn Store>) {
    let mut ticks = interval(LIVE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            // The other gateways are told at the same time; they spread out.
            () = peers.digest_differs.notified() => {
                sleep(Duration::from_millis(rand::random_range(0..MAX_JITTER_MS))).await;
            }
        }
        if !peers.is_reader() && peers.is_current() {
            continue;
        }
        match store.list_stale(LIVE_PREFIX.into()).await {
            Ok(snapshot) => peers.set_live(decode(&snapshot.entries)),
            Err(error) => tracing::debug!(%error, "could not read the list of peers"),
        }
    }
}

pub(super) fn decode(entries: &[Entry]) -> ClusterView {
    let mut live = ClusterView::default();
    for entry in entries {
        let value = std::str::from_utf8(&entry.value).unwrap_or_default();
        if let Some(node) = entry.key.as_str().strip_prefix(NODE_PREFIX) {
            if let (Ok(node), Ok(addr)) = (node.parse(), value.parse()) {
                live.nodes.insert(node, addr);
            }
        } else if entry.key.as_str().starts_with(OWNER_PREFIX)
            && let Ok(node) = value.parse()
        {
            live.owners.insert(entry.key.clone(), node);
        }
    }
    live
}
