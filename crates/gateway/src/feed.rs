//! State that requests are routed by: the configuration and the list of
//! instances, read from the platform's key-value service or received from other
//! gateways.

mod cold_entries;
mod config;
mod evacuations;
mod instances;
mod unreadable;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use citrongw_coordination::clock::{self, Clock};
use citrongw_state::{
    id::{AvailabilityZone, NodeId, Revision, ServerIncarnation},
    time::Time,
};
use citrongw_transport::http_server::ConnectionLimits;
use tokio::{
    sync::{Notify, mpsc, watch},
    task::JoinHandle,
};

pub use self::evacuations::KnownEvacuations;
pub(crate) use self::evacuations::spawn as spawn_evacuations;
use self::unreadable::UnreadableRecords;
use crate::{
    adapter::Adapter,
    announced_replicas::AnnouncedReplicas,
    cold_watch::{self, ColdMetrics, ColdWatch},
    fleet::{Backend, Fleet, ReplicaKey},
    gateway_config::GatewayConfig,
    instance_table::InstancesView,
    listing::{ListChange, READER_SILENCE},
    lock::lock,
    metrics::Metrics,
    peers::{Peers, message::PeerMessage},
};

/// Queue length of list messages that wait to be handled: more than one read of
/// the reader gives. Further ones are dropped and requested again.
const MAX_QUEUED_MESSAGES: usize = 64;

/// Time after which a configuration may not be the newest any more: longer than the
/// interval at which each gateway hears the list reader or reads the key-value service,
/// and shorter than the time in which a new one must be in force.
const CONFIG_CONFIRMATION_EXPIRY: Duration = Duration::from_millis(1_500);

/// Message about the instance list from another gateway.
#[derive(Debug)]
enum ListMessage {
    /// The list changed.
    Change(ListChange),
    /// The sender's copy has this digest and lacks the changes after it.
    Missing(u64),
}

/// Configuration, instances and backend servers that requests are routed by.
#[derive(Debug)]
pub struct RoutingState {
    /// Active configuration; none until the first one is read.
    pub active_config: ArcSwapOption<GatewayConfig>,
    /// Instances as last listed.
    pub instances: ArcSwap<InstancesView>,
    /// Backend servers.
    pub fleet: ArcSwap<Fleet>,
    /// Availability zones under evacuation.
    pub evacuations: KnownEvacuations,
    /// Limits of callers' connections according to the configuration.
    pub caller_limits: Arc<ConnectionLimits>,
    announced: Mutex<AnnouncedReplicas>,
    list_tx: mpsc::Sender<(NodeId, ListMessage)>,
    list_rx: Mutex<Option<mpsc::Receiver<(NodeId, ListMessage)>>>,
    newest_config_read: Mutex<Revision>,
    /// Version that is known to exist, from which on a configuration is activated.
    min_config_version: AtomicU64,
    /// Highest revision of the configuration that the list reader reported.
    reader_config_tx: watch::Sender<Revision>,
    /// When a message of the list reader last arrived, in milliseconds of this
    /// node's clock.
    reader_last_seen_ms: AtomicU64,
    /// Version of the active configuration, and when this node took notice of it.
    config_in_force: Mutex<Option<(u64, Time)>>,
    /// When the active configuration was last known to be the newest.
    config_confirmed_at: Mutex<Option<Time>>,
    /// Whether the last attempt to follow the configuration failed.
    is_config_unfollowed: AtomicBool,
    /// Whether a caller's request has arrived yet.
    has_traffic: AtomicBool,
    config_changed: Notify,
    /// Servers that are taken as cold.
    pub(crate) cold: ColdWatch,
}

/// Creates an empty state of a gateway that takes no server as cold.
pub fn open() -> RoutingState {
    open_with(cold_watch::open(None, ColdMetrics::default(), clock::open()))
}

/// Creates an empty state.
pub(crate) fn open_with(cold: ColdWatch) -> RoutingState {
    let (list_tx, list_rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
    RoutingState {
        active_config: ArcSwapOption::empty(),
        instances: ArcSwap::default(),
        fleet: ArcSwap::default(),
        evacuations: KnownEvacuations::default(),
        caller_limits: Arc::default(),
        announced: Mutex::default(),
        list_tx,
        list_rx: Mutex::new(Some(list_rx)),
        newest_config_read: Mutex::default(),
        min_config_version: AtomicU64::new(0),
        reader_config_tx: watch::channel(Revision::new(0)).0,
        reader_last_seen_ms: AtomicU64::new(u64::MAX),
        config_in_force: Mutex::default(),
        config_confirmed_at: Mutex::default(),
        is_config_unfollowed: AtomicBool::new(false),
        has_traffic: AtomicBool::new(false),
        config_changed: Notify::new(),
        cold,
    }
}

impl RoutingState {
    /// Activates a configuration, unless the active one is as new or newer. The
    /// operators' versions only grow, whereas the key-value service may be restored from
    /// a backup that has an older one.
    pub fn set_config(&self, config: GatewayConfig) {
        {
            let mut newest_read = lock(&self.newest_config_read);
            *newest_read = config.revision.max(*newest_read);
        }
        let min_version = self.min_config_version.load(Ordering::Relaxed);
        if config.version < min_version {
            log_outdated_config(config.version, min_version);
            return;
        }
        let current = self.active_config.load();
        let version = |it: &GatewayConfig| (it.version, it.revision);
        if let Some(active) = current.as_ref().filter(|it| version(&config) <= version(it)) {
            if active.revision < config.revision {
                tracing::warn!(
                    version = config.version,
                    active = active.version,
                    era = config.revision.era.0,
                    revision = config.revision.number,
                    "configuration is older than the active one"
                );
            }
            return;
        }
        let before = current.as_ref().map(|it| it.version);
        tracing::info!(
            version = config.version,
            before,
            era = config.revision.era.0,
            revision = config.revision.number,
            routes = config.routes.len(),
            "configuration in force"
        );
        let limits = &config.limits;
        self.caller_limits.set(limits.head_bytes, limits.header_timeout, limits.idle_timeout);
        self.active_config.store(Some(Arc::new(config)));
        self.rebuild();
        self.config_changed.notify_one();
    }

    /// Newest revision at which this gateway has read the configuration, or 0 if it has
    /// not. The version that was read is in force, or one after it.
    fn config_revision(&self) -> Revision {
        *lock(&self.newest_config_read)
    }

    /// Version of the active configuration, or 0 if there is none.
    pub(crate) fn config_version(&self) -> u64 {
        self.active_config.load().as_ref().map_or(0, |it| it.version)
    }

    /// Records since when the active configuration is in force.
    fn record_config_change(&self, now: Time) {
        let version = self.config_version();
        let mut in_force = lock(&self.config_in_force);
        if in_force.is_none_or(|(known, _)| known != version) {
            *in_force = Some((version, now));
        }
    }

    /// Time since the active configuration came into force.
    pub(crate) fn config_in_force_for(&self, now: Time) -> Duration {
        let in_force = *lock(&self.config_in_force);
        let since = in_force.filter(|(version, _)| *version == self.config_version());
        since.map_or(Duration::ZERO, |(_, since)| now.since(since))
    }

    /// Records that a configuration newer than the active one would be known by now.
    fn confirm_config(&self, now: Time) {
        if !self.is_config_unfollowed.load(Ordering::Relaxed) {
            *lock(&self.config_confirmed_at) = Some(now);
        }
    }

    /// Whether the active configuration was the newest one a moment ago.
    pub(crate) fn is_config_confirmed(&self, now: Time) -> bool {
        let confirmed_at = *lock(&self.config_confirmed_at);
        confirmed_at.is_some_and(|at| now.since(at) < CONFIG_CONFIRMATION_EXPIRY)
    }

    /// Rejects requests until a newer configuration is read, if the list reader has one
    /// although this gateway has read the key-value service since: it was restored from
    /// a backup, and what the newer version revoked must not be served.
    fn drop_outdated_config(&self, change: &ListChange) {
        let active_version = self.config_version();
        let is_outdated = active_version < change.config_version
            && change.config_revision <= self.config_revision();
        if !is_outdated || self.config_revision() == Revision::default() {
            return;
        }
        self.min_config_version.fetch_max(change.config_version, Ordering::Relaxed);
        if self.active_config.swap(None).is_some() {
            log_outdated_config(active_version, change.config_version);
        }
    }

    /// Whether any request of a caller has arrived yet.
    pub fn has_traffic(&self) -> bool {
        self.has_traffic.load(Ordering::Relaxed)
    }

    pub(crate) fn record_traffic(&self) {
        self.has_traffic.store(true, Ordering::Relaxed);
    }

    /// Whether a message of the list reader, which reads the list for all
    /// gateways, arrived recently.
    fn is_reader_active(&self, now: Time) -> bool {
        self.has_reader_message(now, READER_SILENCE)
    }

    /// Whether a message of the list reader arrived within `max_age`.
    fn has_reader_message(&self, now: Time, max_age: Duration) -> bool {
        let last_seen_ms = self.reader_last_seen_ms.load(Ordering::Relaxed);
        last_seen_ms != u64::MAX && now.since(Time::from_millis(last_seen_ms)) < max_age
    }

    /// Queues a change of the instance list that another gateway sent.
    pub(crate) fn queue_change(&self, from: NodeId, change: ListChange, now: Time) {
        let now_ms = u64::try_from(now.0.as_millis()).unwrap_or(u64::MAX);
        self.reader_last_seen_ms.store(now_ms, Ordering::Relaxed);
        self.reader_config_tx.send_if_modified(|known_revision| {
            let is_newer = *known_revision < change.config_revision;
            *known_revision = change.config_revision.max(*known_revision);
            is_newer
        });
        self.drop_outdated_config(&change);
        if change.config_version <= self.config_version() {
            *lock(&self.config_confirmed_at) = Some(now);
        }
        // If the queue is full, the digest of the next applied change shows that
        // one is missing.
        let _ = self.list_tx.try_send((from, ListMessage::Change(change)));
    }

    /// Queues the request of a gateway that lost changes.
    pub(crate) fn queue_missing(&self, from: NodeId, digest: u64) {
        // The gateway reads the list if it gets no response.
        let _ = self.list_tx.try_send((from, ListMessage::Missing(digest)));
    }

    /// Applies a message of another gateway.
    pub fn apply_message(&self, message: &PeerMessage, now: Time) {
        let may_have_changed = lock(&self.announced).apply(message, now);
        if !may_have_changed {
            return;
        }
        match message {
            PeerMessage::Down { replica, epoch } => {
                let key = ReplicaKey { replica: *replica, epoch: *epoch };
                self.fleet.load().replica_stats(&key).for_each(|it| it.mark_down());
            }
            PeerMessage::Up(open) => {
                let key = ReplicaKey { replica: open.replica, epoch: open.epoch };
                self.fleet.load().replica_stats(&key).for_each(|it| it.mark_up());
            }
            PeerMessage::Suspect { .. }
            | PeerMessage::Owner { .. }
            | PeerMessage::List(_)
            | PeerMessage::ListForZone(_)
            | PeerMessage::ListMissing { .. }
            | PeerMessage::Load(_)
            | PeerMessage::Crash { .. }
            | PeerMessage::Cleared { .. }
            | PeerMessage::ServerLimit { .. }
            | PeerMessage::PermitRequest(_)
            | PeerMessage::PermitReply(_)
            | PeerMessage::ServerLeaving { .. }
            | PeerMessage::ColdServers(_)
            | PeerMessage::ColdPermitRequest(_)
            | PeerMessage::Evacuations(_)
            | PeerMessage::EvacuationsRequest { .. }
            | PeerMessage::ReadsWork(_)
            | PeerMessage::Work(_)
            | PeerMessage::ZoneWork { .. }
            | PeerMessage::ZoneLoad { .. } => {}
        }
        self.rebuild();
    }

    /// Replaces the instance list.
    pub fn set_instances(&self, view: InstancesView) {
        self.instances.store(Arc::new(view));
        self.rebuild();
    }

    /// Records the times until servers are warm, as they state themselves.
    pub(crate) fn record_cold(&self, stated: impl Iterator<Item = (ServerIncarnation, Duration)>) {
        self.cold.record_stated(stated);
        self.set_cold_limits();
    }

    /// Records that the servers of a zone take requests again after its evacuation.
    fn record_returned(&self, zone: &AvailabilityZone) {
        self.cold.record_returned(zone, &self.fleet.load());
        self.set_cold_limits();
    }

    /// Records the time until a server is warm, as it states in a response.
    pub(crate) fn record_cold_left(&self, backend: &Backend, left: Duration, now: Time) {
        if !left.is_zero() || backend.stats.cold.left(now).is_some() {
            self.record_cold(std::iter::once((backend.server(), left)));
        }
    }

    /// Records that a server refused a connection.
    pub(crate) fn record_refused(&self, backend: &Backend) {
        if self.cold.record_refused(backend) {
            self.set_cold_limits();
        }
    }

    /// Records a response of a server.
    pub(crate) fn record_response(&self, backend: &Backend) {
        if self.cold.record_response(backend) {
            self.set_cold_limits();
        }
    }

    fn set_cold_limits(&self) {
        if let Some(config) = &*self.active_config.load() {
            self.cold.set_limits(config, &self.fleet.load());
        }
    }

    fn rebuild(&self) {
        if let Some(config) = &*self.active_config.load() {
            let announced = lock(&self.announced).clone();
            let fleet = self.fleet.load().next(config, &self.instances.load(), &announced);
            self.cold.record_fleet(config, &fleet, self.has_traffic());
            self.fleet.store(Arc::new(fleet));
        }
    }
}

fn log_outdated_config(version: u64, newer: u64) {
    tracing::warn!(
        version,
        newer,
        dependency = "store",
        "configuration is older than that of the list reader"
    );
}

/// Spawns the tasks that follow the configuration and the instance list.
pub fn spawn(
    adapter: &Adapter,
    routing: &Arc<RoutingState>,
    peers: &Arc<Peers>,
    metrics: &Metrics,
    clock: Clock,
) -> Vec<JoinHandle<()>> {
    let unreadable = UnreadableRecords::new(metrics);
    let (config_routing, config_peers) = (Arc::clone(routing), Arc::clone(peers));
    let config =
        config::follow(adapter.clone(), config_routing, config_peers, unreadable.clone(), clock);
    let instances = instances::open(adapter, routing, peers, unreadable, clock);
    vec![tokio::spawn(config), tokio::spawn(instances.follow())]
}

#[cfg(test)]
mod tests;
