//! Nodes, the messages between them, and the passing of time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use citrongw_coordination::{
    membership::{Action, Event, Membership, MembershipSettings},
    node_view::NodeInfo,
};
use citrongw_fakes::kv::core::KvCore;
use citrongw_protocol::{
    gossip_item::GossipItem,
    peer::{FetchRequest, FetchResponse, Message},
};
use citrongw_state::{
    config::{Config, Organisation},
    id::{NodeId, Revision},
    time::Time,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::service::{self, ServiceCall};
pub use super::setup::{Broken, FleetSettings, SentBytes};

/// Bytes of a datagram beside its message: seal, UDP and IP headers.
const DATAGRAM_AROUND_BYTES: usize = 41 + 28;
/// Bytes of an exchange over TCP beside its messages.
const EXCHANGE_AROUND_BYTES: usize = 600;
/// Time after which a question over TCP fails.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// What happens at a point in time.
#[derive(Debug)]
enum Item {
    Tick,
    Message { from: NodeId, addr: SocketAddr, message: Box<Message> },
    Question { asker: usize, asked_at: Time, request: Box<FetchRequest> },
    Event(Box<Event>),
    Call(Box<ServiceCall>),
}

struct Due {
    at: Time,
    order: u64,
    node: usize,
    item: Item,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Node of a fleet.
pub struct FleetNode {
    /// The node.
    pub info: NodeInfo,
    /// Its membership.
    pub membership: Membership,
    /// Whether it runs.
    pub runs: bool,
    /// Side of the partition that it is on.
    pub side: u8,
    /// Whether it reaches the service.
    pub reaches_service: bool,
    /// Until when it does nothing.
    pub paused_until: Time,
    /// Until when it may take requests.
    pub serve_until: Option<Time>,
    /// Versions put in force, with their times.
    pub in_force: Vec<(Time, Revision)>,
    /// News heard, with their times.
    pub heard: Vec<(Time, GossipItem)>,
    /// Bytes sent.
    pub sent: SentBytes,
    /// Calls to the service.
    pub service_calls: u64,
    /// Steps carried out.
    pub steps: u64,
    /// When it started.
    pub started_at: Time,
    random_seed: u64,
}

/// The fleet.
pub struct Fleet {
    /// What it is like.
    pub settings: FleetSettings,
    /// Nodes, also those that have ended.
    pub nodes: Vec<FleetNode>,
    /// The service.
    pub service: KvCore,
    /// Whether the service answers.
    pub service_up: bool,
    /// Random choices of the surroundings.
    pub rng: SmallRng,
    now: Time,
    queue: BinaryHeap<Reverse<Due>>,
    order: u64,
    by_addr: BTreeMap<SocketAddr, usize>,
    last_stepped: Option<usize>,
}

/// Starts a fleet.
pub fn open(settings: FleetSettings) -> Fleet {
    let rng = SmallRng::seed_from_u64(settings.seed);
    let mut fleet = Fleet {
        nodes: Vec::new(),
        service: KvCore::default(),
        service_up: true,
        rng,
        now: Time::START,
        queue: BinaryHeap::new(),
        order: 0,
        by_addr: BTreeMap::new(),
        last_stepped: None,
        settings,
    };
    for idx in 0..fleet.settings.nodes {
        fleet.start_node(idx % fleet.settings.zones);
    }
    fleet
}

/// A small document that tells its versions apart.
pub fn config(weight: u32) -> Config {
    let organisation = Organisation { id: "grower".into(), weight, limit_requests_per_s: None };
    Config { organisations: vec![organisation], ..Config::default() }
}

impl Fleet {
    /// Simulated time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Places of the nodes that run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|it| self.nodes[*it].runs).collect()
    }

    /// Starts a node in a zone. Returns its place.
    pub fn start_node(&mut self, zone: usize) -> usize {
        let idx = self.nodes.len();
        let port = u16::try_from(idx + 1).unwrap_or(u16::MAX);
        let info = NodeInfo {
            id: NodeId(self.rng.random_range(1..u64::MAX)),
            zone: format!("zone-{zone:02}").into(),
            region: "region".into(),
            peer_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        };
        let random_seed = self.rng.random();
        let membership = self.membership(&info, random_seed);
        self.by_addr.insert(info.peer_addr, idx);
        self.nodes.push(FleetNode {
            info,
            membership,
            runs: true,
            side: 0,
            reaches_service: true,
            paused_until: Time::START,
            serve_until: None,
            in_force: Vec::new(),
            heard: Vec::new(),
            sent: SentBytes::default(),
            service_calls: 0,
            steps: 0,
            started_at: self.now,
            random_seed,
        });
        let offset = self.settings.tick.mul_f64(self.rng.random());
        self.add(self.now + offset, idx, Item::Tick);
        idx
    }

    fn membership(&self, info: &NodeInfo, random_seed: u64) -> Membership {
        let running = self.nodes.iter().filter(|it| it.runs);
        let seeds: Vec<SocketAddr> = running.map(|it| it.info.peer_addr).take(3).collect();
        let settings = MembershipSettings {
            this: info.clone(),
            seeds,
            random_seed,
            rules: self.settings.rules,
        };
        Membership::new(settings, self.now)
    }

    /// Ends a node without notice.
    pub fn kill(&mut self, idx: usize) {
        self.nodes[idx].runs = false;
    }

    /// Gives an event to a node now.
    pub fn give(&mut self, idx: usize, event: Event) {
        self.add(self.now, idx, Item::Event(Box::new(event)));
    }

    /// Broken variant: the node forgets what it holds but for its first version.
    pub fn return_with_old(&mut self, idx: usize) {
        let old = self.nodes[idx].membership.held_config().document().cloned();
        let (info, random_seed) = (self.nodes[idx].info.clone(), self.nodes[idx].random_seed);
        let Some(old) = old else { return };
        self.nodes[idx].membership = self.membership(&info, random_seed);
        let first = self.nodes[idx].in_force.first().map(|it| it.1);
        let revision = first.unwrap_or(old.version.revision);
        self.nodes[idx].in_force.push((self.now, revision));
    }

    fn add(&mut self, at: Time, node: usize, item: Item) {
        self.order += 1;
        self.queue.push(Reverse(Due { at, order: self.order, node, item }));
    }

    /// Lets time pass until `end`, calling `look` after each step of a node.
    pub fn run_until(&mut self, end: Time, look: &mut dyn FnMut(&Fleet, usize)) {
        while self.queue.peek().is_some_and(|it| it.0.at <= end) {
            let Some(Reverse(due)) = self.queue.pop() else { break };
            self.now = self.now.max(due.at);
            let node = &self.nodes[due.node];
            if !node.runs {
                continue;
            }
            if self.now < node.paused_until && !matches!(due.item, Item::Call(_)) {
                let resumes_at = node.paused_until;
                self.add(resumes_at, due.node, due.item);
                continue;
            }
            self.carry_out(due);
            if let Some(changed) = self.last_stepped.take() {
                look(self, changed);
            }
        }
        self.now = end;
    }

    fn carry_out(&mut self, due: Due) {
        let idx = due.node;
        match due.item {
            Item::Tick => {
                self.step(idx, Event::Tick);
                self.add(self.now + self.settings.tick, idx, Item::Tick);
            }
            Item::Message { from, addr, message } => {
                self.step(idx, Event::Received { from, addr, message: *message });
            }
            Item::Event(event) => self.step(idx, *event),
            Item::Question { asker, asked_at, request } => {
                let answer = self.nodes[idx].membership.respond(&request);
                self.nodes[idx].sent.exchanges +=
                    (size(&answer) + EXCHANGE_AROUND_BYTES / 2) as u64;
                self.give_answer(idx, asker, asked_at, answer);
            }
            Item::Call(call) => {
                let replied = self.now + self.settings.service_latency / 2;
                let reached = self.service_up && self.nodes[idx].reaches_service;
                let event = service::carry_out(&mut self.service, *call, reached);
                self.add(replied, idx, Item::Event(Box::new(event)));
            }
        }
    }

    fn give_answer(&mut self, from: usize, asker: usize, asked_at: Time, answer: FetchResponse) {
        let reached = self.reaches(from, asker);
        let answer = reached.then(|| Box::new(answer));
        let at = if reached { self.now + self.settings.latency } else { asked_at + FETCH_TIMEOUT };
        self.add(
            at,
            asker,
            Item::Event(Box::new(Event::Fetched { requested_at: asked_at, response: answer })),
        );
    }

    fn step(&mut self, idx: usize, event: Event) {
        let now = self.now;
        let node = &mut self.nodes[idx];
        node.steps += 1;
        let actions = node.membership.step(event, now);
        node.serve_until = node.membership.held_config().serve_until();
        for action in actions {
            self.act(idx, action);
        }
        self.last_stepped = Some(idx);
    }

    fn act(&mut self, idx: usize, action: Action) {
        let now = self.now;
        match action {
            Action::Send { addr, message, .. } => self.send(idx, addr, message),
            Action::Fetch { addr, request } => self.ask(idx, addr, request),
            Action::Deliver(news) => self.nodes[idx].heard.push((now, news)),
            Action::InForce(config) => self.nodes[idx].in_force.push((now, config.revision)),
            Action::ReadHead => self.call(idx, ServiceCall::ReadHead { asked_at: now }),
            Action::ReadDocument { requested_at } => {
                self.call(idx, ServiceCall::ReadDocument { asked_at: requested_at });
            }
            Action::ReadRecords => self.call(idx, ServiceCall::ReadRecords),
            Action::WriteRecord { expected, mut record } => {
                if self.settings.broken.records_at_once {
                    record.before = None;
                }
                let zone = self.nodes[idx].info.zone.clone();
                self.call(idx, ServiceCall::WriteRecord { zone, expected, record });
            }
            Action::ViewChanged | Action::LogDecision(_) => {}
        }
    }

    fn call(&mut self, idx: usize, call: ServiceCall) {
        self.nodes[idx].service_calls += 1;
        let at = self.now + self.settings.service_latency / 2;
        self.add(at, idx, Item::Call(Box::new(call)));
    }

    fn send(&mut self, idx: usize, addr: SocketAddr, mut message: Box<Message>) {
        let bytes = (size(&message) + DATAGRAM_AROUND_BYTES) as u64;
        let sent = &mut self.nodes[idx].sent;
        match *message {
            Message::Ping(_) => sent.pings += bytes,
            Message::Ack(_) => sent.acks += bytes,
            _ => sent.others += bytes,
        }
        let Some(to) = self.by_addr.get(&addr).copied() else { return };
        if !self.reaches(idx, to) || self.rng.random_bool(self.settings.loss) {
            return;
        }
        if self.settings.broken.news_dropped {
            drop_news(&mut message);
        }
        let from = &self.nodes[idx].info;
        let (from, addr) = (from.id, from.peer_addr);
        let at = self.now + self.latency();
        self.add(at, to, Item::Message { from, addr, message });
    }

    fn ask(&mut self, idx: usize, addr: SocketAddr, request: Box<FetchRequest>) {
        let asked_at = self.now;
        self.nodes[idx].sent.exchanges += (size(&request) + EXCHANGE_AROUND_BYTES / 2) as u64;
        let to = self.by_addr.get(&addr).copied().filter(|to| self.reaches(idx, *to));
        match to.filter(|to| self.nodes[*to].runs) {
            Some(to) => {
                let at = self.now + self.latency() * 3;
                self.add(at, to, Item::Question { asker: idx, asked_at, request });
            }
            None => {
                let event = Event::Fetched { requested_at: asked_at, response: None };
                self.add(self.now + FETCH_TIMEOUT, idx, Item::Event(Box::new(event)));
            }
        }
    }

    fn latency(&mut self) -> Duration {
        self.settings.latency.mul_f64(self.rng.random_range(0.5..2.0))
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.nodes[from].side == self.nodes[to].side
    }
}

fn drop_news(message: &mut Message) {
    use Message::{Ack, Ping, Push};
    match message {
        Ping(it) => it.gossip.items.clear(),
        Ack(it) => it.gossip.items.clear(),
        Push { gossip, .. } => gossip.items.clear(),
        Message::PingRequest { .. } | Message::Reached { .. } => {}
    }
}

fn size(message: &impl serde::Serialize) -> usize {
    postcard::to_stdvec(message).map_or(0, |it| it.len())
}
