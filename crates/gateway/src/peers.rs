//! The other gateways: who they are, and datagrams to them.

mod cluster_view;
pub mod message;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use citrongw_coordination::clock::Clock;
use citrongw_protocol::store::{
    Change, Entry, Expected, Key, Store, StoreError, StoreResult, Write, WriteResult,
};
use citrongw_state::{
    id::{Epoch, NodeId, ReplicaId},
    time::Time,
};
use citrongw_transport::{
    peer_auth,
    peer_udp::{self, PeerUdp, Received},
};
use derive_more::Debug;
use tokio::{
    sync::{Notify, OnceCell, mpsc},
    task::JoinHandle,
    time::sleep,
};

pub use self::cluster_view::ClusterView;
use self::{
    cluster_view::{poll_cluster, register_self},
    message::PeerMessage,
};
use crate::control::plan::DomainKey;

/// Prefix of all keys that end with the lease of a process.
pub const LIVE_PREFIX: &str = "citrongw/live/";
/// Prefix of the keys that name the owners of domains.
pub const OWNER_PREFIX: &str = "citrongw/live/owner/";
/// Key of the secret that signs datagrams, drawn by the first gateway.
const SECRET_KEY: &str = "citrongw/peer-secret";
/// Characters of the secret.
const SECRET_CHARS: usize = 32;
/// Pause after a failed attempt to be listed.
const LISTING_RETRY: Duration = Duration::from_millis(500);
/// Pause between two doubts of one replica: its owner has asked its members by
/// then.
const DOUBT_INTERVAL: Duration = Duration::from_millis(400);
/// Gateways assumed until the list tells: about the largest installation so far.
const UNKNOWN_COUNT: usize = 128;
/// Doubts that wait for the control of one domain; more say nothing new.
const MAX_QUEUED_DOUBTS: usize = 16;

/// Replica under one epoch.
pub type ReplicaEpoch = (ReplicaId, Epoch);

/// Time for which an owner that told of itself counts though a read lacks it: a
/// read may be that old.
const TOLD_OWNER_TIME: Duration = Duration::from_millis(2_500);
/// Silence of the reader after which a gateway reads the list of gateways itself.
const READER_SILENCE: Duration = Duration::from_millis(1_400);

/// Link to the other gateways.
#[derive(Debug)]
pub struct Peers {
    node: NodeId,
    clock: Clock,
    live: ArcSwap<ClusterView>,
    #[debug(skip)]
    endpoint: OnceCell<PeerUdp<PeerMessage>>,
    doubted_at: Mutex<HashMap<ReplicaEpoch, Time>>,
    /// Owners that told of themselves, and when.
    told_owners: Mutex<HashMap<Key, (NodeId, Time)>>,
    /// Digest of the reader's list of gateways, and when it was told.
    told_digest: Mutex<Option<(u64, Time)>>,
    digest_differs: Notify,
    /// Where doubts of the domains go that this gateway owns.
    owned: Mutex<HashMap<DomainKey, mpsc::Sender<ReplicaEpoch>>>,
}

/// Opens the link of a gateway; nothing is sent until it is bound.
pub fn open(node: NodeId, clock: Clock) -> Peers {
    Peers {
        node,
        clock,
        live: ArcSwap::default(),
        endpoint: OnceCell::new(),
        doubted_at: Mutex::default(),
        told_owners: Mutex::default(),
        told_digest: Mutex::default(),
        digest_differs: Notify::new(),
        owned: Mutex::default(),
    }
}

impl Peers {
    /// Gateways and owners as last read.
    pub fn cluster(&self) -> Arc<ClusterView> {
        self.live.load_full()
    }

    /// Makes this gateway the one that doubts of a domain are told to.
    pub fn register_domain(&self, domain: &DomainKey) -> mpsc::Receiver<ReplicaEpoch> {
        let (doubts_tx, doubts_rx) = mpsc::channel(MAX_QUEUED_DOUBTS);
        lock(&self.owned).insert(domain.clone(), doubts_tx);
        doubts_rx
    }

    /// Tells the other gateways that this one owns a domain, before their next
    /// read does.
    pub async fn announce_ownership(&self, domain: &DomainKey) {
        self.hear_owner(&domain.owner_key(), self.node);
        let (service, domain) = (domain.service.clone(), domain.domain.clone());
        self.broadcast(&PeerMessage::Owner { service, domain }).await;
    }

    fn hear_owner(&self, key: &Key, owner: NodeId) {
        lock(&self.told_owners).insert(key.clone(), (owner, self.clock.now()));
        self.live.rcu(|live| {
            let mut live = ClusterView::clone(live);
            live.owners.insert(key.clone(), owner);
            live
        });
    }

    /// Takes in the digest of the reader's list of gateways.
    fn hear_digest(&self, digest: u64) {
        *lock(&self.told_digest) = Some((digest, self.clock.now()));
        if digest != self.live.load().digest() {
            self.digest_differs.notify_one();
        }
    }

    /// Whether the reader's list was told lately and is as this gateway's.
    fn is_current(&self) -> bool {
        let told = *lock(&self.told_digest);
        let fresh = told.filter(|(_, at)| self.clock.now().since(*at) < READER_SILENCE);
        fresh.is_some_and(|(digest, _)| digest == self.live.load().digest())
    }

    /// Takes in a read of the list, and the owners that it may be too old to name.
    fn set_live(&self, mut live: ClusterView) {
        let now = self.clock.now();
        let mut told = lock(&self.told_owners);
        told.retain(|_, (_, at)| now.since(*at) < TOLD_OWNER_TIME);
        for (key, (owner, _)) in told.iter() {
            live.owners.entry(key.clone()).or_insert(*owner);
        }
        self.live.store(Arc::new(live));
    }

    /// Takes no more doubts of a domain.
    pub fn unregister_domain(&self, domain: &DomainKey) {
        lock(&self.owned).remove(domain);
    }

    /// Tells the owner of a domain that a replica does not answer.
    pub fn report_suspect(self: &Arc<Self>, domain: &DomainKey, replica: ReplicaEpoch) {
        let now = self.clock.now();
        {
            let mut doubted_at = lock(&self.doubted_at);
            doubted_at.retain(|_, at| now.since(*at) < DOUBT_INTERVAL);
            if doubted_at.contains_key(&replica) {
                return;
            }
            doubted_at.insert(replica, now);
        }
        if self.hear_doubt(domain, replica) {
            return;
        }
        let live = self.live.load();
        let owner = live.owners.get(&domain.owner_key());
        let Some((owner, addr)) = owner.and_then(|it| Some((*it, *live.nodes.get(it)?))) else {
            tracing::debug!(%domain, "no owner of a domain to tell a doubt to");
            return;
        };
        let (replica, epoch) = replica;
        let (service, domain) = (domain.service.clone(), domain.domain.clone());
        let message = PeerMessage::Suspect { service, domain, replica, epoch };
        let peers = Arc::clone(self);
        tokio::spawn(async move { peers.send(owner, addr, &message).await });
    }

    /// Hands a doubt to the control of a domain; false if it is not owned here.
    fn hear_doubt(&self, domain: &DomainKey, replica: ReplicaEpoch) -> bool {
        let owned = lock(&self.owned);
        let Some(doubts_tx) = owned.get(domain) else { return false };
        // A full queue holds doubts enough.
        let _ = doubts_tx.try_send(replica);
        true
    }

    /// Gateways that share what is bounded for all together. Until this one finds
    /// itself in the list, it does not know and assumes many.
    pub fn count(&self) -> usize {
        let live = self.live.load();
        if live.nodes.contains_key(&self.node) { live.nodes.len() } else { UNKNOWN_COUNT }
    }

    /// Whether this gateway reads the list of instances for all: the owner of
    /// the first domain does.
    pub fn is_reader(&self) -> bool {
        let live = self.live.load();
        live.owners.iter().min_by_key(|(key, _)| *key).is_some_and(|(_, it)| *it == self.node)
    }

    /// Tells all other gateways.
    pub async fn broadcast(&self, message: &PeerMessage) {
        let live = self.live.load_full();
        for (node, addr) in live.nodes.iter().filter(|(node, _)| **node != self.node) {
            self.send(*node, *addr, message).await;
        }
    }

    async fn send(&self, to: NodeId, addr: SocketAddr, message: &PeerMessage) {
        if let Some(endpoint) = self.endpoint.get() {
            endpoint.send(addr, to, message).await;
        }
    }
}

/// Spawns the drivers of the link. `hear` takes in what other gateways say of
/// replicas.
pub fn spawn(
    peers: &Arc<Peers>,
    store: &Arc<dyn Store>,
    addr: SocketAddr,
    hear: impl Fn(NodeId, PeerMessage) + Send + 'static,
) -> Vec<JoinHandle<()>> {
    let listing = register_self(Arc::clone(peers), Arc::clone(store), addr);
    let reading = poll_cluster(Arc::clone(peers), Arc::clone(store));
    let receiving = receive(Arc::clone(peers), Arc::clone(store), addr, hear);
    vec![tokio::spawn(listing), tokio::spawn(reading), tokio::spawn(receiving)]
}

/// Binds the endpoint once the secret is known, and takes in what comes.
async fn receive(
    peers: Arc<Peers>,
    store: Arc<dyn Store>,
    addr: SocketAddr,
    hear: impl Fn(NodeId, PeerMessage) + Send + 'static,
) {
    let endpoint = loop {
        match bind(&peers, &*store, addr).await {
            Ok(endpoint) => break endpoint,
            Err(error) => tracing::info!(%error, "link to other gateways is not up yet"),
        }
        sleep(LISTING_RETRY).await;
    };
    let endpoint = peers.endpoint.get_or_init(|| async { endpoint }).await;
    loop {
        let Received { from, message, .. } = endpoint.receive().await;
        match message {
            PeerMessage::Suspect { service, domain, replica, epoch } => {
                let domain = DomainKey { service, domain };
                peers.hear_doubt(&domain, (replica, epoch));
            }
            PeerMessage::Owner { service, domain } => {
                peers.hear_owner(&DomainKey { service, domain }.owner_key(), from);
            }
            PeerMessage::List(change) => {
                peers.hear_digest(change.gateways);
                hear(from, PeerMessage::List(change));
            }
            message => hear(from, message),
        }
    }
}

async fn bind(
    peers: &Peers,
    store: &dyn Store,
    addr: SocketAddr,
) -> StoreResult<PeerUdp<PeerMessage>> {
    let refused = |reason: String| StoreError::Refused { reason };
    let secret = read_secret(store).await?;
    let keys = peer_auth::derive_keys(&[secret])
        .ok_or_else(|| refused("secret of the peers is empty".to_owned()))?;
    let bound = peer_udp::bind(addr, keys, peers.node, Arc::default()).await;
    bound.map_err(|error| refused(format!("could not bind {addr}: {error}")))
}

/// Reads the secret that all gateways share; the first one draws it.
async fn read_secret(store: &dyn Store) -> StoreResult<String> {
    let text = |entry: Entry| String::from_utf8_lossy(&entry.value).into_owned();
    if let Some(entry) = store.get(SECRET_KEY.into()).await?.into_entry() {
        return Ok(text(entry));
    }
    let drawn: String =
        (0..SECRET_CHARS).map(|_| char::from(rand::random_range(b'a'..=b'z'))).collect();
    let write = Write {
        key: SECRET_KEY.into(),
        expected: Expected::Absent,
        change: Change::Put(Bytes::from(drawn.clone())),
        lease: None,
    };
    match store.compare_and_swap(write).await? {
        WriteResult::Committed(_) => Ok(drawn),
        WriteResult::Conflict(Some(entry)) => Ok(text(entry)),
        WriteResult::Conflict(None) => {
            Err(StoreError::Refused { reason: "secret of the peers is not to be read".to_owned() })
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests;
