//! Simulated nodes, the messages between them, and the event loop.

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

/// Bytes of a datagram in addition to its message: seal, UDP and IP headers.
const DATAGRAM_OVERHEAD_BYTES: usize = 41 + 28;
/// Bytes of a TCP exchange in addition to its messages.
const EXCHANGE_OVERHEAD_BYTES: usize = 600;
/// Timeout of a fetch over TCP.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Scheduled event of a node.
#[derive(Debug)]
enum Item {
    Tick,
    Message { from: NodeId, addr: SocketAddr, message: Box<Message> },
    Fetch { requester: usize, requested_at: Time, request: Box<FetchRequest> },
    Event(Box<Event>),
    Call(Box<ServiceCall>),
}

struct Scheduled {
    at: Time,
    order: u64,
    node: usize,
    item: Item,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Simulated node.
pub struct FleetNode {
    /// Identity and location of the node.
    pub info: NodeInfo,
    /// Membership state machine of the node.
    pub membership: Membership,
    /// Whether the node is running.
    pub is_running: bool,
    /// Side of the network partition that the node is on.
    pub side: u8,
    /// Whether the node reaches the store.
    pub reaches_service: bool,
    /// Time until which the node is paused.
    pub paused_until: Time,
    /// Time until which the node may accept requests.
    pub serve_until: Option<Time>,
    /// Configuration revisions put in force, with their times.
    pub in_force: Vec<(Time, Revision)>,
    /// Gossip items received, with their times.
    pub received_items: Vec<(Time, GossipItem)>,
    /// Bytes sent by message kind.
    pub sent: SentBytes,
    /// Number of store calls.
    pub service_calls: u64,
    /// Number of membership steps.
    pub steps: u64,
    /// Time at which the node started.
    pub started_at: Time,
    random_seed: u64,
}

/// Simulated fleet.
pub struct Fleet {
    /// Parameters of the fleet.
    pub settings: FleetSettings,
    /// Nodes, including those that have stopped.
    pub nodes: Vec<FleetNode>,
    /// Simulated key-value store.
    pub service: KvCore,
    /// Whether the store responds.
    pub service_up: bool,
    /// Random number generator of the simulation.
    pub rng: SmallRng,
    now: Time,
    queue: BinaryHeap<Reverse<Scheduled>>,
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

/// Creates a small configuration whose versions differ in `weight`.
pub fn config(weight: u32) -> Config {
    let organisation = Organisation { id: "grower".into(), weight, limit_requests_per_s: None };
    Config { organisations: vec![organisation], ..Config::default() }
}

impl Fleet {
    /// Current simulated time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Indexes of the running nodes.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|it| self.nodes[*it].is_running).collect()
    }

    /// Starts a node in a zone. Returns its index.
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
            is_running: true,
            side: 0,
            reaches_service: true,
            paused_until: Time::START,
            serve_until: None,
            in_force: Vec::new(),
            received_items: Vec::new(),
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
        let running = self.nodes.iter().filter(|it| it.is_running);
        let seeds: Vec<SocketAddr> = running.map(|it| it.info.peer_addr).take(3).collect();
        let settings = MembershipSettings {
            this: info.clone(),
            seeds,
            random_seed,
            rules: self.settings.rules,
        };
        Membership::new(settings, self.now)
    }

    /// Stops a node without notice.
    pub fn kill(&mut self, idx: usize) {
        self.nodes[idx].is_running = false;
    }

    /// Delivers an event to a node at the current time.
    pub fn deliver_event(&mut self, idx: usize, event: Event) {
        self.add(self.now, idx, Item::Event(Box::new(event)));
    }

    /// Broken variant: the node loses its state and puts its first
    /// configuration version in force again.
    pub fn rejoin_with_old(&mut self, idx: usize) {
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
        self.queue.push(Reverse(Scheduled { at, order: self.order, node, item }));
    }

    /// Processes events until `end`, calling `on_step` after each step of a
    /// node.
    pub fn run_until(&mut self, end: Time, on_step: &mut dyn FnMut(&Fleet, usize)) {
        while self.queue.peek().is_some_and(|it| it.0.at <= end) {
            let Some(Reverse(due)) = self.queue.pop() else { break };
            self.now = self.now.max(due.at);
            let node = &self.nodes[due.node];
            if !node.is_running {
                continue;
            }
            if self.now < node.paused_until && !matches!(due.item, Item::Call(_)) {
                let resumes_at = node.paused_until;
                self.add(resumes_at, due.node, due.item);
                continue;
            }
            self.execute(due);
            if let Some(changed) = self.last_stepped.take() {
                on_step(self, changed);
            }
        }
        self.now = end;
    }

    fn execute(&mut self, due: Scheduled) {
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
            Item::Fetch { requester, requested_at, request } => {
                let answer = self.nodes[idx].membership.respond(&request);
                self.nodes[idx].sent.exchanges +=
                    (size(&answer) + EXCHANGE_OVERHEAD_BYTES / 2) as u64;
                self.send_response(idx, requester, requested_at, answer);
            }
            Item::Call(call) => {
                let replied = self.now + self.settings.service_latency / 2;
                let reached = self.service_up && self.nodes[idx].reaches_service;
                let event = service::execute(&mut self.service, *call, reached);
                self.add(replied, idx, Item::Event(Box::new(event)));
            }
        }
    }

    fn send_response(
        &mut self,
        from: usize,
        requester: usize,
        requested_at: Time,
        answer: FetchResponse,
    ) {
        let reached = self.reaches(from, requester);
        let answer = reached.then(|| Box::new(answer));
        let at =
            if reached { self.now + self.settings.latency } else { requested_at + FETCH_TIMEOUT };
        self.add(
            at,
            requester,
            Item::Event(Box::new(Event::Fetched { requested_at, response: answer })),
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
            Action::Fetch { addr, request } => self.fetch(idx, addr, request),
            Action::Deliver(item) => self.nodes[idx].received_items.push((now, item)),
            Action::InForce(config) => self.nodes[idx].in_force.push((now, config.revision)),
            Action::ReadHead => self.call(idx, ServiceCall::ReadHead { requested_at: now }),
            Action::ReadDocument { requested_at } => {
                self.call(idx, ServiceCall::ReadDocument { requested_at });
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
        let bytes = (size(&message) + DATAGRAM_OVERHEAD_BYTES) as u64;
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
        if self.settings.broken.gossip_dropped {
            drop_gossip(&mut message);
        }
        let from = &self.nodes[idx].info;
        let (from, addr) = (from.id, from.peer_addr);
        let at = self.now + self.latency();
        self.add(at, to, Item::Message { from, addr, message });
    }

    fn fetch(&mut self, idx: usize, addr: SocketAddr, request: Box<FetchRequest>) {
        let requested_at = self.now;
        self.nodes[idx].sent.exchanges += (size(&request) + EXCHANGE_OVERHEAD_BYTES / 2) as u64;
        let to = self.by_addr.get(&addr).copied().filter(|to| self.reaches(idx, *to));
        match to.filter(|to| self.nodes[*to].is_running) {
            Some(to) => {
                let at = self.now + self.latency() * 3;
                self.add(at, to, Item::Fetch { requester: idx, requested_at, request });
            }
            None => {
                let event = Event::Fetched { requested_at, response: None };
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

fn drop_gossip(message: &mut Message) {
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
