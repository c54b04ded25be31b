//! A few nodes' replica control with engines, records and faults in virtual
//! time, one thread, no sockets.
//!
//! The controls are the shipped step functions; everything around them is a
//! small model with the faults that the real thing has. [`checker`] watches
//! what must never happen, [`measure`] the two measures.

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

/// Age of the instance list as nodes see it, at most.
const LIST_LAG: Duration = Duration::from_secs(3);
/// Longest time that a call to the service takes while nothing is wrong.
const CALL_MOST_MS: u64 = 40;
/// Time after which a node gives a call to the service up.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Size and manners of a world.
#[derive(Debug, Clone)]
pub struct WorldSettings {
    /// Settings of the controls.
    pub control: ControlSettings,
    /// Configuration.
    pub config: Config,
    /// Nodes.
    pub nodes: u64,
    /// Pause between two ticks of a node.
    pub tick: Duration,
    /// Bytes a second of the weight store, for all.
    pub weight_rate_bytes_per_s: f64,
    /// Weights of one instance.
    pub weight_bytes: f64,
    /// Share of the orders that a paused node sends late, past their deadline.
    pub late_orders: f64,
    /// What is broken on purpose.
    pub variant: Variant,
    /// Whether every node also routes, and is checked.
    pub checked: bool,
    /// Whether downtime is added up.
    pub measured: bool,
}

/// What happens at some time.
#[derive(Debug, Clone)]
pub enum Happening {
    /// A node's timer.
    Tick(usize),
    /// A control is told something.
    Told(usize, FabricDomainId, Event),
    /// A node learns a record.
    Record(usize, FabricDomainId, Revision),
    /// A write reaches the service. The flag says whether its reply is lost.
    Write(usize, FabricDomainId, RecordWrite, bool),
    /// A claim in another domain reaches the service.
    Claim(usize, FabricDomainId, citrongw_state::id::ReplicaId, RecordWrite),
    /// An order reaches an engine, with the epoch that truly stands behind it.
    Order(usize, FabricDomainId, OrderCall, citrongw_state::id::Epoch),
    /// The first weight load ends.
    LoadDone(u64),
    /// The instance list is renewed.
    List,
    /// Something fails or returns.
    Fault(Fault),
}

/// The world.
pub struct World {
    /// Its settings.
    pub settings: WorldSettings,
    /// Now.
    pub now: Time,
    /// Engines, by place.
    pub engines: Vec<EngineModel>,
    /// Nodes.
    pub nodes: Vec<NodeModel>,
    /// The key-value service.
    pub store: StoreModel,
    /// Instance list as nodes see it.
    pub listed: Arc<Vec<ListedInstance>>,
    /// What must never happen.
    pub checker: Checker,
    /// Group downtime and stranded accelerators.
    pub measures: Measures,
    /// Steps taken.
    pub steps: u64,
    queue: Queue<Happening>,
    loads: Loads,
    rng: SmallRng,
}

/// Opens a world with these engines.
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
        world.queue.push(Time::from_millis(offset), Happening::Tick(idx));
    }
    world.queue.push(Time::START + LIST_LAG, Happening::List);
    world
}

impl World {
    /// Lets something happen later.
    pub fn schedule(&mut self, at: Time, fault: Fault) {
        self.queue.push(at, Happening::Fault(fault));
    }

    /// Lets everything happen up to `end`.
    pub fn run_until(&mut self, end: Time) {
        while let Some((at, happening)) = self.queue.pop_before(end) {
            self.advance(at);
            self.happen(happening);
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

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick(idx) => self.tick(idx),
            Happening::Told(idx, domain, event) => self.tell(idx, domain, event),
            Happening::Record(idx, domain, revision) => self.learn(idx, &domain, revision),
            Happening::Write(idx, domain, write, lost) => self.write(idx, domain, &write, lost),
            Happening::Claim(idx, domain, replica, write) => {
                if !self.store.is_down() {
                    self.commit(&write);
                }
                self.tell_later(idx, domain, Event::ForeignWritten(replica));
            }
            Happening::Order(idx, domain, call, truth) => self.order(idx, domain, &call, truth),
            Happening::LoadDone(generation) => self.load_done(generation),
            Happening::List => {
                self.listed = Arc::new(self.listed_now());
                self.queue.push(self.now + LIST_LAG, Happening::List);
            }
            Happening::Fault(fault) => self.fail(fault),
        }
    }

    fn listed_now(&self) -> Vec<ListedInstance> {
        self.engines.iter().filter(|it| !it.unlisted).map(|it| it.listed.clone()).collect()
    }

    fn tick(&mut self, idx: usize) {
        if let Some(until) = self.nodes[idx].paused_until(self.now) {
            self.queue.push(until, Happening::Tick(idx));
            return;
        }
        if !self.nodes[idx].alive {
            return;
        }
        self.queue.push(self.now + self.settings.tick, Happening::Tick(idx));
        if self.settings.checked {
            let variant = self.settings.variant;
            let freshness = self.settings.control.freshness;
            let node = &self.nodes[idx];
            self.checker.route(node, &mut self.engines, variant, freshness, self.now);
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

    fn tell(&mut self, idx: usize, domain: FabricDomainId, event: Event) {
        if let Some(until) = self.nodes[idx].paused_until(self.now) {
            self.queue.push(until, Happening::Told(idx, domain, event));
            return;
        }
        if !self.nodes[idx].alive {
            return;
        }
        self.steps += 1;
        let actions = self.nodes[idx].tell(&domain, event, &self.settings, self.now);
        self.act(idx, actions.into_iter().map(|it| (domain.clone(), it)).collect());
    }

    fn learn(&mut self, idx: usize, domain: &FabricDomainId, revision: Revision) {
        let Some((record, stands)) = self.store.get(domain) else { return };
        let node = &self.nodes[idx];
        if stands != revision || node.cut_from_store || self.store.is_down() {
            return;
        }
        let told = Event::RecordReceived(Arc::clone(&record), revision);
        self.nodes[idx].learn(domain, record, revision);
        self.tell(idx, domain.clone(), told);
    }

    /// Begins or ends the weight load of an engine by what it reports.
    fn renew_load(&mut self, place: usize) {
        let report = self.engines[place].orders.report;
        let wants = report.replica.is_some() && !report.ready && self.engines[place].answers();
        let broken = self.engines[place].refuses_load();
        let bytes = self.settings.weight_bytes;
        let next = if wants && !broken {
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
            self.queue.push(at, Happening::LoadDone(generation));
        }
    }

    fn fail(&mut self, fault: Fault) {
        let touched = fault::apply(self, fault);
        if let Some(place) = touched {
            self.renew_load(place);
        }
    }
}
