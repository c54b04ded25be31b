//! Driver of membership: feeds the step function from the network, the clock,
//! the gossip bus and the key-value service, and carries out its actions.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use citrongw_protocol::{
    node_record::{NODES_PREFIX, VersionedNodeRecord, nodes_key},
    peer::{FetchRequest, FetchResponse, Message},
    record::CONFIG_KEY,
    store::{Change, Expected, Store, StoreResult, Write, WriteResult},
};
use citrongw_state::{id::NodeId, time::Time};
use futures::{FutureExt, future::BoxFuture};
use tokio::{sync::broadcast::error::RecvError, task::JoinHandle, time::MissedTickBehavior};

use super::{Action, Event, Membership, MembershipSettings, TICK};
use crate::{
    clock::Clock,
    config::{ConfigCell, VersionedConfig, edit, gate::ConfigGate, watch},
    decision_log::DecisionLog,
    gossip_bus::GossipBus,
    node_view::NodeView,
    replica_table::ReplicaTable,
};

/// Number of times a leaving node announces its departure.
const LEAVE_ANNOUNCEMENTS: u32 = 4;
/// Pause between departure announcements.
const LEAVE_ANNOUNCEMENT_PAUSE: Duration = Duration::from_millis(100);
/// Time limit for a leaving node to remove itself from the zone's node record.
const RECORD_REMOVAL_TIMEOUT: Duration = Duration::from_secs(2);

/// A received datagram.
#[derive(Debug, Clone)]
pub struct ReceivedMessage {
    /// Sender.
    pub from: NodeId,
    /// Source address.
    pub addr: SocketAddr,
    /// Decoded message.
    pub message: Message,
}

/// Network to the other nodes.
pub trait PeerNetwork: Send + Sync {
    /// Sends a datagram, which may be lost. An id of zero stands for any node.
    fn send(&self, addr: SocketAddr, to: NodeId, message: Message) -> BoxFuture<'_, ()>;

    /// Waits for the next datagram.
    fn receive(&self) -> BoxFuture<'_, ReceivedMessage>;

    /// Sends a fetch request over TCP. `None` if it failed.
    fn fetch(
        &self,
        addr: SocketAddr,
        request: FetchRequest,
    ) -> BoxFuture<'_, Option<FetchResponse>>;
}

/// Dependencies of the driver.
#[derive(Clone)]
pub struct Dependencies {
    /// Clock of this process.
    pub clock: Clock,
    /// Network to the other nodes.
    pub network: Arc<dyn PeerNetwork>,
    /// Client of the key-value service.
    pub store: Arc<dyn Store>,
    /// Gossip items published by this node or received from peers.
    pub gossip: Arc<GossipBus>,
    /// Live nodes, updated by the driver.
    pub nodes: Arc<NodeView>,
    /// Configuration in force, updated by the driver.
    pub config: Arc<ConfigCell>,
    /// Whether the node may accept requests, updated by the driver.
    pub gate: Arc<ConfigGate>,
    /// Known replicas.
    pub replicas: Arc<ReplicaTable>,
    /// Decision log of this node.
    pub decisions: Arc<DecisionLog>,
}

/// Handle of the running driver; dropping it stops the driver.
pub struct MembershipHandle {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

/// Responds to fetch requests of other nodes.
#[derive(Clone)]
pub struct FetchResponder(Arc<Shared>);

struct Shared {
    membership: Mutex<Membership>,
    deps: Dependencies,
    leaving: AtomicBool,
}

/// Spawns the driver's tasks.
pub fn spawn(settings: MembershipSettings, deps: Dependencies) -> MembershipHandle {
    let membership = Membership::new(settings, deps.clock.now());
    let shared = Arc::new(Shared {
        membership: Mutex::new(membership),
        deps,
        leaving: AtomicBool::new(false),
    });
    let tasks = vec![
        tokio::spawn(tick(Arc::clone(&shared))),
        tokio::spawn(receive(Arc::clone(&shared))),
        tokio::spawn(publish(Arc::clone(&shared))),
        tokio::spawn(refresh(Arc::clone(&shared))),
        tokio::spawn(watch_config(Arc::clone(&shared))),
    ];
    MembershipHandle { shared, tasks }
}

impl MembershipHandle {
    /// Returns the responder for fetch requests.
    pub fn responder(&self) -> FetchResponder {
        FetchResponder(Arc::clone(&self.shared))
    }

    /// Whether so many other nodes look dead that this node is probably isolated.
    pub fn suspects_self(&self) -> bool {
        self.shared.lock().suspects_self()
    }

    /// Announces that this node is leaving. Returns in bounded time even if the
    /// key-value service is down.
    pub async fn leave(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
        let remove_from_record = self.shared.remove_from_record();
        if tokio::time::timeout(RECORD_REMOVAL_TIMEOUT, remove_from_record).await.is_err() {
            tracing::debug!(
                "timed out removing this node from the node record; other nodes will do so"
            );
        }
        for _ in 0..LEAVE_ANNOUNCEMENTS {
            self.shared.step(Event::Leave).await;
            tokio::time::sleep(LEAVE_ANNOUNCEMENT_PAUSE).await;
        }
    }
}

impl Drop for MembershipHandle {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl FetchResponder {
    /// Builds the response to a fetch request.
    pub fn respond(&self, request: &FetchRequest) -> FetchResponse {
        let mut response = self.0.lock().respond(request);
        if request.want_replicas {
            let entries = self.0.deps.replicas.entries();
            let specs: Vec<_> = entries.iter().map(|it| it.spec.clone()).collect();
            response.replicas = (!specs.is_empty()).then_some(specs);
        }
        response
    }
}

async fn tick(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.step(Event::Tick).await;
        shared.update_gate();
    }
}

async fn receive(shared: Arc<Shared>) {
    loop {
        let ReceivedMessage { from, addr, message } = shared.deps.network.receive().await;
        shared.step(Event::Received { from, addr, message }).await;
    }
}

async fn publish(shared: Arc<Shared>) {
    let mut gossip_rx = shared.deps.gossip.subscribe_outgoing();
    loop {
        match gossip_rx.recv().await {
            Ok(item) => shared.step(Event::Published(item)).await,
            Err(RecvError::Lagged(lost)) => tracing::warn!(
                lost,
                "fell behind on published gossip items; some were not sent to peers"
            ),
            Err(RecvError::Closed) => return,
        }
    }
}

async fn refresh(shared: Arc<Shared>) {
    loop {
        shared.deps.gate.refresh_requested().await;
        shared.step(Event::Refresh).await;
    }
}

async fn watch_config(shared: Arc<Shared>) {
    let store = Arc::clone(&shared.deps.store);
    let is_reader = || shared.lock().is_store_reader();
    let from = || shared.lock().held_config().token().config.next();
    watch::run(store, is_reader, from, || shared.deps.gate.request_refresh()).await;
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Membership> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Time {
        self.deps.clock.now()
    }

    fn step(self: &Arc<Self>, event: Event) -> BoxFuture<'_, ()> {
        async move {
            let actions = self.lock().step(event, self.now());
            for action in actions {
                self.act(action).await;
            }
        }
        .boxed()
    }

    async fn act(self: &Arc<Self>, action: Action) {
        let deps = &self.deps;
        match action {
            Action::Send { addr, to, message } => deps.network.send(addr, to, *message).await,
            Action::Deliver(item) => deps.gossip.publish_local(item),
            Action::InForce(config) => self.put_in_force(&config),
            Action::ViewChanged => deps.nodes.replace(self.lock().members().alive()),
            Action::LogDecision(decision) => {
                tracing::info!(%decision, "membership");
                deps.decisions.add(decision);
            }
            call @ (Action::Fetch { .. }
            | Action::ReadHead
            | Action::ReadDocument { .. }
            | Action::ReadRecords
            | Action::WriteRecord { .. }) => {
                let shared = Arc::clone(self);
                tokio::spawn(async move {
                    if let Some(event) = shared.call(call).await {
                        shared.step(event).await;
                        shared.update_gate();
                    }
                });
            }
        }
    }

    /// Puts a configuration in force unless a newer one already is.
    fn put_in_force(&self, config: &Arc<VersionedConfig>) {
        self.deps.config.rcu(|held| match held {
            Some(held) if config.revision <= held.revision => Some(Arc::clone(held)),
            _ => Some(Arc::clone(config)),
        });
    }

    /// Makes a network or store call, outside the lock.
    async fn call(&self, call: Action) -> Option<Event> {
        let store = self.deps.store.as_ref();
        let requested_at = self.now();
        Some(match call {
            Action::Fetch { addr, mut request } => {
                request.want_replicas = self.deps.replicas.entries().is_empty();
                let response = self.deps.network.fetch(addr, *request).await;
                Event::Fetched {
                    requested_at,
                    response: response.map(|it| Box::new(self.take_replicas(it))),
                }
            }
            Action::ReadHead => {
                let found = store.get(CONFIG_KEY.into()).await;
                let found = found.map(|it| it.into_entry().map(|entry| entry.revision));
                Event::HeadRead { requested_at, found }
            }
            Action::ReadDocument { requested_at } => {
                let current = edit::read(store).await.inspect_err(|error| {
                    tracing::warn!(%error, "could not read the configuration");
                });
                Event::DocumentRead { requested_at, current: current.map(|it| it.map(Box::new)) }
            }
            Action::ReadRecords => Event::RecordsRead(read_records(store).await),
            Action::WriteRecord { expected, record } => {
                Event::RecordWritten(self.write_record(expected, record).await)
            }
            _ => return None,
        })
    }

    /// Loads the replica list of a response into the replica table if that is empty.
    fn take_replicas(&self, mut response: FetchResponse) -> FetchResponse {
        let table = &self.deps.replicas;
        if let Some(replicas) = response.replicas.take()
            && table.entries().is_empty()
        {
            table.replace(replicas);
        }
        response
    }

    async fn write_record(
        &self,
        expected: Expected,
        record: citrongw_protocol::node_record::NodeRecord,
    ) -> StoreResult<Option<VersionedNodeRecord>> {
        let zone = self.deps.nodes.this().zone.clone();
        let change = Change::Put(record.encode());
        let write = Write { key: nodes_key(&zone), expected, change, lease: None };
        Ok(match self.deps.store.compare_and_swap(write).await? {
            WriteResult::Committed(revision) => {
                Some(VersionedNodeRecord { zone, revision, record })
            }
            WriteResult::Conflict(found) => found.as_ref().and_then(VersionedNodeRecord::decode),
        })
    }

    /// Removes this node from the zone's node record unless a change of the
    /// record is in progress. Other nodes also remove it once they receive its
    /// departure.
    async fn remove_from_record(&self) {
        let next = self.lock().record_without_this();
        let Some((expected, record)) = next else { return };
        if let Err(error) = self.write_record(expected, record).await {
            tracing::debug!(%error, "could not remove this node from the node record");
        }
    }

    fn update_gate(&self) {
        let (serve_until, status) = {
            let membership = self.lock();
            let held_config = membership.held_config();
            (held_config.serve_until(), held_config.status())
        };
        self.deps.gate.update(serve_until, status);
    }
}

async fn read_records(store: &dyn Store) -> StoreResult<Vec<VersionedNodeRecord>> {
    let snapshot = store.list(NODES_PREFIX.into()).await?;
    Ok(snapshot.entries.iter().filter_map(VersionedNodeRecord::decode).collect())
}
