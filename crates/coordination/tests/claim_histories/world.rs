//! Simulation of one history: event queue, store, network and faults.

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
    event::{AttemptEvent, Call, Delivery, NodeEvent, Origin, Response, StoreCall, StoreReply},
    node::Node,
    policy::Policy,
};

/// Timeout of a store call.
const STORE_TIMEOUT: Duration = Duration::from_millis(30);
/// Time up to which callers send requests.
const LAST_REQUEST_MS: u64 = 4_000;
/// Maximum number of events of one history.
const MAX_EVENTS: usize = 20_000;
/// Lease duration of a broken variant.
const LEASE_DURATION: Duration = Duration::from_millis(60);

/// State of one simulated history.
pub(crate) struct World {
    /// Policy of the nodes.
    pub(crate) policy: Policy,
    /// Simulated time.
    pub(crate) now: Time,
    /// Random number generator of the history.
    pub(crate) rng: SmallRng,
    /// Checker of the invariants.
    pub(crate) check: Check,
    /// Ids of the live nodes.
    pub(crate) alive: Vec<NodeId>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    deliveries: HashMap<u64, Delivery>,
    last_event_id: u64,
    store: KvCore,
    store_down: bool,
    lease: Option<(NodeId, Time)>,
    requested_at: Vec<Time>,
    callers: Vec<Caller>,
    fault_probability: f64,
}

struct Caller {
    key: u128,
    body: String,
}

/// Simulates the history of a seed.
pub(crate) fn run(seed: u64, policy: Policy) -> Check {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut check = Check::default();
    check.server_deduplicates = rng.random_bool(0.2);
    let fault_probability = [0.0, 0.02, 0.1, 0.25][rng.random_range(0..4)];
    let mut world = World {
        policy,
        now: Time::START,
        rng,
        check,
        alive: Vec::new(),
        queue: BinaryHeap::new(),
        deliveries: HashMap::new(),
        last_event_id: 0,
        store: KvCore::default(),
        store_down: false,
        lease: None,
        requested_at: Vec::new(),
        callers: Vec::new(),
        fault_probability,
    };
    let node_count = world.rng.random_range(1..=4);
    let mut nodes: Vec<Node> = (0..node_count).map(|idx| Node::start(&mut world, idx, 0)).collect();
    world.schedule_callers();
    world.schedule_faults(node_count);
    for _ in 0..MAX_EVENTS {
        let Some(delivery) = world.next() else { break };
        world.deliver(delivery, &mut nodes);
    }
    world.check.finish();
    world.check
}

impl World {
    /// Random duration in microseconds.
    pub(crate) fn micros(&mut self, range: std::ops::RangeInclusive<u64>) -> Duration {
        Duration::from_micros(self.rng.random_range(range))
    }

    /// Draws whether a fault occurs, with the probability of the history, and
    /// counts it if so.
    pub(crate) fn draw_fault(&mut self, event: &'static str) -> bool {
        let fault = self.rng.random_bool(self.fault_probability);
        if fault {
            self.check.count(event);
        }
        fault
    }

    /// Schedules a delivery after `delay`.
    pub(crate) fn schedule(&mut self, delay: Duration, delivery: Delivery) {
        self.last_event_id += 1;
        self.queue.push(Reverse((self.now + delay, self.last_event_id)));
        self.deliveries.insert(self.last_event_id, delivery);
    }

    /// Network delay of one message. Occasionally long.
    pub(crate) fn network_delay(&mut self) -> Duration {
        if self.draw_fault("long network delay") {
            self.micros(1_000..=120_000)
        } else {
            self.micros(50..=3_000)
        }
    }

    /// Sends a call of a node to the store. It may be lost, duplicated or
    /// delayed.
    pub(crate) fn call_store(&mut self, origin: Origin, call: StoreCall) {
        let timed_out = match call {
            StoreCall::Read => StoreReply::Read(Err(StoreError::NoResponse)),
            StoreCall::Write(_) => StoreReply::Write(Err(StoreError::NoResponse)),
        };
        let delivery = Delivery::Node(origin.node, NodeEvent::Store(origin, timed_out));
        self.schedule(STORE_TIMEOUT, delivery);
        if self.draw_fault("store call lost") {
            return;
        }
        let delay = self.network_delay();
        self.schedule(delay, Delivery::Store(origin, call.clone()));
        if self.draw_fault("store call duplicated") {
            let delay = self.network_delay();
            self.schedule(delay, Delivery::Store(origin, call));
        }
    }

    /// Sends the response of one attempt to its caller.
    pub(crate) fn send_response(&mut self, call: &Call, response: &Response) {
        let requested_at = self.requested_at[call.id];
        self.check.check_response(call, response, requested_at, self.now);
    }

    fn next(&mut self) -> Option<Delivery> {
        let Reverse((at, id)) = self.queue.pop()?;
        self.now = at;
        self.deliveries.remove(&id)
    }

    fn deliver(&mut self, delivery: Delivery, nodes: &mut [Node]) {
        match delivery {
            Delivery::Node(node, event) => match nodes[node].paused_until {
                until if self.now < until => {
                    let delay = until.since(self.now) + self.micros(0..=200);
                    self.schedule(delay, Delivery::Node(node, event));
                }
                _ => nodes[node].handle(self, event),
            },
            Delivery::Store(origin, call) => self.serve_store(origin, call),
            Delivery::Backend(origin, attempt, call) => self.serve_backend(origin, attempt, &call),
            Delivery::Caller(caller) => self.send_request(caller, nodes.len()),
            Delivery::Crash(node) => {
                self.check.count("node crashed");
                let incarnation = nodes[node].incarnation + 1;
                self.alive.retain(|it| *it != nodes[node].id);
                nodes[node] = Node::start(self, node, incarnation);
            }
            Delivery::Pause(node, _) if self.now < nodes[node].paused_until => {}
            Delivery::Pause(node, micros) => {
                self.check.count("node paused");
                let span = Duration::from_micros(micros);
                nodes[node].paused_until = self.now + span;
                // Some clocks stop while their process is suspended.
                if self.rng.random_bool(0.3) {
                    nodes[node].clock_behind += span;
                }
            }
            Delivery::Outage(down) => self.store_down = down,
        }
    }

    fn serve_store(&mut self, origin: Origin, call: StoreCall) {
        if self.store_down {
            self.check.count("store call during an outage");
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
                    WriteResult::Committed(_) => self.check.record_commit(&value, self.now),
                    WriteResult::Conflict(_) => self.check.count("conflict"),
                }
                StoreReply::Write(Ok(res))
            }
        };
        if self.draw_fault("store reply lost") {
            return;
        }
        let delay = self.network_delay();
        self.schedule(delay, Delivery::Node(origin.node, NodeEvent::Store(origin, reply)));
    }

    fn serve_backend(&mut self, origin: Origin, attempt: AttemptId, call: &Call) {
        let response = self.check.record_run(call, attempt);
        let event = if self.draw_fault("backend reply lost") {
            AttemptEvent::Interrupted
        } else {
            AttemptEvent::Responded(response)
        };
        let delay = self.network_delay() + self.micros(0..=20_000);
        let event = NodeEvent::Attempt(origin.incarnation, attempt, event);
        self.schedule(delay, Delivery::Node(origin.node, event));
    }

    fn send_request(&mut self, caller: usize, nodes: usize) {
        let id = self.requested_at.len();
        self.requested_at.push(self.now);
        let Caller { key, body } = &self.callers[caller];
        let call = Call { id, key: *key, body: body.clone() };
        let copies = if self.draw_fault("request duplicated") { 2 } else { 1 };
        for _ in 0..copies {
            let (node, delay) = (self.rng.random_range(0..nodes), self.network_delay());
            self.schedule(delay, Delivery::Node(node, NodeEvent::Request(call.clone())));
        }
        let pause = match self.rng.random_range(0..10) {
            0 => RETENTION + self.micros(0..=500_000),
            1..=4 => self.micros(0..=10_000),
            _ => self.micros(10_000..=500_000),
        };
        if (self.now + pause).since(Time::START) < Duration::from_millis(LAST_REQUEST_MS) {
            self.schedule(pause, Delivery::Caller(caller));
        }
    }

    fn schedule_callers(&mut self) {
        for key in 0..self.rng.random_range(1..=3u128) {
            for caller in 0..self.rng.random_range(1..=3) {
                let other = caller != 0 && self.rng.random_bool(0.1);
                let body = if other { format!("other-{key}") } else { format!("body-{key}") };
                self.callers.push(Caller { key, body });
                let delay = self.micros(0..=50_000);
                self.schedule(delay, Delivery::Caller(self.callers.len() - 1));
            }
        }
    }

    fn schedule_faults(&mut self, nodes: usize) {
        let last_request_us = LAST_REQUEST_MS * 1_000;
        for _ in 0..self.rng.random_range(0..=3) {
            let (node, at) = (self.rng.random_range(0..nodes), self.micros(0..=last_request_us));
            self.schedule(at, Delivery::Crash(node));
        }
        for _ in 0..self.rng.random_range(0..=3) {
            let (node, at) = (self.rng.random_range(0..nodes), self.micros(0..=last_request_us));
            let micros = self.rng.random_range(1_000..=3_000_000);
            self.schedule(at, Delivery::Pause(node, micros));
        }
        if self.rng.random_bool(0.2) {
            let (at, span) = (self.micros(0..=last_request_us), self.micros(0..=500_000));
            self.schedule(at, Delivery::Outage(true));
            self.schedule(at + span, Delivery::Outage(false));
        }
    }

    /// Acquires or renews the lease of the broken variant. A node that acquires
    /// the lease from another one gets the current value of the store.
    pub(crate) fn acquire_lease(&mut self, node: NodeId) -> Result<(), StoreReply> {
        let last = self.lease;
        match last {
            Some((holder, ends_at)) if holder != node && self.now < ends_at => {
                let refused = StoreError::Refused { reason: "lease is held".to_owned() };
                Err(StoreReply::Write(Err(refused)))
            }
            _ => {
                self.lease = Some((node, self.now + LEASE_DURATION));
                if last.is_some_and(|(holder, _)| holder == node) {
                    return Ok(());
                }
                let found = self.store.get(&ShardId(0).key()).into_entry();
                Err(StoreReply::Write(Ok(WriteResult::Conflict(found))))
            }
        }
    }
}
