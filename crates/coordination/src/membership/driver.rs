//! Driver of membership: feeds the step function from the network, the clock,
//! the news board and the key-value service, and carries out its actions.

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
use citrongw_state::{
    id::{NodeId, Revision},
    time::Time,
};
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

/// Times that a leaving node says so.
const FAREWELLS: u32 = 4;
/// Pause between two of them.
const FAREWELL_PAUSE: Duration = Duration::from_millis(100);
/// Longest time in which a leaving node takes itself off the record.
const UNRECORD_TIMEOUT: Duration = Duration::from_secs(2);

/// Message as received.
#[derive(Debug, Clone)]
pub struct ReceivedMessage {
    /// Who sent it.
    pub from: NodeId,
    /// From where.
    pub addr: SocketAddr,
    /// The message.
    pub message: Message,
}

/// Way to the other nodes.
pub trait PeerNetwork: Send + Sync {
    /// Sends a datagram, which may be lost. An id of zero stands for any node.
    fn send(&self, addr: SocketAddr, to: NodeId, message: Message) -> BoxFuture<'_, ()>;

    /// Waits for the next datagram.
    fn receive(&self) -> BoxFuture<'_, ReceivedMessage>;

    /// Asks over TCP. None if there was no answer.
    fn fetch(
        &self,
        addr: SocketAddr,
        request: FetchRequest,
    ) -> BoxFuture<'_, Option<FetchResponse>>;
}

/// What the driver works with.
#[derive(Clone)]
pub struct Dependencies {
    /// Clock.
    pub clock: Clock,
    /// Way to the other nodes.
    pub network: Arc<dyn PeerNetwork>,
    /// Key-value service.
    pub store: Arc<dyn Store>,
    /// News of this node and its peers.
    pub news: Arc<GossipBus>,
    /// Live nodes.
    pub nodes: Arc<NodeView>,
    /// Configuration in force.
    pub config: Arc<ConfigCell>,
    /// Whether the node may take requests.
    pub gate: Arc<ConfigGate>,
    /// Replicas known.
    pub replicas: Arc<ReplicaTable>,
    /// Decisions of this node.
    pub decisions: Arc<DecisionLog>,
}

/// Running membership.
pub struct MembershipHandle {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

/// Answers what other nodes ask over TCP.
#[derive(Clone)]
pub struct FetchResponder(Arc<Shared>);

struct Shared {
    membership: Mutex<Membership>,
    around: Dependencies,
    leaving: AtomicBool,
}

/// Spawns the driver.
pub fn spawn(settings: MembershipSettings, around: Dependencies) -> MembershipHandle {
    let membership = Membership::new(settings, around.clock.now());
    let shared = Arc::new(Shared {
        membership: Mutex::new(membership),
        around,
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
    /// What answers the questions of other nodes.
    pub fn responder(&self) -> FetchResponder {
        FetchResponder(Arc::clone(&self.shared))
    }

    /// Whether so many others look dead that the node should doubt itself.
    pub fn suspects_self(&self) -> bool {
        self.shared.lock().suspects_self()
    }

    /// Tells the others that this node leaves. Returns in bounded time, also
    /// while the service is down.
    pub async fn leave(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
        let unrecord = self.shared.unrecord();
        if tokio::time::timeout(UNRECORD_TIMEOUT, unrecord).await.is_err() {
            tracing::debug!("left the record of nodes to the others");
        }
        for _ in 0..FAREWELLS {
            self.shared.step(Event::Leave).await;
            tokio::time::sleep(FAREWELL_PAUSE).await;
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
    /// Answers a question.
    pub fn answer(&self, request: &FetchRequest) -> FetchResponse {
        let mut answer = self.0.lock().respond(request);
        if request.want_replicas {
            let entries = self.0.around.replicas.entries();
            let specs: Vec<_> = entries.iter().map(|it| it.spec.clone()).collect();
            answer.replicas = (!specs.is_empty()).then_some(specs);
        }
        answer
    }
}

async fn tick(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.step(Event::Tick).await;
        shared.note_standing();
    }
}

async fn receive(shared: Arc<Shared>) {
    loop {
        let ReceivedMessage { from, addr, message } = shared.around.network.receive().await;
        shared.step(Event::Received { from, addr, message }).await;
    }
}

async fn publish(shared: Arc<Shared>) {
    let mut news_rx = shared.around.news.subscribe_outgoing();
    loop {
        match news_rx.recv().await {
            Ok(news) => shared.step(Event::Published(news)).await,
            Err(RecvError::Lagged(lost)) => tracing::warn!(lost, "could not pass on all news"),
            Err(RecvError::Closed) => return,
        }
    }
}

async fn refresh(shared: Arc<Shared>) {
    loop {
        shared.around.gate.refresh_requested().await;
        shared.step(Event::Refresh).await;
    }
}

async fn watch_config(shared: Arc<Shared>) {
    let store = Arc::clone(&shared.around.store);
    let on_duty = || shared.lock().is_store_reader();
    let from = || Revision(shared.lock().holding().token().config.0 + 1);
    watch::run(store, on_duty, from, || shared.around.gate.request_refresh()).await;
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Membership> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Time {
        self.around.clock.now()
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
        let around = &self.around;
        match action {
            Action::Send { addr, to, message } => around.network.send(addr, to, *message).await,
            Action::Deliver(news) => around.news.publish_local(news),
            Action::InForce(config) => self.put_in_force(&config),
            Action::ViewChanged => around.nodes.replace(self.lock().members().alive()),
            Action::Decided(decision) => {
                tracing::info!(%decision, "membership");
                around.decisions.add(decision);
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
                        shared.note_standing();
                    }
                });
            }
        }
    }

    /// Puts a configuration in force, unless a newer one overtook it.
    fn put_in_force(&self, config: &Arc<VersionedConfig>) {
        self.around.config.rcu(|held| match held {
            Some(held) if config.revision <= held.revision => Some(Arc::clone(held)),
            _ => Some(Arc::clone(config)),
        });
    }

    /// Makes a call that may take long.
    async fn call(&self, call: Action) -> Option<Event> {
        let store = self.around.store.as_ref();
        let asked_at = self.now();
        Some(match call {
            Action::Fetch { addr, mut request } => {
                request.want_replicas = self.around.replicas.entries().is_empty();
                let answer = self.around.network.fetch(addr, *request).await;
                Event::Fetched {
                    requested_at: asked_at,
                    answer: answer.map(|it| Box::new(self.keep(it))),
                }
            }
            Action::ReadHead => {
                let found = store.get(CONFIG_KEY.into()).await;
                let found = found.map(|it| it.into_entry().map(|entry| entry.revision));
                Event::HeadRead { requested_at: asked_at, found }
            }
            Action::ReadDocument { requested_at } => {
                let current = edit::read(store).await.inspect_err(|error| {
                    tracing::warn!(%error, "could not read configuration");
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

    /// Keeps the replica list of an answer, if this node has none.
    fn keep(&self, mut answer: FetchResponse) -> FetchResponse {
        let table = &self.around.replicas;
        if let Some(replicas) = answer.replicas.take()
            && table.entries().is_empty()
        {
            table.replace(replicas);
        }
        answer
    }

    async fn write_record(
        &self,
        expected: Expected,
        record: citrongw_protocol::node_record::NodeRecord,
    ) -> StoreResult<Option<VersionedNodeRecord>> {
        let zone = self.around.nodes.this().zone.clone();
        let change = Change::Put(record.encode());
        let write = Write { key: nodes_key(&zone), expected, change, lease: None };
        Ok(match self.around.store.compare_and_swap(write).await? {
            WriteResult::Committed(revision) => {
                Some(VersionedNodeRecord { zone, revision, record })
            }
            WriteResult::Conflict(found) => found.as_ref().and_then(VersionedNodeRecord::decode),
        })
    }

    /// Takes this node off the record, if no change of it is under way. The
    /// others do so as well once they have heard that it left.
    async fn unrecord(&self) {
        let next = self.lock().record_without_this();
        let Some((expected, record)) = next else { return };
        if let Err(error) = self.write_record(expected, record).await {
            tracing::debug!(%error, "could not take this node off the record");
        }
    }

    fn note_standing(&self) {
        let (serve_until, status) = {
            let membership = self.lock();
            let holding = membership.holding();
            (holding.serve_until(), holding.status())
        };
        self.around.gate.update(serve_until, status);
    }
}

async fn read_records(store: &dyn Store) -> StoreResult<Vec<VersionedNodeRecord>> {
    let snapshot = store.list(NODES_PREFIX.into()).await?;
    Ok(snapshot.entries.iter().filter_map(VersionedNodeRecord::decode).collect())
}
