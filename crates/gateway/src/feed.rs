//! State that requests are routed by: the configuration and the list of
//! instances, read from the platform's key-value service or received from other
//! gateways.

mod config;
mod instances;
mod unreadable;

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use citrongw_coordination::clock::Clock;
use citrongw_state::{id::Revision, time::Time};
use citrongw_transport::http_server::ConnectionLimits;
use tokio::{
    sync::{Notify, mpsc, watch},
    task::JoinHandle,
};

use self::unreadable::UnreadableRecords;
use crate::{
    adapter::Adapter,
    announced_replicas::AnnouncedReplicas,
    fleet::{Fleet, ReplicaKey},
    gateway_config::GatewayConfig,
    instance_table::InstancesView,
    listing::{ListChange, READER_SILENCE},
    metrics::Metrics,
    peers::{Peers, message::PeerMessage},
};

/// Queue length of list changes that wait to be applied. Further changes are
/// dropped, and the list is read instead.
const MAX_QUEUED_CHANGES: usize = 32;

/// Configuration, instances and backend servers that requests are routed by.
#[derive(Debug)]
pub struct RoutingState {
    /// Active configuration; none until the first one is read.
    pub active_config: ArcSwapOption<GatewayConfig>,
    /// Instances as last listed.
    pub instances: ArcSwap<InstancesView>,
    /// Backend servers.
    pub fleet: ArcSwap<Fleet>,
    /// Limits of callers' connections according to the configuration.
    pub caller_limits: Arc<ConnectionLimits>,
    announced: Mutex<AnnouncedReplicas>,
    list_tx: mpsc::Sender<ListChange>,
    list_rx: Mutex<Option<mpsc::Receiver<ListChange>>>,
    /// Highest revision of the configuration that the list reader reported.
    reader_config_tx: watch::Sender<Revision>,
    /// When a message of the list reader last arrived, in milliseconds of this
    /// node's clock.
    reader_last_seen_ms: AtomicU64,
    config_changed: Notify,
}

/// Creates an empty state.
pub fn open() -> RoutingState {
    let (list_tx, list_rx) = mpsc::channel(MAX_QUEUED_CHANGES);
    RoutingState {
        active_config: ArcSwapOption::empty(),
        instances: ArcSwap::default(),
        fleet: ArcSwap::default(),
        caller_limits: Arc::default(),
        announced: Mutex::default(),
        list_tx,
        list_rx: Mutex::new(Some(list_rx)),
        reader_config_tx: watch::channel(Revision(0)).0,
        reader_last_seen_ms: AtomicU64::new(u64::MAX),
        config_changed: Notify::new(),
    }
}

impl RoutingState {
    /// Activates a configuration, unless the active one is as new or newer.
    pub fn set_config(&self, config: GatewayConfig) {
        let current = self.active_config.load();
        if current.as_ref().is_some_and(|it| config.revision <= it.revision) {
            return;
        }
        let before = current.as_ref().map(|it| it.version);
        tracing::info!(
            version = config.version,
            before,
            revision = config.revision.0,
            routes = config.routes.len(),
            "configuration in force"
        );
        let limits = &config.limits;
        self.caller_limits.set(limits.head_bytes, limits.header_timeout, limits.idle_timeout);
        self.active_config.store(Some(Arc::new(config)));
        self.rebuild();
        self.config_changed.notify_one();
    }

    /// Revision of the active configuration, or 0 if there is none.
    fn config_revision(&self) -> Revision {
        self.active_config.load().as_ref().map_or(Revision(0), |it| it.revision)
    }

    /// Whether a message of the list reader, which reads the list for all
    /// gateways, arrived recently.
    fn is_reader_active(&self, now: Time) -> bool {
        let last_seen_ms = self.reader_last_seen_ms.load(Ordering::Relaxed);
        last_seen_ms != u64::MAX && now.since(Time::from_millis(last_seen_ms)) < READER_SILENCE
    }

    fn apply_list(&self, change: &ListChange, now: Time) {
        let now_ms = u64::try_from(now.0.as_millis()).unwrap_or(u64::MAX);
        self.reader_last_seen_ms.store(now_ms, Ordering::Relaxed);
        self.reader_config_tx.send_if_modified(|known_revision| {
            let is_newer = *known_revision < change.config_revision;
            *known_revision = change.config_revision.max(*known_revision);
            is_newer
        });
        // If the queue is full, the digest of the next applied change shows that
        // one is missing.
        let _ = self.list_tx.try_send(change.clone());
    }

    /// Applies a message of another gateway.
    pub fn apply_message(&self, message: &PeerMessage, now: Time) {
        if let PeerMessage::List(change) = message {
            return self.apply_list(change, now);
        }
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
            | PeerMessage::Load(_)
            | PeerMessage::ZoneLoad { .. } => {}
        }
        self.rebuild();
    }

    /// Replaces the instance list.
    pub fn set_instances(&self, view: InstancesView) {
        self.instances.store(Arc::new(view));
        self.rebuild();
    }

    fn rebuild(&self) {
        if let Some(config) = &*self.active_config.load() {
            let announced = lock(&self.announced).clone();
            let fleet = self.fleet.load().next(config, &self.instances.load(), &announced);
            self.fleet.store(Arc::new(fleet));
        }
    }
}

fn lock(announced: &Mutex<AnnouncedReplicas>) -> MutexGuard<'_, AnnouncedReplicas> {
    announced.lock().unwrap_or_else(PoisonError::into_inner)
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
