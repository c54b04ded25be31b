//! List of the gateways, of the owners of domains and of the culprits of crashes.
//!
//! Each gateway keeps itself registered in the list. The reader of the instance
//! list reads this list too and publishes its digest. The others read the list
//! only if their digest differs.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    str::FromStr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use citrongw_protocol::store::{
    Change, Entry, Expected, Key, Store, StoreError, StoreResult, Write, WriteResult,
};
use citrongw_state::{
    crash_suspicion::shared_parts::Culprit,
    id::{AvailabilityZone, NodeId},
};
use derive_more::Display;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::{backoff, lock::lock};

use super::{CULPRIT_PREFIX, LIVE_PREFIX, OWNER_PREFIX, Peers, REGISTER_RETRY_DELAY};

pub(super) const NODE_PREFIX: &str = "citrongw/live/node/";
/// Time to live of a gateway's entry: a gateway that ended is listed for this
/// long.
pub(super) const NODE_LEASE_TIME: Duration = Duration::from_secs(10);
/// Interval between renewals of the lease: a third of its time to live.
const NODE_RENEW_INTERVAL: Duration = Duration::from_millis(3_300);
/// Longest delay between attempts to register: a fraction of the time after which
/// the other gateways lose one that is not registered.
const MAX_REGISTER_RETRY_DELAY: Duration = Duration::from_secs(4);
/// Interval between reads of the list of gateways and owners.
const CLUSTER_POLL_INTERVAL: Duration = Duration::from_millis(700);
/// Largest random delay before a read that all gateways would otherwise make at
/// the same time.
const MAX_JITTER_MS: u64 = 200;

/// Gateway in the list.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
#[display("{addr} {zone}")]
pub struct ListedGateway {
    /// Address for datagrams.
    pub addr: SocketAddr,
    /// Zone of the gateway.
    pub zone: AvailabilityZone,
}

/// Error of reading a gateway's entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("entry is not an address and a zone")]
pub struct InvalidEntry;

impl FromStr for ListedGateway {
    type Err = InvalidEntry;

    fn from_str(text: &str) -> Result<Self, InvalidEntry> {
        let (addr, zone) = text.split_once(' ').ok_or(InvalidEntry)?;
        Ok(Self { addr: addr.parse().map_err(|_| InvalidEntry)?, zone: zone.into() })
    }
}

/// Gateways and owners as last read.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ClusterView {
    /// Gateways by id.
    pub nodes: BTreeMap<NodeId, ListedGateway>,
    /// Owner of each domain, by the owner key of the domain.
    pub owners: BTreeMap<Key, NodeId>,
    /// What makes a request crash servers.
    pub culprits: BTreeSet<Culprit>,
}

impl ClusterView {
    /// Gateways of a zone.
    pub fn gateways_of(&self, zone: &AvailabilityZone) -> impl Iterator<Item = NodeId> {
        self.nodes.iter().filter(move |(_, it)| it.zone == *zone).map(|(node, _)| *node)
    }

    /// Digest of the list, equal on all gateways of one build.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// Keeps this gateway registered in the list.
pub(super) async fn register_self(peers: Arc<Peers>, store: Arc<dyn Store>, addr: SocketAddr) {
    let mut backoff = backoff::open(REGISTER_RETRY_DELAY, MAX_REGISTER_RETRY_DELAY);
    loop {
        match register_until_expired(&peers, &*store, addr).await {
            Ok(()) => backoff.reset(),
            Err(error) => {
                tracing::info!(%error, "could not keep the gateway registered among its peers");
            }
        }
        sleep(backoff.next_delay()).await;
    }
}

async fn register_until_expired(
    peers: &Peers,
    store: &dyn Store,
    addr: SocketAddr,
) -> StoreResult<()> {
    let lease = store.grant_lease(NODE_LEASE_TIME).await?;
    let listed = ListedGateway { addr, zone: peers.zone.clone() };
    let write = Write {
        key: format!("{NODE_PREFIX}{}", peers.node).into(),
        expected: Expected::Absent,
        change: Change::Put(Bytes::from(listed.to_string())),
        lease: Some(lease),
    };
    // The entry of an earlier lease is deleted when that lease expires. The
    // caller retries until then.
    if let WriteResult::Conflict(_) = store.compare_and_swap(write).await? {
        store.end_lease(lease).await?;
        return Ok(());
    }
    *lock(&peers.registration) = Some(lease);
    loop {
        sleep(NODE_RENEW_INTERVAL).await;
        match store.renew_lease(lease).await {
            Ok(()) => {}
            Err(StoreError::Refused { reason }) => {
                return Err(StoreError::Refused { reason });
            }
            // The next renewal may still be in time.
            Err(error) => tracing::debug!(%error, "could not renew the registration among peers"),
        }
    }
}

pub(super) async fn poll_cluster(peers: Arc<Peers>, store: Arc<dyn Store>) {
    let mut ticks = interval(CLUSTER_POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            // The other gateways are notified at the same time, so each waits for
            // a random delay.
            () = peers.digest_differs.notified() => {
                sleep(Duration::from_millis(rand::random_range(0..MAX_JITTER_MS))).await;
            }
        }
        if !peers.is_reader() && peers.is_current() {
            continue;
        }
        match store.list_stale(LIVE_PREFIX.into()).await {
            Ok(snapshot) => peers.set_cluster(decode(&snapshot.entries)),
            Err(error) => tracing::debug!(%error, "could not read the list of peers"),
        }
    }
}

pub(super) fn decode(entries: &[Entry]) -> ClusterView {
    let mut cluster = ClusterView::default();
    for entry in entries {
        let value = std::str::from_utf8(&entry.value).unwrap_or_default();
        if let Some(node) = entry.key.as_str().strip_prefix(NODE_PREFIX) {
            if let (Ok(node), Ok(addr)) = (node.parse(), value.parse()) {
                cluster.nodes.insert(node, addr);
            }
        } else if entry.key.as_str().starts_with(OWNER_PREFIX)
            && let Ok(node) = value.parse()
        {
            cluster.owners.insert(entry.key.clone(), node);
        } else if entry.key.as_str().starts_with(CULPRIT_PREFIX)
            && let Ok(culprit) = value.parse()
        {
            cluster.culprits.insert(culprit);
        }
    }
    cluster
}
