//! Single-threaded simulation of replica control on a few nodes, with engines,
//! records and faults in virtual time and without sockets.
//!
//! The controllers are the production step functions; everything around them is
//! a small model with the faults that occur in production. [`checker`] checks
//! the safety invariants, and [`measure`] measures downtime and stranded
//! accelerators.

mod calls;
pub mod checker;
pub mod engine;
pub mod fault;
pub mod measure;
pub mod node;
pub mod queue;
pub mod random;
pub mod store;
pub mod variant;

use std::{sync::Arc, time::Duration};

use citrongw_coordination::control::{
    context::ControlSettings,
    domain::{Event, OrderCall, RecordWrite},
};
use citrongw_protocol::instance_list::ListedInstance;
use citrongw_state::{
    config::Config,
    id::{FabricDomainId, NodeId, Revision},
    time::Time,
};
use rand::{Rng, rngs::SmallRng};

use self::{
    checker::Checker,
    engine::{EngineModel, Loads, NextEnd},
    fault::Fault,
    measure::Measures,
    node::NodeModel,
    queue::Queue,
    store::StoreModel,
    variant::Variant,
};

/// Maximum age of the instance list on the nodes.
const LIST_REFRESH_INTERVAL: Duration = Duration::from_secs(3);
/// Upper bound on the duration of a store call without faults.
const MAX_CALL_MS: u64 = 40;
/// Timeout of a store call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Size and behaviour of the simulation.
#[derive(Debug, Clone)]
pub struct WorldSettings {
    /// Settings of the domain controllers.
    pub control: ControlSettings,
    /// Configuration document in force on all nodes.
    pub config: Config,
    /// Number of nodes.
    pub nodes: u64,
    /// Interval between two ticks of a node.
    pub tick: Duration,
    /// Throughput of the weight store, shared by all loads.
    pub weight_rate_bytes_per_s: f64,
    /// Size of the weights of one instance, in bytes.
    pub weight_bytes: f64,
    /// Probability that an order is delivered late, past its deadline, as a
    /// paused node sends it.
    pub late_orders: f64,
    /// Deliberate defect of the simulated system.
    pub variant: Variant,
    /// Whether every node also routes requests and the invariants are checked.
    pub checked: bool,
    /// Whether downtime is measured.
    pub measured: bool,
}

/// Scheduled event of the simulation. Nodes are given by index.
#[derive(Debug, Clone)]
pub enum WorldEvent {
    /// The tick timer of a node fires.
    Tick(usize),
    /// A domain controller receives an event.
    ControlEvent(usize, FabricDomainId, Event),
    /// A node receives a record.
    Record(usize, FabricDomainId, Revision),
    /// A write reaches the store. The flag is set if the reply is lost.
    Write(usize, FabricDomainId, RecordWrite, bool),
    /// A claim in another domain reaches the store.
    Claim(usize, FabricDomainId, citrongw_state::id::ReplicaId, RecordWrite),
    /// An order reaches an engine, with the epoch of the record that it is
    /// based on.
    Order(usize, FabricDomainId, OrderCall, citrongw_state::id::Epoch),
    /// The earliest weight load completes.
    LoadDone(u64),
    /// The nodes receive a new instance list.
    RefreshList,
    /// A fault begins or ends.
    Fault(Fault),
}

/// Simulated installation.
pub struct World {
    /// Size and behaviour.
    pub settings: WorldSettings,
    /// Current simulated time.
    pub now: Time,
    /// Engines, sorted by instance id.
    pub engines: Vec<EngineModel>,
    /// Nodes, including those that have stopped.
    pub nodes: Vec<NodeModel>,
    /// Simulated key-value store.
    pub store: StoreModel,
    /// Instance list last received by the nodes.
    pub listed: Arc<Vec<ListedInstance>>,
    /// Checker of the safety invariants.
    pub checker: Checker,
    /// Group downtime and stranded accelerators.
    pub measures: Measures,
    /// Number of controller steps so far.
    pub steps: u64,
    queue: Queue<WorldEvent>,
    loads: Loads,
    rng: SmallRng,
}

/// Creates a simulation with these engines.
pub fn open(settings: WorldSettings, engines: Vec<EngineModel>, seed: u64) -> World {
    let mut rng = random::open(seed);
    let domains: std::collections::BTreeSet<FabricDomainId> =
        engines.iter().map(|it| it.listed.domain.clone()).collect();
    let nodes = (0..settings.nodes)
        .map(|idx| node::open(NodeId(idx + 1), &domains, &settings, rng.random()))
        .collect();
    let listed = Arc::new(engines.iter().map(|it| it.listed.clone()).collect());
    let mut world = World {
        loads: engine::loads(settings.weight_rate_bytes_per_s),
        settings,
        now: Time::START,
        engines,
        nodes,
        store: StoreModel::default(),
        listed,
        checker: Checker::default(),
        measures: Measures::default(),
        steps: 0,
        queue: Queue::default(),
        rng,
    };
    for idx in 0..world.nodes.len() {
        let offset = world.rng.random_range(0..world.settings.tick.as_millis() as u64);
        world.queue.push(Time::from_millis(offset), WorldEvent::Tick(idx));
    }
    world.queue.push(Time::START + LIST_REFRESH_INTERVAL, WorldEvent::RefreshList);
    world
}

impl World {
    /// Schedules a fault.
    pub fn schedule(&mut self, at: Time, fault: Fault) {
        self.queue.push(at, WorldEvent::Fault(fault));
    }

    /// Processes all events up to `end`.
    pub fn run_until(&mut self, end: Time) {
        while let Some((at, event)) = self.queue.pop_before(end) {
            self.advance(at);
            self.handle(event);
        }
        self.advance(end);
    }

    fn advance(&mut self, at: Time) {
        if !self.settings.measured {
            self.now = at;
            return;
        }
        let config = &self.settings.config;
        self.measures.add(config, &self.store, &self.engines, at.since(self.now));
        self.now = at;
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Tick(idx) => self.tick(idx),
            WorldEvent::ControlEvent(idx, domain, event) => self.deliver(idx, domain, event),
            WorldEvent::Record(idx, domain, revision) => {
                self.record_received(idx, &domain, revision);
            }
            WorldEvent::Write(idx, domain, write, lost) => self.write(idx, domain, &write, lost),
            WorldEvent::Claim(idx, domain, replica, write) => {
                if !self.store.is_down() {
                    self.commit(&write);
                }
                self.deliver_later(idx, domain, Event::ForeignWritten(replica));
            }
            WorldEvent::Order(idx, domain, call, record_epoch) => {
                self.order(idx, domain, &call, record_epoch);
            }
            WorldEvent::LoadDone(generation) => self.load_done(generation),
            WorldEvent::RefreshList => {
                self.listed = Arc::new(self.listed_now());
                self.queue.push(self.now + LIST_REFRESH_INTERVAL, WorldEvent::RefreshList);
            }
            WorldEvent::Fault(fault) => self.fail(fault),
        }
    }

    fn listed_now(&self) -> Vec<ListedInstance> {
        self.engines.iter().filter(|it| !it.unlisted).map(|it| it.listed.clone()).collect()
    }

    fn tick(&mut self, idx: usize) {
        if let Some(until) = self.nodes[idx].paused_until(self.now) {
            self.queue.push(until, WorldEvent::Tick(idx));
            return;
        }
        if !self.nodes[idx].alive {
            return;
        }
        self.queue.push(self.now + self.settings.tick, WorldEvent::Tick(idx));
        if self.settings.checked {
            let variant = self.settings.variant;
            let freshness = self.settings.control.freshness;
            let node = &self.nodes[idx];
            self.checker.check_routes(node, &mut self.engines, variant, freshness, self.now);
        }
        let reachable = !self.store.is_down() && !self.nodes[idx].cut_from_store;
        let mut node = std::mem::take(&mut self.nodes[idx]);
        let mut actions = Vec::new();
        if reachable {
            actions = node.read_all(&mut self.store, &self.settings, self.now);
        }
        actions.extend(node.tick(&self.engines, &self.listed, &self.settings, self.now));
        self.nodes[idx] = node;
        self.steps += 1;
        self.act(idx, actions);
    }

    fn deliver(&mut self, idx: usize, domain: FabricDomainId, event: Event) {
        if let Some(until) = self.nodes[idx].paused_until(self.now) {
            self.queue.push(until, WorldEvent::ControlEvent(idx, domain, event));
            return;
        }
        if !self.nodes[idx].alive {
            return;
        }
        self.steps += 1;
        let actions = self.nodes[idx].deliver(&domain, event, &self.settings, self.now);
        self.act(idx, actions.into_iter().map(|it| (domain.clone(), it)).collect());
    }

    fn record_received(&mut self, idx: usize, domain: &FabricDomainId, revision: Revision) {
        let Some((record, current_revision)) = self.store.get(domain) else { return };
        let node = &self.nodes[idx];
        if current_revision != revision || node.cut_from_store || self.store.is_down() {
            return;
        }
        let event = Event::RecordReceived(Arc::clone(&record), revision);
        self.nodes[idx].record_received(domain, record, revision);
        self.deliver(idx, domain.clone(), event);
    }

    /// Starts or stops the weight load of an engine according to its status.
    fn update_load(&mut self, place: usize) {
        let report = self.engines[place].orders.report;
        let needs_load =
            report.replica.is_some() && !report.ready && self.engines[place].is_responsive();
        let load_fails = self.engines[place].fails_load();
        let bytes = self.settings.weight_bytes;
        let next = if needs_load && !load_fails {
            self.loads.begin(place, self.engines[place].orders.weights.clone(), bytes, self.now)
        } else {
            self.loads.end(place, self.now)
        };
        self.schedule_load(next);
    }

    fn load_done(&mut self, generation: u64) {
        let Some((done, next)) = self.loads.finish(generation, self.now) else { return };
        for place in done {
            self.engines[place].touch(self.now);
            self.engines[place].orders.finish_load();
        }
        self.schedule_load(next);
    }

    fn schedule_load(&mut self, next: NextEnd) {
        if let Some((at, generation)) = next {
            self.queue.push(at, WorldEvent::LoadDone(generation));
        }
    }

    fn fail(&mut self, fault: Fault) {
        let touched = fault::apply(self, fault);
        if let Some(place) = touched {
            self.update_load(place);
        }
    }
}
