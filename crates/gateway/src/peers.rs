//! The other gateways: their addresses, and the datagrams exchanged with them.

mod cluster_view;
mod evacuation_updates;
pub mod message;
mod restored_cluster;
mod secret;
pub mod work_readers;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use arc_swap::ArcSwap;
use citrongw_coordination::clock::Clock;
use citrongw_protocol::store::{Key, LeaseId, Store, StoreError, StoreResult};
use citrongw_state::{
    crash_suspicion::shared_parts::Culprit,
    id::{AvailabilityZone, Epoch, NodeId, ReplicaId, StoreEra},
    time::Time,
};
use citrongw_transport::{
    peer_auth::{self, PeerKeys},
    peer_udp::{self, PeerUdp, Received},
};
use derive_more::Debug;
use tokio::{
    sync::{Notify, OnceCell, mpsc},
    task::JoinHandle,
    time::sleep,
};

pub(crate) use self::cluster_view::NODE_LEASE_TIME;
#[cfg(test)]
pub(crate) use self::cluster_view::decode;
pub use self::cluster_view::{ClusterView, ListedGateway};
use self::{
    cluster_view::{poll_cluster, register_self},
    message::{EvacuationUpdate, PeerMessage},
    restored_cluster::RestoredCluster,
    work_readers::WorkReaders,
};
use crate::{control::plan::DomainKey, listing::ListChange, lock::lock, store_era::NewestEra};

/// Prefix of all keys that are attached to the lease of a process.
pub const LIVE_PREFIX: &str = "citrongw/live/";
/// Prefix of the keys that name the owners of domains.
pub const OWNER_PREFIX: &str = "citrongw/live/owner/";
/// Prefix of the keys that name what makes a request crash servers.
pub(crate) const CULPRIT_PREFIX: &str = "citrongw/live/culprit/";
/// Delay after a failed attempt to register this gateway or to bind its endpoint.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval between reports of one suspected replica. Its owner has polled its
/// members by then.
const SUSPECT_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Number of gateways that is assumed until the list is known: about the largest
/// installation so far.
const ASSUMED_GATEWAYS: usize = 128;
/// Queue length of suspected replicas for the controller of one domain. Further
/// reports add nothing.
const MAX_QUEUED_SUSPECTS: usize = 16;

/// Replica under one epoch.
pub type ReplicaEpoch = (ReplicaId, Epoch);

/// Time that an owner's announcement counts although a read of the list lacks it,
/// because a read may be that old.
const ANNOUNCED_OWNER_TIME: Duration = Duration::from_millis(2_500);
/// Age of the list reader's last digest from which on a gateway reads the list of
/// gateways itself.
const READER_DIGEST_EXPIRY: Duration = Duration::from_millis(1_400);

/// Time after which the reporter of a zone counts as gone: two of its intervals,
/// with a margin.
const REPORTER_EXPIRY: Duration = Duration::from_millis(1_200);

/// Link to the other gateways.
#[derive(Debug)]
pub struct Peers {
    node: NodeId,
    zone: AvailabilityZone,
    clock: Clock,
    cluster: ArcSwap<ClusterView>,
    /// Lease of this gateway's entry in the list.
    registration: Mutex<Option<LeaseId>>,
    /// Secret that signs the datagrams, once it is read.
    #[debug(skip)]
    secret: Mutex<Option<String>>,
    #[debug(skip)]
    endpoint: OnceCell<PeerUdp<PeerMessage>>,
    suspect_reported_at: Mutex<HashMap<ReplicaEpoch, Time>>,
    restored: Mutex<RestoredCluster>,
    /// Owners that announced themselves, and when.
    announced_owners: Mutex<HashMap<Key, (NodeId, Time)>>,
    /// Digest of the reader's list of gateways, and when it was received.
    reader_digest: Mutex<Option<(u64, Time)>>,
    digest_differs: Notify,
    /// When the list of gateways was last read.
    listed_at: Mutex<Option<Time>>,
    /// Reporter of each other zone, and when it last sent the zone's load.
    zone_reporters: Mutex<HashMap<AvailabilityZone, (NodeId, Time)>>,
    /// Gateways that read reports of work.
    work_readers: Mutex<WorkReaders>,
    /// Senders to the controllers of the domains that this gateway owns.
    suspect_txs: Mutex<HashMap<DomainKey, mpsc::Sender<ReplicaEpoch>>>,
}

/// Creates the link of a gateway. Nothing is sent until its endpoint is bound.
pub fn open(node: NodeId, zone: AvailabilityZone, clock: Clock) -> Peers {
    Peers {
        node,
        zone,
        clock,
        cluster: ArcSwap::default(),
        registration: Mutex::default(),
        secret: Mutex::default(),
        endpoint: OnceCell::new(),
        suspect_reported_at: Mutex::default(),
        restored: Mutex::default(),
        announced_owners: Mutex::default(),
        reader_digest: Mutex::default(),
        digest_differs: Notify::new(),
        listed_at: Mutex::default(),
        zone_reporters: Mutex::default(),
        work_readers: Mutex::default(),
        suspect_txs: Mutex::default(),
    }
}

impl Peers {
    /// Id of this gateway.
    pub(crate) fn node(&self) -> NodeId {
        self.node
    }

    /// Gateways and owners as last read, with the owners announced since.
    pub fn cluster(&self) -> Arc<ClusterView> {
        self.cluster.load_full()
    }

    /// Registers this gateway as the owner of a domain. The receiver gets the
    /// suspected replicas of the domain.
    pub fn register_domain(&self, domain: &DomainKey) -> mpsc::Receiver<ReplicaEpoch> {
        let (suspects_tx, suspects_rx) = mpsc::channel(MAX_QUEUED_SUSPECTS);
        lock(&self.suspect_txs).insert(domain.clone(), suspects_tx);
        suspects_rx
    }

    /// Announces to the other gateways that this one owns a domain, before their
    /// next read of the list shows it.
    pub async fn announce_ownership(&self, domain: &DomainKey) {
        self.record_owner(&domain.owner_key(), self.node);
        let (service, domain) = (domain.service.clone(), domain.domain.clone());
        self.broadcast(&PeerMessage::Owner { service, domain }).await;
    }

    fn record_owner(&self, key: &Key, owner: NodeId) {
        lock(&self.announced_owners).insert(key.clone(), (owner, self.clock.now()));
        self.cluster.rcu(|cluster| {
            let mut cluster = ClusterView::clone(cluster);
            cluster.owners.insert(key.clone(), owner);
            cluster
        });
    }

    /// Records the digest of the reader's list of gateways.
    fn record_digest(&self, digest: u64) {
        *lock(&self.reader_digest) = Some((digest, self.clock.now()));
        if digest != self.cluster.load().digest() {
            self.digest_differs.notify_one();
        }
    }

    /// Whether the reader's digest arrived recently and equals that of this
    /// gateway's list.
    fn is_current(&self) -> bool {
        let reported = *lock(&self.reader_digest);
        let fresh = reported.filter(|(_, at)| self.clock.now().since(*at) < READER_DIGEST_EXPIRY);
        fresh.is_some_and(|(digest, _)| digest == self.cluster.load().digest())
    }

    /// Whether the list of gateways was read recently, or equals that of the list reader.
    pub(crate) fn is_list_current(&self) -> bool {
        let listed_at = *lock(&self.listed_at);
        let now = self.clock.now();
        self.is_current() || listed_at.is_some_and(|at| now.since(at) < READER_DIGEST_EXPIRY)
    }

    /// Applies a read of the list in an era of the key-value service. In a new era it
    /// lacks what was registered since the backup, which is kept until it can be
    /// registered again.
    pub(crate) fn apply_read(&self, era: StoreEra, mut read: ClusterView) {
        let before = self.cluster();
        let now = self.clock.now();
        lock(&self.restored).apply(&before, era, &mut read, now);
        *lock(&self.listed_at) = Some(now);
        self.set_cluster(read);
    }

    /// Culprits that were listed before the key-value service was restored and are
    /// not any more.
    pub(crate) fn lost_culprits(&self) -> Vec<Culprit> {
        lock(&self.restored).lost_culprits().to_vec()
    }

    /// Replaces the list by a newly read one and adds announced owners for which
    /// the read may be too old.
    pub(crate) fn set_cluster(&self, mut cluster: ClusterView) {
        let now = self.clock.now();
        let mut announced = lock(&self.announced_owners);
        announced.retain(|_, (_, at)| now.since(*at) < ANNOUNCED_OWNER_TIME);
        for (key, (owner, _)) in announced.iter() {
            cluster.owners.entry(key.clone()).or_insert(*owner);
        }
        self.cluster.store(Arc::new(cluster));
    }

    /// Keys of the gateways, once the secret is read.
    pub(crate) fn keys(&self) -> Option<PeerKeys> {
        Some(self.endpoint.get()?.keys())
    }

    /// Signs with another secret, and accepts the former one too.
    fn replace_secret(&self, secret: String, former: String) {
        let keys = peer_auth::derive_keys(&[secret.clone(), former]);
        if let (Some(keys), Some(endpoint)) = (keys, self.endpoint.get()) {
            endpoint.set_keys(keys);
            *lock(&self.secret) = Some(secret);
        }
    }

    /// Removes this gateway from the list, after its tasks have ended.
    pub(crate) async fn leave(&self, store: &dyn Store) -> StoreResult<()> {
        let registration = lock(&self.registration).take();
        match registration {
            Some(lease) => store.end_lease(lease).await,
            None => Ok(()),
        }
    }

    /// Ends the registration of a domain.
    pub fn unregister_domain(&self, domain: &DomainKey) {
        lock(&self.suspect_txs).remove(domain);
    }

    /// Reports to the owner of a domain that a replica does not respond.
    pub fn report_suspect(self: &Arc<Self>, domain: &DomainKey, replica: ReplicaEpoch) {
        let now = self.clock.now();
        {
            let mut suspect_reported_at = lock(&self.suspect_reported_at);
            suspect_reported_at.retain(|_, at| now.since(*at) < SUSPECT_REPORT_INTERVAL);
            if suspect_reported_at.contains_key(&replica) {
                return;
            }
            suspect_reported_at.insert(replica, now);
        }
        if self.queue_suspect(domain, replica) {
            return;
        }
        let cluster = self.cluster.load();
        let owner = cluster.owners.get(&domain.owner_key());
        let Some((owner, addr)) = owner.and_then(|it| Some((*it, cluster.nodes.get(it)?.addr)))
        else {
            tracing::debug!(%domain, "domain of a suspected replica has no known owner");
            return;
        };
        let (replica, epoch) = replica;
        let (service, domain) = (domain.service.clone(), domain.domain.clone());
        let message = PeerMessage::Suspect { service, domain, replica, epoch };
        let peers = Arc::clone(self);
        tokio::spawn(async move { peers.send(owner, addr, &message).await });
    }

    /// Passes a suspected replica to the controller of its domain. False if this
    /// gateway does not own the domain.
    fn queue_suspect(&self, domain: &DomainKey, replica: ReplicaEpoch) -> bool {
        let suspect_txs = lock(&self.suspect_txs);
        let Some(suspects_tx) = suspect_txs.get(domain) else { return false };
        // A full queue already holds enough reports.
        let _ = suspects_tx.try_send(replica);
        true
    }

    /// Number of gateways that share limits for the whole installation. Until
    /// this one finds itself in the list, the number is unknown and assumed to be
    /// large.
    pub fn gateway_count(&self) -> usize {
        let cluster = self.cluster.load();
        if cluster.nodes.contains_key(&self.node) { cluster.nodes.len() } else { ASSUMED_GATEWAYS }
    }

    /// Whether other gateways are listed.
    pub fn has_others(&self) -> bool {
        self.cluster.load().nodes.keys().any(|it| *it != self.node)
    }

    /// Whether this gateway is the list reader, which reads the instance list for
    /// all: the owner of the first domain by key. The list of owners may be old, so
    /// this gateway must also control that domain.
    pub fn is_reader(&self) -> bool {
        let cluster = self.cluster.load();
        let Some((key, owner)) = cluster.owners.first_key_value() else { return false };
        *owner == self.node && lock(&self.suspect_txs).keys().any(|it| it.owner_key() == *key)
    }

    /// Whether this gateway has the lowest id of its zone, and so reads the
    /// instance list for the zone while the list reader is silent.
    pub fn is_substitute_reader(&self) -> bool {
        self.cluster.load().gateways_of(&self.zone).next() == Some(self.node)
    }

    /// Zone of this gateway.
    pub(crate) fn zone(&self) -> &AvailabilityZone {
        &self.zone
    }

    /// Sends a message to all other gateways.
    pub async fn broadcast(&self, message: &PeerMessage) {
        self.send_to(message, |_| true).await;
    }

    /// Sends a message to the other gateways of a zone.
    pub async fn send_to_zone(&self, zone: &AvailabilityZone, message: &PeerMessage) {
        self.send_to(message, |it| it.zone == *zone).await;
    }

    /// Sends a message to the gateways of all zones but one.
    pub async fn send_to_other_zones(&self, zone: &AvailabilityZone, message: &PeerMessage) {
        self.send_to(message, |it| it.zone != *zone).await;
    }

    /// Sends a message to one gateway, if it is listed.
    pub async fn send_to_gateway(&self, to: NodeId, message: &PeerMessage) {
        let listed = self.cluster.load().nodes.get(&to).map(|it| it.addr);
        if let Some(addr) = listed {
            self.send(to, addr, message).await;
        }
    }

    /// Sends a change of the instance list to the gateways of this zone, and to
    /// the others through the reporters of their zones, so that the messages that
    /// the reader sends do not grow with the gateways of other zones. A zone
    /// without a known reporter gets the change directly.
    pub async fn publish_change(&self, change: &ListChange) {
        let (direct, forwarded) =
            (PeerMessage::List(change.clone()), PeerMessage::ListForZone(change.clone()));
        self.publish(&direct, &forwarded).await;
    }

    /// Sends `forwarded` to the reporters of other zones, and `direct` to the gateways of
    /// this zone and of those without a known reporter.
    async fn publish(&self, direct: &PeerMessage, forwarded: &PeerMessage) {
        let now = self.clock.now();
        let reporters: HashMap<AvailabilityZone, NodeId> = lock(&self.zone_reporters)
            .iter()
            .filter(|(_, (_, at))| now.since(*at) < REPORTER_EXPIRY)
            .map(|(zone, (node, _))| (zone.clone(), *node))
            .collect();
        self.send_to(direct, |it| !reporters.contains_key(&it.zone)).await;
        for reporter in reporters.into_values() {
            self.send_to_gateway(reporter, forwarded).await;
        }
    }

    /// Sends a change of the instance list to the gateways of this zone only.
    pub async fn publish_change_to_zone(&self, change: &ListChange) {
        self.send_to_zone(&self.zone, &PeerMessage::List(change.clone())).await;
    }

    async fn send_to(&self, message: &PeerMessage, is_receiver: impl Fn(&ListedGateway) -> bool) {
        let cluster = self.cluster.load_full();
        let others = cluster.nodes.iter().filter(|(node, _)| **node != self.node);
        for (node, listed) in others.filter(|(_, it)| is_receiver(it)) {
            self.send(*node, listed.addr, message).await;
        }
    }

    async fn send(&self, to: NodeId, addr: SocketAddr, message: &PeerMessage) {
        if let Some(endpoint) = self.endpoint.get() {
            endpoint.send(addr, to, message).await;
        }
    }
}

/// Spawns the tasks of the link. `on_message` receives the messages of other
/// gateways, except those that only the link handles.
pub fn spawn(
    peers: &Arc<Peers>,
    store: &Arc<dyn Store>,
    era: &NewestEra,
    addr: SocketAddr,
    on_message: impl Fn(NodeId, PeerMessage) + Send + 'static,
) -> Vec<JoinHandle<()>> {
    let registering = register_self(Arc::clone(peers), Arc::clone(store), era.clone(), addr);
    let reading = poll_cluster(Arc::clone(peers), Arc::clone(store));
    let receiving = receive(Arc::clone(peers), Arc::clone(store), addr, on_message);
    let keeping = secret::keep(Arc::clone(peers), Arc::clone(store), era.clone(), era.get());
    vec![
        tokio::spawn(registering),
        tokio::spawn(reading),
        tokio::spawn(receiving),
        tokio::spawn(keeping),
    ]
}

/// Binds the endpoint once the secret is known, and handles the messages that
/// arrive.
async fn receive(
    peers: Arc<Peers>,
    store: Arc<dyn Store>,
    addr: SocketAddr,
    on_message: impl Fn(NodeId, PeerMessage) + Send + 'static,
) {
    let endpoint = loop {
        match bind(&peers, &*store, addr).await {
            Ok(endpoint) => break endpoint,
            Err(error) => tracing::info!(%error, "could not bind the peer endpoint yet"),
        }
        sleep(REGISTER_RETRY_DELAY).await;
    };
    let endpoint = peers.endpoint.get_or_init(|| async { endpoint }).await;
    loop {
        let Received { from, message, .. } = endpoint.receive().await;
        match message {
            PeerMessage::Suspect { service, domain, replica, epoch } => {
                let domain = DomainKey { service, domain };
                peers.queue_suspect(&domain, (replica, epoch));
            }
            PeerMessage::Owner { service, domain } => {
                peers.record_owner(&DomainKey { service, domain }.owner_key(), from);
            }
            PeerMessage::List(change) => {
                peers.record_digest(change.cluster_digest);
                on_message(from, PeerMessage::List(change));
            }
            PeerMessage::ListForZone(change) => {
                peers.record_digest(change.cluster_digest);
                let message = PeerMessage::List(change);
                peers.send_to_zone(&peers.zone, &message).await;
                on_message(from, message);
            }
            PeerMessage::ZoneLoad { zone, report } => {
                lock(&peers.zone_reporters).insert(zone.clone(), (from, peers.clock.now()));
                on_message(from, PeerMessage::ZoneLoad { zone, report });
            }
            PeerMessage::Evacuations(update) if update.must_forward => {
                let update = EvacuationUpdate { must_forward: false, ..update };
                let message = PeerMessage::Evacuations(update);
                peers.send_to_zone(&peers.zone, &message).await;
                on_message(from, message);
            }
            PeerMessage::ZoneWork { zone, report } => {
                lock(&peers.zone_reporters).insert(zone.clone(), (from, peers.clock.now()));
                on_message(from, PeerMessage::ZoneWork { zone, report });
            }
            PeerMessage::ReadsWork(announcement) => {
                lock(&peers.work_readers).record(from, announcement, peers.clock.now());
            }
            message => on_message(from, message),
        }
    }
}

async fn bind(
    peers: &Peers,
    store: &dyn Store,
    addr: SocketAddr,
) -> StoreResult<PeerUdp<PeerMessage>> {
    let refused = |reason: String| StoreError::Refused { reason };
    let secret = secret::read(store).await?;
    let keys = peer_auth::derive_keys(std::slice::from_ref(&secret))
        .ok_or_else(|| refused("peer secret is empty".to_owned()))?;
    *lock(&peers.secret) = Some(secret);
    let bound = peer_udp::bind(addr, keys, peers.node, Arc::default()).await;
    bound.map_err(|error| refused(format!("could not bind {addr}: {error}")))
}

#[cfg(test)]
pub(crate) mod tests;
