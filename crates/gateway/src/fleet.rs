//! Snapshot of the backend servers that requests may be sent to.
//!
//! An instance of a plain service takes requests while it is listed and not
//! leaving. A replica of a model takes requests at its first member, while that
//! member is open and every other member is listed under the same replica and
//! epoch.

mod cold;
mod iter;
pub mod work;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use citrongw_state::{
    breaker::Breaker,
    id::{
        AvailabilityZone, Epoch, Incarnation, InstanceId, ModelId, NodeId, PlainServiceId,
        ReplicaId, ServerIncarnation,
    },
    time::Time,
};

use tokio::sync::Notify;

pub use self::cold::ColdState;
pub use self::work::{InFlight, LoadEstimate, PredictedTimes};
use self::work::{RequestWork, ServerWorkSums};
use crate::{
    adapter::ServerLoad,
    announced_replicas::AnnouncedReplicas,
    control::plan::DomainKey,
    gateway_config::GatewayConfig,
    instance::MemberState,
    instance_table::{InstancesView, KnownInstance},
    peers::message::OpenReplica,
};

/// Age above which a load reported by a server is ignored in favour of the
/// counts that the nodes exchange: some of the reported requests have ended by
/// then.
const MAX_LOAD_AGE: Duration = Duration::from_millis(400);

/// State of a backend server as observed by this node's requests.
#[derive(Debug, Default)]
pub struct BackendStats {
    /// Circuit breaker of this node's requests to the server.
    pub breaker: Breaker,
    /// Work of this node's requests at the server.
    pub work: ServerWorkSums,
    in_flight: AtomicU32,
    begun: AtomicU32,
    reported_load: AtomicU32,
    reported_at_ms: AtomicU64,
    sent_since_report: AtomicU32,
    last_received_ms: AtomicU64,
    suspect_until_ms: AtomicU64,
    denied_until_ms: AtomicU64,
    /// Whether the server is cold.
    pub cold: ColdState,
    is_down: AtomicBool,
    marked_down: Notify,
}

impl BackendStats {
    /// Requests of this node in flight at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Requests of this node begun at the server so far. The count wraps.
    pub fn begun(&self) -> u32 {
        self.begun.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> InFlight {
        self.begin_work(RequestWork::UNKNOWN, Time::START)
    }

    /// Counts a request and its work as in flight until the guard is dropped.
    pub fn begin_work(self: &Arc<Self>, work: RequestWork, now: Time) -> InFlight {
        self.work.begin(&work, now);
        self.begun.fetch_add(1, Ordering::Relaxed);
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.sent_since_report.fetch_add(1, Ordering::Relaxed);
        InFlight::new(Arc::clone(self), work, now)
    }

    /// Records the load that the server reported in a response.
    pub fn record_load(&self, now: Time, load: ServerLoad) {
        self.reported_load.store(load.running + load.waiting, Ordering::Relaxed);
        self.sent_since_report.store(0, Ordering::Relaxed);
        self.reported_at_ms.store(millis(now), Ordering::Relaxed);
    }

    /// Records that bytes arrived from the server, and ends a suspicion.
    pub fn record_received(&self, now: Time) {
        self.last_received_ms.store(millis(now), Ordering::Relaxed);
        self.suspect_until_ms.store(0, Ordering::Relaxed);
    }

    /// When bytes last arrived from the server.
    pub fn last_received_at(&self) -> Time {
        Time::from_millis(self.last_received_ms.load(Ordering::Relaxed))
    }

    /// Suspects the server until a time. A suspected server gets no requests.
    pub fn suspect_until(&self, until: Time) {
        self.suspect_until_ms.fetch_max(millis(until), Ordering::Relaxed);
    }

    /// Whether the server is suspected now.
    pub fn is_suspect(&self, now: Time) -> bool {
        millis(now) < self.suspect_until_ms.load(Ordering::Relaxed)
    }

    /// Records that the granter of the server denied a permit until a time. Until then
    /// the server gets no requests.
    pub fn deny_until(&self, until: Time) {
        self.denied_until_ms.fetch_max(millis(until) + 1, Ordering::Relaxed);
    }

    /// Time for which permits are denied from now on; none if they are not.
    pub fn denied_for(&self, now: Time) -> Option<Duration> {
        let left_ms = self.denied_until_ms.load(Ordering::Relaxed).saturating_sub(millis(now));
        (left_ms != 0).then(|| Duration::from_millis(left_ms))
    }

    /// Records that the server takes no requests any more. Requests in flight
    /// there will not finish.
    pub fn mark_down(&self) {
        self.is_down.store(true, Ordering::Relaxed);
        self.marked_down.notify_waiters();
    }

    /// Records that the server takes requests again.
    pub fn mark_up(&self) {
        self.is_down.store(false, Ordering::Relaxed);
        self.suspect_until_ms.store(0, Ordering::Relaxed);
    }

    /// Forgets failures at the server and ends a suspicion.
    fn forgive_failures(&self) {
        self.breaker.reset();
        self.suspect_until_ms.store(0, Ordering::Relaxed);
    }

    /// Completes once the server takes no requests any more.
    pub async fn wait_until_down(&self) {
        let notified = self.marked_down.notified();
        tokio::pin!(notified);
        // Registers before the flag is read, so that no notification is missed.
        notified.as_mut().enable();
        if !self.is_down.load(Ordering::Relaxed) {
            notified.await;
        }
    }

    /// Estimates the requests at the server now. `peer_requests` is the expected
    /// number of the other nodes' requests.
    pub fn estimate_load(&self, now: Time, peer_requests: f64) -> LoadEstimate {
        let own = f64::from(self.in_flight()) + peer_requests;
        let reported_at = Time::from_millis(self.reported_at_ms.load(Ordering::Relaxed));
        if MAX_LOAD_AGE < now.since(reported_at) {
            return LoadEstimate { requests: own, reported_age: None, predicted: None };
        }
        let reported = self.reported_load.load(Ordering::Relaxed);
        let reported = reported + self.sent_since_report.load(Ordering::Relaxed);
        let requests = own.max(f64::from(reported));
        let reported_age = Some(now.since(reported_at));
        LoadEstimate { requests, reported_age, predicted: None }
    }
}

fn millis(time: Time) -> u64 {
    u64::try_from(time.0.as_millis()).unwrap_or(u64::MAX)
}

/// Replica, under one epoch, that a backend server takes requests for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaKey {
    /// Id of the replica.
    pub replica: ReplicaId,
    /// Epoch of the replica's member list.
    pub epoch: Epoch,
}

/// Backend server that takes requests.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Instance that takes the requests.
    pub id: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Zone of the instance.
    pub zone: AvailabilityZone,
    /// Requests that the instance processes at once.
    pub slots: u32,
    /// Replica that the instance is the first member of; none for a plain
    /// service.
    pub replica: Option<ReplicaKey>,
    /// Fabric domain of the instance, if any.
    pub domain: Option<DomainKey>,
    /// Gateway that the server is, if requests are relayed through it.
    pub gateway: Option<NodeId>,
    /// State as observed by this node. It is shared with earlier and later
    /// snapshots.
    pub stats: Arc<BackendStats>,
}

impl Backend {
    /// Server and its start, under which peers know it.
    pub fn server(&self) -> ServerIncarnation {
        ServerIncarnation { instance: self.id.clone(), incarnation: self.incarnation }
    }
}

/// Backend servers of one service.
#[derive(Debug, Clone, Default)]
pub struct ServicePool {
    /// Servers of a plain service.
    pub servers: Vec<Arc<Backend>>,
    /// Open replicas by model; none for a plain service.
    pub replicas: BTreeMap<ModelId, Vec<Arc<Backend>>>,
}

/// Key of statistics, which are kept for one incarnation of an instance, as the
/// first member of one replica.
type StatsKey = (InstanceId, Incarnation, Option<ReplicaKey>);

/// All backend servers.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    pools: HashMap<PlainServiceId, ServicePool>,
    stats: HashMap<StatsKey, Arc<BackendStats>>,
}

impl Fleet {
    /// Servers of a service.
    pub fn pool(&self, service: &PlainServiceId) -> Option<&ServicePool> {
        self.pools.get(service)
    }

    /// Open replicas of all services.
    pub fn replicas(&self) -> impl Iterator<Item = &Arc<Backend>> {
        self.pools.values().flat_map(|it| it.replicas.values().flatten())
    }

    /// Servers of a zone.
    pub fn servers_in<'a>(
        &'a self,
        zone: &'a AvailabilityZone,
    ) -> impl Iterator<Item = &'a Arc<Backend>> {
        let plain = self.pools.values().flat_map(|it| &it.servers);
        plain.chain(self.replicas()).filter(move |it| it.zone == *zone)
    }

    /// Whether requests of this node are in flight at any server.
    pub fn has_requests(&self) -> bool {
        self.stats.values().any(|it| it.in_flight() != 0)
    }

    /// Forgets the failures of requests at all servers.
    pub fn forgive_failures(&self) {
        self.stats.values().for_each(|it| it.forgive_failures());
    }

    /// Builds the next snapshot, which keeps the statistics of servers that are
    /// in both.
    pub fn next(
        &self,
        config: &GatewayConfig,
        view: &InstancesView,
        announced: &AnnouncedReplicas,
    ) -> Self {
        let mut next = Self::default();
        let mut members: BTreeMap<(PlainServiceId, ReplicaKey), Vec<&KnownInstance>> =
            BTreeMap::new();
        for known in view.instances.values() {
            let entry = &known.entry;
            let Some(service) = config.services.get(&entry.service) else { continue };
            if service.engine.is_none() {
                if !entry.leaving {
                    let backend = next.backend(self, known, None);
                    next.pools.entry(entry.service.clone()).or_default().servers.push(backend);
                }
                continue;
            }
            let Some(membership) = entry.membership else { continue };
            let Some(replica) = membership.replica else { continue };
            let key = ReplicaKey { replica, epoch: membership.epoch };
            members.entry((entry.service.clone(), key)).or_default().push(known);
        }
        for ((service, key), members) in members {
            if announced.is_down(&key) {
                continue;
            }
            let engine = config.services.get(&service).and_then(|it| it.engine.as_ref());
            let Some(engine) = engine else { continue };
            let Some(head) = open_head(&members) else { continue };
            let Some(model) = &head.entry.model else { continue };
            let Some(spec) = engine.model(model) else { continue };
            let ranks: BTreeSet<usize> =
                members.iter().filter_map(|it| Some(it.entry.membership?.rank)).collect();
            if ranks.len() < spec.size {
                continue;
            }
            let backend = next.backend(self, head, Some(key));
            let pool = next.pools.entry(service).or_default();
            pool.replicas.entry(model.clone()).or_default().push(backend);
        }
        for (open, must_be_listed) in announced.open(view.read_at) {
            next.add_announced(self, view, open, must_be_listed);
        }
        next
    }

    /// Adds a replica that its owner announced: before the list shows it, or
    /// while the list lacks a member that still responds.
    fn add_announced(
        &mut self,
        old: &Self,
        view: &InstancesView,
        open: &OpenReplica,
        must_be_listed: bool,
    ) {
        let Some(head) = view.instances.get(&open.head) else { return };
        let key = ReplicaKey { replica: open.replica, epoch: open.epoch };
        let listed_open = head
            .entry
            .membership
            .is_some_and(|it| it.matches(key.replica, key.epoch) && it.state == MemberState::Open);
        let is_of_service = head.entry.service == open.service;
        if head.entry.leaving || !is_of_service || (must_be_listed && !listed_open) {
            return;
        }
        let pool = self.pools.entry(open.service.clone()).or_default();
        let listed = pool.replicas.entry(open.model.clone()).or_default();
        if listed.iter().any(|it| it.id == open.head && it.replica.as_ref() == Some(&key)) {
            return;
        }
        // The list may still show the instance as the head of an earlier epoch.
        listed.retain(|it| it.id != open.head);
        let backend = self.backend(old, head, Some(key));
        let pool = self.pools.entry(open.service.clone()).or_default();
        pool.replicas.entry(open.model.clone()).or_default().push(backend);
    }

    fn backend(
        &mut self,
        old: &Self,
        known: &KnownInstance,
        replica: Option<ReplicaKey>,
    ) -> Arc<Backend> {
        let entry = &known.entry;
        let key = (entry.id.clone(), entry.incarnation, replica.clone());
        let stats = old.stats.get(&key).map(Arc::clone).unwrap_or_default();
        self.stats.insert(key, Arc::clone(&stats));
        Arc::new(Backend {
            id: entry.id.clone(),
            incarnation: entry.incarnation,
            addr: entry.addr,
            zone: entry.zone.clone(),
            slots: entry.slots,
            replica,
            domain: entry.domain.clone().map(|domain| {
                let service = entry.service.clone();
                DomainKey { service, domain }
            }),
            gateway: None,
            stats,
        })
    }
}

/// First member that takes requests and is not leaving.
fn open_head<'a>(members: &[&'a KnownInstance]) -> Option<&'a KnownInstance> {
    let is_open = |known: &&&KnownInstance| {
        let membership = known.entry.membership;
        let opened = membership.is_some_and(|it| it.rank == 0 && it.state == MemberState::Open);
        opened && !known.entry.leaving
    };
    members.iter().find(is_open).copied()
}

#[cfg(test)]
mod tests;
