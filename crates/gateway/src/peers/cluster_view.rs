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

use citrongw_protocol::store::{Entry, Key, Store, StoreError, StoreResult};
use citrongw_state::{
    crash_suspicion::shared_parts::Culprit,
    id::{AvailabilityZone, NodeId},
};
use derive_more::Display;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::{backoff, leased_key, lock::lock, store_era::NewestEra};

use super::{CULPRIT_PREFIX, LIVE_PREFIX, OWNER_PREFIX, Peers, REGISTER_RETRY_DELAY};

pub(super) const NODE_PREFIX: &str = "citrongw/live/node/";
/// Time to live of a gateway's entry: a gateway that ended is listed for this
/// long.
pub(crate) const NODE_LEASE_TIME: Duration = Duration::from_secs(10);
/// Interval between renewals of the lease: a third of its time to live.
const NODE_RENEW_INTERVAL: Duration = Duration::from_millis(3_300);
/// Longest delay between attempts to register: a fraction of the time after which
/// the other gateways lose one that is not registered.
const MAX_REGISTER_RETRY_DELAY: Duration = Duration::from_secs(4);
/// Interval between reads of the list of gateways and owners.
const CLUSTER_POLL_INTERVAL: Duration = Duration::from_millis(700);
/// Largest random delay before a read that all gateways would otherwise make at
/// the same time.
pub(super) const MAX_JITTER: Duration = Duration::from_millis(200);

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
pub(super) async fn register_self(
    peers: Arc<Peers>,
    store: Arc<dyn Store>,
    era: NewestEra,
    addr: SocketAddr,
) {
    let mut backoff = backoff::open(REGISTER_RETRY_DELAY, MAX_REGISTER_RETRY_DELAY);
    loop {
        match register_until_expired(&peers, &*store, &era, addr).await {
            Ok(Ended::Conflict) => backoff.reset(),
            Ok(Ended::NewEra) => {
                backoff.reset();
                // All gateways register again at the same time.
                sleep(MAX_JITTER.mul_f64(rand::random())).await;
                continue;
            }
            Err(error) => {
                tracing::info!(%error, "could not keep the gateway registered among its peers");
            }
        }
        sleep(backoff.next_delay()).await;
    }
}

/// Why a registration ended.
enum Ended {
    /// Another value is registered.
    Conflict,
    /// The key-value service was restored from a backup, in which it may be missing.
    NewEra,
}

async fn register_until_expired(
    peers: &Peers,
    store: &dyn Store,
    era: &NewestEra,
    addr: SocketAddr,
) -> StoreResult<Ended> {
    let listed = ListedGateway { addr, zone: peers.zone.clone() };
    let key = format!("{NODE_PREFIX}{}", peers.node).into();
    let claimed = leased_key::claim(store, key, listed.to_string(), NODE_LEASE_TIME).await?;
    let Some(lease) = claimed else { return Ok(Ended::Conflict) };
    *lock(&peers.registration) = Some(lease);
    loop {
        tokio::select! {
            () = sleep(NODE_RENEW_INTERVAL) => {}
            () = era.wait_after(lease.era) => return Ok(Ended::NewEra),
        }
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
                sleep(MAX_JITTER.mul_f64(rand::random())).await;
            }
        }
        if !peers.is_reader() && peers.is_current() {
            continue;
        }
        match store.list_stale(LIVE_PREFIX.into()).await {
            Ok(snapshot) => peers.apply_read(snapshot.revision.era, decode(&snapshot.entries)),
            Err(error) => tracing::debug!(%error, "could not read the list of peers"),
        }
    }
}

pub(crate) fn decode(entries: &[Entry]) -> ClusterView {
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
