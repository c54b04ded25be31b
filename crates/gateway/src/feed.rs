//! What requests are routed by: the configuration and the list of instances, as
//! read from the platform's key-value service or told by other gateways.

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

/// Changes of the list that wait to be applied; with more missing, the list is
/// read.
const MAX_QUEUED_CHANGES: usize = 32;

/// What requests are routed by.
#[derive(Debug)]
pub struct RoutingState {
    /// Configuration in force; none until the first was read.
    pub active_config: ArcSwapOption<GatewayConfig>,
    /// Instances as last listed.
    pub instances: ArcSwap<InstancesView>,
    /// Backend servers.
    pub fleet: ArcSwap<Fleet>,
    /// Bounds of callers' connections, as the configuration has them.
    pub caller_limits: Arc<ConnectionLimits>,
    told: Mutex<AnnouncedReplicas>,
    list_tx: mpsc::Sender<ListChange>,
    list_rx: Mutex<Option<mpsc::Receiver<ListChange>>>,
    /// Revision of the configuration that the reader of the list holds.
    config_hint_tx: watch::Sender<Revision>,
    /// When the reader of the list was last heard, in milliseconds of this
    /// node's clock.
    reader_heard_ms: AtomicU64,
    config_changed: Notify,
}

/// Opens an empty world.
pub fn open() -> RoutingState {
    let (list_tx, list_rx) = mpsc::channel(MAX_QUEUED_CHANGES);
    RoutingState {
        active_config: ArcSwapOption::empty(),
        instances: ArcSwap::default(),
        fleet: ArcSwap::default(),
        caller_limits: Arc::default(),
        told: Mutex::default(),
        list_tx,
        list_rx: Mutex::new(Some(list_rx)),
        config_hint_tx: watch::channel(Revision(0)).0,
        reader_heard_ms: AtomicU64::new(u64::MAX),
        config_changed: Notify::new(),
    }
}

impl RoutingState {
    /// Takes a configuration into force, unless it is older than the present.
    pub fn set_config(&self, directory: GatewayConfig) {
        let current = self.active_config.load();
        if current.as_ref().is_some_and(|it| directory.revision <= it.revision) {
            return;
        }
        let before = current.as_ref().map(|it| it.version);
        tracing::info!(
            version = directory.version,
            before,
            revision = directory.revision.0,
            routes = directory.routes.len(),
            "configuration in force"
        );
        let limits = &directory.limits;
        self.caller_limits.set(limits.head_bytes, limits.header_time, limits.idle_time);
        self.active_config.store(Some(Arc::new(directory)));
        self.rebuild();
        self.config_changed.notify_one();
    }

    /// Revision of the configuration in force.
    fn config_revision(&self) -> Revision {
        self.active_config.load().as_ref().map_or(Revision(0), |it| it.revision)
    }

    /// Whether the gateway that reads the list for all was heard lately.
    fn is_reader_active(&self, now: Time) -> bool {
        let heard_ms = self.reader_heard_ms.load(Ordering::Relaxed);
        heard_ms != u64::MAX && now.since(Time::from_millis(heard_ms)) < READER_SILENCE
    }

    fn hear_list(&self, change: &ListChange, now: Time) {
        let now_ms = u64::try_from(now.0.as_millis()).unwrap_or(u64::MAX);
        self.reader_heard_ms.store(now_ms, Ordering::Relaxed);
        self.config_hint_tx.send_if_modified(|hint| {
            let is_newer = *hint < change.config;
            *hint = change.config.max(*hint);
            is_newer
        });
        // With a full queue the next change that is applied shows that one is
        // missing.
        let _ = self.list_tx.try_send(change.clone());
    }

    /// Takes in what another gateway tells.
    pub fn apply_message(&self, message: &PeerMessage, now: Time) {
        if let PeerMessage::List(change) = message {
            return self.hear_list(change, now);
        }
        let is_new = lock(&self.told).apply(message, now);
        if !is_new {
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
            | PeerMessage::Load(_) => {}
        }
        self.rebuild();
    }

    /// Takes in a read of the instance list.
    pub fn set_instances(&self, view: InstancesView) {
        self.instances.store(Arc::new(view));
        self.rebuild();
    }

    fn rebuild(&self) {
        if let Some(directory) = &*self.active_config.load() {
            let told = lock(&self.told).clone();
            let fleet = self.fleet.load().next(directory, &self.instances.load(), &told);
            self.fleet.store(Arc::new(fleet));
        }
    }
}

fn lock(told: &Mutex<AnnouncedReplicas>) -> MutexGuard<'_, AnnouncedReplicas> {
    told.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Spawns the readers.
pub fn spawn(
    adapter: &Adapter,
    world: &Arc<RoutingState>,
    peers: &Arc<Peers>,
    metrics: &Metrics,
    clock: Clock,
) -> Vec<JoinHandle<()>> {
    let unreadable = UnreadableRecords::new(metrics);
    let (feed, link) = (Arc::clone(world), Arc::clone(peers));
    let config = config::follow(adapter.clone(), feed, link, unreadable.clone(), clock);
    let instances = instances::open(adapter, world, peers, unreadable, clock);
    vec![tokio::spawn(config), tokio::spawn(instances.follow())]
}
