//! One history: the queue of events, the store, the network and the faults.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use citrongw_fakes::kv::core::KvCore;
use citrongw_protocol::{
    claim::ShardId,
    store::{Change, Expected, StoreError, WriteResult},
};
use citrongw_state::{
    id::{AttemptId, NodeId},
    time::Time,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    check::{Check, RETENTION},
    event::{Answer, AttemptEvent, Call, Delivery, NodeEvent, Origin, StoreCall, StoreReply},
    node::Node,
    policy::Policy,
};

/// Longest time that a node waits for the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(30);
/// Time of the last request of a caller.
const LAST_REQUEST_MS: u64 = 4_000;
/// Events of one history, at most.
const MAX_EVENTS: usize = 20_000;
/// Validity of the lease of a broken variant.
const LEASE: Duration = Duration::from_millis(60);

/// State of one history.
pub(crate) struct World {
    /// Policy of the nodes.
    pub(crate) policy: Policy,
    /// Now.
    pub(crate) now: Time,
    /// Random numbers of the history.
    pub(crate) rng: SmallRng,
    /// Observer.
    pub(crate) check: Check,
    /// Ids of the nodes that live.
    pub(crate) alive: Vec<NodeId>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    places: HashMap<u64, Delivery>,
    count: u64,
    store: KvCore,
    store_down: bool,
    lease: Option<(NodeId, Time)>,
    asked_at: Vec<Time>,
    callers: Vec<Caller>,
    fault_share: f64,
}

struct Caller {
    key: u128,
    body: String,
}

/// Runs the history of a seed.
pub(crate) fn run(seed: u64, policy: Policy) -> Check {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut check = Check::default();
    check.server_drops_repeats = rng.random_bool(0.2);
    let fault_share = [0.0, 0.02, 0.1, 0.25][rng.random_range(0..4)];
    let mut world = World {
        policy,
        now: Time::START,
        rng,
        check,
        alive: Vec::new(),
        queue: BinaryHeap::new(),
        places: HashMap::new(),
        count: 0,
        store: KvCore::default(),
        store_down: false,
        lease: None,
        asked_at: Vec::new(),
        callers: Vec::new(),
        fault_share,
    };
    let places = world.rng.random_range(1..=4);
    let mut nodes: Vec<Node> = (0..places).map(|place| Node::start(&mut world, place, 0)).collect();
    world.draw_callers();
    world.draw_faults(places);
    for _ in 0..MAX_EVENTS {
        let Some(place) = world.next() else { break };
        world.deliver(place, &mut nodes);
    }
    world.check.finish();
    world.check
}

impl World {
    /// Random number of microseconds.
    pub(crate) fn micros(&mut self, range: std::ops::RangeInclusive<u64>) -> Duration {
        Duration::from_micros(self.rng.random_range(range))
    }

    /// Whether a fault of a drawn share comes about.
    pub(crate) fn fault(&mut self, what: &'static str) -> bool {
        let fault = self.rng.random_bool(self.fault_share);
        if fault {
            self.check.count(what);
        }
        fault
    }

    /// Lets something arrive after `delay`.
    pub(crate) fn after(&mut self, delay: Duration, place: Delivery) {
        self.count += 1;
        self.queue.push(Reverse((self.now + delay, self.count)));
        self.places.insert(self.count, place);
    }

    /// Time on the way between two ends, now and then a long one.
    pub(crate) fn network_delay(&mut self) -> Duration {
        if self.fault("long way") { self.micros(1_000..=120_000) } else { self.micros(50..=3_000) }
    }

    /// A call of a node to the store: lost, doubled or late by chance.
    pub(crate) fn call_store(&mut self, origin: Origin, call: StoreCall) {
        let timed_out = match call {
            StoreCall::Read => StoreReply::Read(Err(StoreError::NoResponse)),
            StoreCall::Write(_) => StoreReply::Write(Err(StoreError::NoResponse)),
        };
        let place = Delivery::Node(origin.node, NodeEvent::Store(origin, timed_out));
        self.after(STORE_TIMEOUT, place);
        if self.fault("store call lost") {
            return;
        }
        let delay = self.network_delay();
        self.after(delay, Delivery::Store(origin, call.clone()));
        if self.fault("store call doubled") {
            let delay = self.network_delay();
            self.after(delay, Delivery::Store(origin, call));
        }
    }

    /// Tells a caller the answer of one attempt.
    pub(crate) fn send_answer(&mut self, call: &Call, answer: &Answer) {
        let asked_at = self.asked_at[call.id];
        self.check.on_answer(call, answer, asked_at, self.now);
    }

    fn next(&mut self) -> Option<Delivery> {
        let Reverse((at, id)) = self.queue.pop()?;
        self.now = at;
        self.places.remove(&id)
    }

    fn deliver(&mut self, place: Delivery, nodes: &mut [Node]) {
        match place {
            Delivery::Node(node, event) => match nodes[node].paused_until {
                until if self.now < until => {
                    let delay = until.since(self.now) + self.micros(0..=200);
                    self.after(delay, Delivery::Node(node, event));
                }
                _ => nodes[node].take(self, event),
            },
            Delivery::Store(origin, call) => self.run_store(origin, call),
            Delivery::Backend(origin, attempt, call) => self.run_backend(origin, attempt, &call),
            Delivery::Caller(caller) => self.send_request(caller, nodes.len()),
            Delivery::Kill(node) => {
                self.check.count("node died");
                let start = nodes[node].start + 1;
                self.alive.retain(|it| *it != nodes[node].id);
                nodes[node] = Node::start(self, node, start);
            }
            Delivery::Pause(node, _) if self.now < nodes[node].paused_until => {}
            Delivery::Pause(node, micros) => {
                self.check.count("node paused");
                let span = Duration::from_micros(micros);
                nodes[node].paused_until = self.now + span;
                // Some clocks stand still with their process.
                if self.rng.random_bool(0.3) {
                    nodes[node].clock_behind += span;
                }
            }
            Delivery::Outage(down) => self.store_down = down,
        }
    }

    fn run_store(&mut self, origin: Origin, call: StoreCall) {
        if self.store_down {
            self.check.count("store call in an outage");
            return;
        }
        let reply = match call {
            StoreCall::Read => StoreReply::Read(Ok(self.store.get(&ShardId(0).key()))),
            StoreCall::Write(mut write) => {
                if self.policy == Policy::LeaseForCompareAndSwap {
                    let found = self.store.get(&write.key).into_entry();
                    write.expected =
                        found.map_or(Expected::Absent, |it| Expected::Revision(it.revision));
                }
                let value = match &write.change {
                    Change::Put(value) => value.clone(),
                    Change::Delete => return,
                };
                let res = self.store.compare_and_swap(write);
                match res {
                    WriteResult::Committed(_) => self.check.committed(&value, self.now),
                    WriteResult::Conflict(_) => self.check.count("conflict"),
                }
                StoreReply::Write(Ok(res))
            }
        };
        if self.fault("store reply lost") {
            return;
        }
        let delay = self.network_delay();
        self.after(delay, Delivery::Node(origin.node, NodeEvent::Store(origin, reply)));
    }

    fn run_backend(&mut self, origin: Origin, attempt: AttemptId, call: &Call) {
        let answer = self.check.ran(call, attempt);
        let event = if self.fault("backend reply lost") {
            AttemptEvent::BrokenOff
        } else {
            AttemptEvent::Answered(answer)
        };
        let delay = self.network_delay() + self.micros(0..=20_000);
        let event = NodeEvent::Attempt(origin.start, attempt, event);
        self.after(delay, Delivery::Node(origin.node, event));
    }

    fn send_request(&mut self, caller: usize, nodes: usize) {
        let id = self.asked_at.len();
        self.asked_at.push(self.now);
        let Caller { key, body } = &self.callers[caller];
        let call = Call { id, key: *key, body: body.clone() };
        let copies = if self.fault("request doubled") { 2 } else { 1 };
        for _ in 0..copies {
            let (node, delay) = (self.rng.random_range(0..nodes), self.network_delay());
            self.after(delay, Delivery::Node(node, NodeEvent::Request(call.clone())));
        }
        let pause = match self.rng.random_range(0..10) {
            0 => RETENTION + self.micros(0..=500_000),
            1..=4 => self.micros(0..=10_000),
            _ => self.micros(10_000..=500_000),
        };
        if (self.now + pause).since(Time::START) < Duration::from_millis(LAST_REQUEST_MS) {
            self.after(pause, Delivery::Caller(caller));
        }
    }

    fn draw_callers(&mut self) {
        for key in 0..self.rng.random_range(1..=3u128) {
            for caller in 0..self.rng.random_range(1..=3) {
                let other = caller != 0 && self.rng.random_bool(0.1);
                let body = if other { format!("other-{key}") } else { format!("body-{key}") };
                self.callers.push(Caller { key, body });
                let delay = self.micros(0..=50_000);
                self.after(delay, Delivery::Caller(self.callers.len() - 1));
            }
        }
    }

    fn draw_faults(&mut self, nodes: usize) {
        let horizon = LAST_REQUEST_MS * 1_000;
        for _ in 0..self.rng.random_range(0..=3) {
            let (node, at) = (self.rng.random_range(0..nodes), self.micros(0..=horizon));
            self.after(at, Delivery::Kill(node));
        }
        for _ in 0..self.rng.random_range(0..=3) {
            let (node, at) = (self.rng.random_range(0..nodes), self.micros(0..=horizon));
            let micros = self.rng.random_range(1_000..=3_000_000);
            self.after(at, Delivery::Pause(node, micros));
        }
        if self.rng.random_bool(0.2) {
            let (at, span) = (self.micros(0..=horizon), self.micros(0..=500_000));
            self.after(at, Delivery::Outage(true));
            self.after(at + span, Delivery::Outage(false));
        }
    }

    /// Takes the lease of the broken variant, or renews it. The holder learns
    /// what stands in the store when it takes the lease from another one.
    pub(crate) fn take_lease(&mut self, node: NodeId) -> Result<(), StoreReply> {
        let last = self.lease;
        match last {
            Some((holder, ends_at)) if holder != node && self.now < ends_at => {
                let refused = StoreError::Refused { reason: "lease is held".to_owned() };
                Err(StoreReply::Write(Err(refused)))
            }
            _ => {
                self.lease = Some((node, self.now + LEASE));
                if last.is_some_and(|(holder, _)| holder == node) {
                    return Ok(());
                }
                let found = self.store.get(&ShardId(0).key()).into_entry();
                Err(StoreReply::Write(Ok(WriteResult::Conflict(found))))
            }
        }
    }
}
