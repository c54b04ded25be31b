//! One run: arrivals of organisations, queues, streams, callers that leave.

use std::time::Duration;

use citrongw_state::{
    admission::Arrival,
    concurrency::Sample,
    config::Priority,
    id::{Fingerprint, ReplicaId},
    routing::{Group, Slot},
    time::Time,
    unit::{Bytes, Tokens},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    node::{HeardLoad, Held, Node, Policy},
    outcome::{LARGE, Outcome},
};
use crate::{
    model::{
        replica::{self, Happened, Job, ReplicaModel, ReplicaSettings},
        seconds, time_of,
        workload::{self, Workload, WorkloadSettings},
    },
    timeline::Timeline,
};

/// Pause between two reports of a replica.
const REPORT_INTERVAL_S: f64 = 0.5;
/// Time until a report reaches the nodes.
const REPORT_LAG_S: f64 = 0.5;
/// Pause between two ticks of a node.
const TICK_S: f64 = 0.1;
/// Size of a request's body.
const BODY: Bytes = Bytes(4096);

/// What a run is made of.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Scenario {
    /// Replicas.
    pub replicas: usize,
    /// Nodes.
    pub nodes: usize,
    /// Organisations; the first is the large one.
    pub organisations: usize,
    /// Offered load as a share of the capacity.
    pub load: f64,
    /// Part of the requests that the large organisation sends.
    pub large_part: f64,
    /// Deadline of the first token.
    pub first_token_s: f64,
    /// Deadline of the whole answer.
    pub whole_s: f64,
    /// Time to the first token that limits keep to.
    pub target_s: f64,
    /// Time before anything is measured.
    pub warm_up_s: f64,
    /// Time that is measured.
    pub measured_s: f64,
    /// Speed and size of the replicas.
    pub replica: ReplicaSettings,
    /// Requests; their rate follows from the load.
    pub workload: WorkloadSettings,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            replicas: 24,
            nodes: 10,
            organisations: 10,
            load: 1.0,
            large_part: 0.9,
            first_token_s: 2.0,
            whole_s: 30.0,
            target_s: 0.52,
            warm_up_s: 60.0,
            measured_s: 40.0,
            replica: ReplicaSettings::default(),
            workload: WorkloadSettings { prefixes: 2000, ..WorkloadSettings::default() },
        }
    }
}

impl Scenario {
    /// Requests a second that full batches serve.
    pub fn capacity_per_s(&self) -> f64 {
        self.replicas as f64 * self.replica.capacity_per_s(self.workload.mean_tokens)
    }

    fn end_s(&self) -> f64 {
        self.warm_up_s + self.measured_s
    }
}

#[derive(Debug)]
enum Event {
    Arrive,
    Wake { replica: usize, version: u64 },
    Report { replica: usize },
    Heard { replica: usize, loads: Vec<HeardLoad> },
    Leave { id: u64 },
    Tick,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Queued,
    Sent { replica: usize },
    Answering { replica: usize },
    Gone,
}

#[derive(Debug, Clone, Copy)]
struct Flight {
    node: usize,
    organisation: usize,
    arrived_at_s: f64,
    sent_at_s: f64,
    stage: Stage,
    job: Job,
}

struct Run<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    rng: SmallRng,
    workload: Workload,
    timeline: Timeline<Event>,
    group: Group,
    nodes: Vec<Node>,
    replicas: Vec<ReplicaModel>,
    versions: Vec<u64>,
    flights: Vec<Flight>,
    outcome: Outcome,
}

/// Runs a policy. Each policy sees the same arrivals under the same seed.
pub fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Outcome {
    let mut run = open(scenario, policy, seed);
    run.start();
    let end = time_of(scenario.end_s() + scenario.whole_s);
    while let Some((at, event)) = run.timeline.next(end) {
        run.step(seconds(at), event);
    }
    run.outcome
}

fn open(scenario: &Scenario, policy: Policy, seed: u64) -> Run<'_> {
    let len = scenario.replicas;
    let requests_per_s = scenario.capacity_per_s() * scenario.load;
    Run {
        scenario,
        policy,
        rng: SmallRng::seed_from_u64(seed),
        workload: workload::open(WorkloadSettings { requests_per_s, ..scenario.workload }),
        timeline: Timeline::default(),
        group: Group::of((0..).map(ReplicaId).zip((0..).map(Slot)).take(len)),
        nodes: (0..scenario.nodes).map(|_| Node::open(len)).collect(),
        replicas: (0..len).map(|_| replica::open(scenario.replica)).collect(),
        versions: vec![0; len],
        flights: Vec::new(),
        outcome: Outcome::open(scenario.organisations, scenario.measured_s),
    }
}

impl Run<'_> {
    fn start(&mut self) {
        self.timeline.add(Time::START, Event::Arrive);
        self.timeline.add(time_of(TICK_S), Event::Tick);
        for replica in 0..self.scenario.replicas {
            let phase_s = self.rng.random::<f64>() * REPORT_INTERVAL_S;
            self.timeline.add(time_of(phase_s), Event::Report { replica });
        }
    }

    fn step(&mut self, now_s: f64, event: Event) {
        match event {
            Event::Arrive => self.arrive(now_s),
            Event::Wake { replica, version } if self.versions[replica] == version => {
                self.advance(replica, now_s);
            }
            Event::Wake { .. } => {}
            Event::Report { replica } => self.report(replica, now_s),
            Event::Heard { replica, loads } => {
                for (node, load) in self.nodes.iter_mut().zip(loads) {
                    node.heard[replica] = Some(load);
                }
            }
            Event::Leave { id } => self.leave(id, now_s),
            Event::Tick => self.tick(now_s),
        }
    }

    fn arrive(&mut self, now_s: f64) {
        if self.scenario.end_s() <= now_s {
            return;
        }
        self.timeline.add(time_of(now_s + self.workload.gap_s(&mut self.rng)), Event::Arrive);
        let flight = self.draw_flight(now_s);
        let held = Held {
            id: flight.job.id,
            prefix: flight.job.prefix,
            fingerprint: Fingerprint(self.rng.random()),
            prompt_tokens: flight.job.prefix_tokens + flight.job.prompt_tokens,
        };
        self.flights.push(flight);
        if self.is_measured(&flight) {
            self.outcome.counts[flight.organisation].offered += 1;
        }
        let left_at = time_of(now_s + self.scenario.first_token_s);
        self.timeline.add(left_at, Event::Leave { id: held.id });
        let is_queue_empty = self.nodes[flight.node].queue.is_empty();
        if is_queue_empty && self.try_send(&held, now_s) {
            return;
        }
        let arrival = self.arrival_of(&flight);
        let now = time_of(now_s);
        for refused in self.nodes[flight.node].offer(arrival, held, now) {
            self.refuse(refused.item.id);
        }
    }

    fn draw_flight(&mut self, now_s: f64) -> Flight {
        let settings = *self.workload.settings();
        let job = Job {
            id: self.flights.len() as u64,
            prefix: self.workload.prefix(&mut self.rng),
            prefix_tokens: settings.prefix_tokens,
            prompt_tokens: settings.prompt_tokens,
            tokens: self.workload.tokens(&mut self.rng),
        };
        let is_large = self.rng.random::<f64>() < self.scenario.large_part;
        let small = self.rng.random_range(1..self.scenario.organisations);
        Flight {
            node: self.rng.random_range(0..self.nodes.len()),
            organisation: if is_large { LARGE } else { small },
            arrived_at_s: now_s,
            sent_at_s: now_s,
            stage: Stage::Queued,
            job,
        }
    }

    fn arrival_of(&self, flight: &Flight) -> Arrival {
        let organisation = match self.policy {
            Policy::SharedFifo => LARGE,
            Policy::Present | Policy::UnboundedFifo | Policy::UncancelledFifo => {
                flight.organisation
            }
        };
        Arrival {
            organisation: format!("organisation-{organisation}").into(),
            weight: 1,
            priority: Priority::Normal,
            cost: Tokens(u64::from(flight.job.prompt_tokens) + self.mean_tokens()),
            size: BODY,
            start_by: time_of(
                flight.arrived_at_s + self.scenario.first_token_s - self.scenario.target_s,
            ),
        }
    }

    fn mean_tokens(&self) -> u64 {
        self.scenario.workload.mean_tokens as u64
    }

    /// Sends a request if a replica has room.
    fn try_send(&mut self, held: &Held, now_s: f64) -> bool {
        let flight = self.flights[held.id as usize];
        let nodes = self.nodes.len() as u32;
        let is_bounded = self.policy.is_bounded();
        let node = &self.nodes[flight.node];
        let choice = node.choose(&self.group, held, nodes, is_bounded, time_of(now_s));
        let Ok(replica) = choice else { return false };
        self.nodes[flight.node].own[replica] += 1;
        let flight = &mut self.flights[held.id as usize];
        flight.stage = Stage::Sent { replica };
        flight.sent_at_s = now_s;
        let job = flight.job;
        self.advance(replica, now_s);
        self.replicas[replica].enter(job, now_s);
        self.schedule_wake(replica);
        true
    }

    /// Sends what the queue of a node gives while there is room.
    fn drain(&mut self, node: usize, now_s: f64) {
        let now = time_of(now_s);
        loop {
            let taken = self.nodes[node].queue.take(now);
            for refused in taken.refused {
                self.refuse(refused.item.id);
            }
            let Some((arrival, held)) = taken.next else { return };
            if self.flights[held.id as usize].stage == Stage::Gone {
                continue;
            }
            if !self.try_send(&held, now_s) {
                self.nodes[node].queue.put_back(arrival, held, now);
                return;
            }
        }
    }

    fn advance(&mut self, replica: usize, now_s: f64) {
        let mut happened = Vec::new();
        self.replicas[replica].advance(now_s, &mut happened);
        self.replicas[replica].take_paces();
        self.schedule_wake(replica);
        for it in happened {
            match it {
                Happened::FirstToken { id, at_s, .. } => self.first_token(id, replica, at_s),
                Happened::Finished { id, at_s } => self.finished(id, replica, at_s),
            }
        }
    }

    fn first_token(&mut self, id: u64, replica: usize, at_s: f64) {
        let flight = &mut self.flights[id as usize];
        if flight.stage == Stage::Gone {
            return;
        }
        flight.stage = Stage::Answering { replica };
        let sample = Sample::FirstToken(Duration::from_secs_f64(at_s - flight.sent_at_s));
        let target = Duration::from_secs_f64(self.scenario.target_s);
        self.nodes[flight.node].add_sample(replica, sample, target, time_of(at_s));
        let left_at = time_of(flight.arrived_at_s + self.scenario.whole_s);
        self.timeline.add(left_at, Event::Leave { id });
    }

    fn finished(&mut self, id: u64, replica: usize, at_s: f64) {
        let flight = &mut self.flights[id as usize];
        if flight.stage == Stage::Gone {
            return;
        }
        flight.stage = Stage::Gone;
        let flight = *flight;
        self.nodes[flight.node].own[replica] -= 1;
        if self.is_measured(&flight) {
            self.outcome.counts[flight.organisation].good += 1;
        }
        self.drain(flight.node, at_s);
    }

    /// The caller goes away at a deadline that was not kept.
    fn leave(&mut self, id: u64, now_s: f64) {
        let flight = self.flights[id as usize];
        let replica = match flight.stage {
            Stage::Gone => return,
            Stage::Queued => {
                self.refuse(id);
                return;
            }
            Stage::Answering { .. } if now_s < flight.arrived_at_s + self.scenario.whole_s => {
                return;
            }
            Stage::Sent { replica } | Stage::Answering { replica } => replica,
        };
        self.advance(replica, now_s);
        // Its end may have come at this very moment.
        if self.flights[id as usize].stage == Stage::Gone {
            return;
        }
        self.flights[id as usize].stage = Stage::Gone;
        if self.policy != Policy::UncancelledFifo {
            self.replicas[replica].cancel(id, now_s);
        }
        self.schedule_wake(replica);
        let node = &mut self.nodes[flight.node];
        node.own[replica] -= 1;
        let target = Duration::from_secs_f64(self.scenario.target_s);
        if matches!(flight.stage, Stage::Sent { .. }) {
            node.add_sample(replica, Sample::Overloaded, target, time_of(now_s));
        }
        self.drain(flight.node, now_s);
    }

    fn refuse(&mut self, id: u64) {
        let flight = &mut self.flights[id as usize];
        if flight.stage != Stage::Queued {
            return;
        }
        flight.stage = Stage::Gone;
        let flight = *flight;
        if self.is_measured(&flight) {
            self.outcome.counts[flight.organisation].refused += 1;
        }
    }

    fn report(&mut self, replica: usize, now_s: f64) {
        self.advance(replica, now_s);
        let model = &self.replicas[replica];
        let (running, queued) = (model.running() as u32, model.queued() as u32);
        let at = time_of(now_s);
        let load = |node: &Node| HeardLoad { running, queued, own_then: node.own[replica], at };
        let loads = self.nodes.iter().map(load).collect();
        self.timeline.add(time_of(now_s + REPORT_LAG_S), Event::Heard { replica, loads });
        self.timeline.add(time_of(now_s + REPORT_INTERVAL_S), Event::Report { replica });
    }

    fn tick(&mut self, now_s: f64) {
        for node in 0..self.nodes.len() {
            self.nodes[node].tick();
            self.drain(node, now_s);
        }
        self.timeline.add(time_of(now_s + TICK_S), Event::Tick);
    }

    fn schedule_wake(&mut self, replica: usize) {
        self.versions[replica] += 1;
        if let Some(at_s) = self.replicas[replica].wake_at_s() {
            let version = self.versions[replica];
            self.timeline.add(time_of(at_s), Event::Wake { replica, version });
        }
    }

    fn is_measured(&self, flight: &Flight) -> bool {
        let measured = self.scenario.warm_up_s..self.scenario.end_s();
        measured.contains(&flight.arrived_at_s)
    }
}
