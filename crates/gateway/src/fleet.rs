//! Backend servers that requests may be sent to, as one snapshot.
//!
//! A plain service's instance takes requests while it is listed and not
//! leaving. A model's replica takes them at its first member, while that is open
//! and every other member is listed under the same replica and epoch.

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
    id::{AvailabilityZone, Epoch, Incarnation, InstanceId, ModelId, PlainServiceId, ReplicaId},
    time::Time,
};

use tokio::sync::Notify;

use crate::{
    adapter::ServerLoad,
    announced_replicas::AnnouncedReplicas,
    control::plan::DomainKey,
    gateway_config::GatewayConfig,
    instance::MemberState,
    instance_table::{InstancesView, KnownInstance},
    peers::message::OpenReplica,
};

/// Age at which a load that a server told no longer counts beside what the nodes
/// tell each other: some of its requests have ended by then.
const LOAD_AGE: Duration = Duration::from_millis(400);

/// Load of a backend server, as far as a node can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadEstimate {
    /// Requests that it has.
    pub requests: u32,
    /// Age of what it told itself; none if that was too old to count.
    pub reported_age: Option<Duration>,
}

/// What this node knows of a backend server from its own requests.
#[derive(Debug, Default)]
pub struct BackendStats {
    /// Breaker of its requests.
    pub breaker: Breaker,
    in_flight: AtomicU32,
    told_load: AtomicU32,
    told_at_ms: AtomicU64,
    sent_since_told: AtomicU32,
    heard_at_ms: AtomicU64,
    suspect_until_ms: AtomicU64,
    is_down: AtomicBool,
    went_down: Notify,
}

impl BackendStats {
    /// Requests of this node that it has.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.sent_since_told.fetch_add(1, Ordering::Relaxed);
        InFlight { stats: Arc::clone(self) }
    }

    /// Takes in the load that it told.
    pub fn record_load(&self, now: Time, load: ServerLoad) {
        self.told_load.store(load.running + load.waiting, Ordering::Relaxed);
        self.sent_since_told.store(0, Ordering::Relaxed);
        self.told_at_ms.store(millis(now), Ordering::Relaxed);
    }

    /// Takes in that any byte came from it.
    pub fn record_received(&self, now: Time) {
        self.heard_at_ms.store(millis(now), Ordering::Relaxed);
        self.suspect_until_ms.store(0, Ordering::Relaxed);
    }

    /// When a byte last came from it.
    pub fn last_received_at(&self) -> Time {
        Time::from_millis(self.heard_at_ms.load(Ordering::Relaxed))
    }

    /// Sends it no requests until a time.
    pub fn suspect_until(&self, until: Time) {
        self.suspect_until_ms.fetch_max(millis(until), Ordering::Relaxed);
    }

    /// Whether it is to get no requests now.
    pub fn is_suspect(&self, now: Time) -> bool {
        millis(now) < self.suspect_until_ms.load(Ordering::Relaxed)
    }

    /// Takes in that it takes no requests any more; what it has is stuck.
    pub fn mark_down(&self) {
        self.is_down.store(true, Ordering::Relaxed);
        self.went_down.notify_waiters();
    }

    /// Takes in that it takes requests again.
    pub fn mark_up(&self) {
        self.is_down.store(false, Ordering::Relaxed);
        self.suspect_until_ms.store(0, Ordering::Relaxed);
    }

    /// Ends once it takes no requests any more.
    pub async fn wait_until_down(&self) {
        let notified = self.went_down.notified();
        tokio::pin!(notified);
        // Listens before it looks, so that nothing falls between.
        notified.as_mut().enable();
        if !self.is_down.load(Ordering::Relaxed) {
            notified.await;
        }
    }

    /// Requests that it has now, as far as this node can tell, with those that
    /// the other nodes told of.
    pub fn estimate_load(&self, now: Time, others: u32) -> LoadEstimate {
        let own = self.in_flight() + others;
        let told_at = Time::from_millis(self.told_at_ms.load(Ordering::Relaxed));
        if LOAD_AGE < now.since(told_at) {
            return LoadEstimate { requests: own, reported_age: None };
        }
        let told = self.told_load.load(Ordering::Relaxed);
        let requests = own.max(told + self.sent_since_told.load(Ordering::Relaxed));
        LoadEstimate { requests, reported_age: Some(now.since(told_at)) }
    }
}

fn millis(time: Time) -> u64 {
    u64::try_from(time.0.as_millis()).unwrap_or(u64::MAX)
}

/// Request in flight at a backend server.
#[derive(Debug)]
pub struct InFlight {
    stats: Arc<BackendStats>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.stats.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Replica that a backend server takes requests for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaKey {
    /// The replica.
    pub replica: ReplicaId,
    /// Its epoch.
    pub epoch: Epoch,
}

/// Backend server that takes requests.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Instance that takes the requests.
    pub id: InstanceId,
    /// Its address.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: AvailabilityZone,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Replica, if it is the first member of one.
    pub replica: Option<ReplicaKey>,
    /// Fabric domain, if it has one.
    pub domain: Option<DomainKey>,
    /// What this node knows of it.
    pub stats: Arc<BackendStats>,
}

/// Backend servers of one service.
#[derive(Debug, Clone, Default)]
pub struct ServicePool {
    /// Servers of a plain service.
    pub servers: Vec<Arc<Backend>>,
    /// Open replicas by model.
    pub replicas: BTreeMap<ModelId, Vec<Arc<Backend>>>,
}

/// Statistics are kept for one incarnation of an instance, as the first member
/// of one replica.
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

    /// Builds the fleet that follows this one.
    pub fn next(
        &self,
        directory: &GatewayConfig,
        view: &InstancesView,
        told: &AnnouncedReplicas,
    ) -> Self {
        let mut next = Self::default();
        let mut members: BTreeMap<(PlainServiceId, ReplicaKey), Vec<&KnownInstance>> =
            BTreeMap::new();
        for known in view.instances.values() {
            let entry = &known.entry;
            let Some(service) = directory.services.get(&entry.service) else { continue };
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
            if told.is_down(&key) {
                continue;
            }
            let engine = directory.services.get(&service).and_then(|it| it.engine.as_ref());
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
        for (open, is_listed) in told.open(view.polled_at) {
            next.add_told(self, view, open, is_listed);
        }
        next
    }

    /// Adds a replica that its owner tells of: before the list does, or while
    /// the list lacks a member that still answers.
    fn add_told(&mut self, old: &Self, view: &InstancesView, open: &OpenReplica, is_listed: bool) {
        let Some(head) = view.instances.get(&open.head) else { return };
        let key = ReplicaKey { replica: open.replica, epoch: open.epoch };
        let listed_open = head
            .entry
            .membership
            .is_some_and(|it| it.matches(key.replica, key.epoch) && it.state == MemberState::Open);
        let is_of_service = head.entry.service == open.service;
        if head.entry.leaving || !is_of_service || (is_listed && !listed_open) {
            return;
        }
        let pool = self.pools.entry(open.service.clone()).or_default();
        let listed = pool.replicas.entry(open.model.clone()).or_default();
        if listed.iter().any(|it| it.id == open.head && it.replica.as_ref() == Some(&key)) {
            return;
        }
        // The list still has it as the head of an earlier epoch.
        listed.retain(|it| it.id != open.head);
        let backend = self.backend(old, head, Some(key));
        let pool = self.pools.entry(open.service.clone()).or_default();
        pool.replicas.entry(open.model.clone()).or_default().push(backend);
    }

    /// Statistics of the head of a replica.
    pub fn replica_stats(&self, key: &ReplicaKey) -> impl Iterator<Item = &Arc<BackendStats>> {
        let of_replica = self.stats.iter().filter(|((_, _, it), _)| it.as_ref() == Some(key));
        of_replica.map(|(_, stats)| stats)
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
            addr: entry.addr,
            zone: entry.zone.clone(),
            slots: entry.slots,
            replica,
            domain: entry.domain.clone().map(|domain| {
                let service = entry.service.clone();
                DomainKey { service, domain }
            }),
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
