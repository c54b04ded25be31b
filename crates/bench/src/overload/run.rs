//! One simulation run: arrivals by organisation, queues, streams, and callers
//! that disconnect.

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
    node::{Node, Policy, QueuedRequest, ReceivedLoad},
    outcome::{LARGE_ORGANISATION, Outcome},
    scenario::Scenario,
};
use crate::{
    model::{
        replica::{self, Job, ReplicaEvent, ReplicaModel},
        seconds, time_of,
        workload::{self, Workload, WorkloadSettings},
    },
    timeline::Timeline,
};

/// Interval between two load reports of a replica, in seconds.
const REPORT_INTERVAL_S: f64 = 0.5;
/// Delay until a report reaches the nodes, in seconds.
const REPORT_LAG_S: f64 = 0.5;
/// Interval between two ticks of a node.
const TICK_S: f64 = 0.1;
/// Size of a request body.
const BODY_SIZE: Bytes = Bytes(4096);

#[derive(Debug)]
enum Event {
    Arrive,
    Wake { replica: usize, version: u64 },
    Report { replica: usize },
    ReportReceived { replica: usize, loads: Vec<ReceivedLoad> },
    Disconnect { id: u64 },
    Tick,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Queued,
    Sent { replica: usize },
    Responding { replica: usize },
    Ended,
}

#[derive(Debug, Clone, Copy)]
struct RequestState {
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
    requests: Vec<RequestState>,
    outcome: Outcome,
}

/// Runs a policy. With the same seed, every policy sees the same arrivals.
pub fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Outcome {
    let mut run = open(scenario, policy, seed);
    run.start();
    let end = time_of(scenario.end_s() + scenario.response_deadline_s);
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
        requests: Vec::new(),
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
            Event::ReportReceived { replica, loads } => {
                for (node, load) in self.nodes.iter_mut().zip(loads) {
                    node.reports[replica] = Some(load);
                }
            }
            Event::Disconnect { id } => self.disconnect(id, now_s),
            Event::Tick => self.tick(now_s),
        }
    }

    fn arrive(&mut self, now_s: f64) {
        if self.scenario.end_s() <= now_s {
            return;
        }
        self.timeline.add(time_of(now_s + self.workload.gap_s(&mut self.rng)), Event::Arrive);
        let request = self.random_request(now_s);
        let queued = QueuedRequest {
            id: request.job.id,
            prefix: request.job.prefix,
            fingerprint: Fingerprint(self.rng.random()),
            prompt_tokens: request.job.prefix_tokens + request.job.prompt_tokens,
        };
        self.requests.push(request);
        if self.is_measured(&request) {
            self.outcome.counts[request.organisation].offered += 1;
        }
        let deadline = time_of(now_s + self.scenario.first_token_deadline_s);
        self.timeline.add(deadline, Event::Disconnect { id: queued.id });
        let is_queue_empty = self.nodes[request.node].queue.is_empty();
        if is_queue_empty && self.try_send(&queued, now_s) {
            return;
        }
        let arrival = self.arrival_of(&request);
        let now = time_of(now_s);
        for refused in self.nodes[request.node].offer(arrival, queued, now) {
            self.refuse(refused.item.id);
        }
    }

    fn random_request(&mut self, now_s: f64) -> RequestState {
        let settings = *self.workload.settings();
        let job = Job {
            id: self.requests.len() as u64,
            prefix: self.workload.prefix(&mut self.rng),
            prefix_tokens: settings.prefix_tokens,
            prompt_tokens: settings.prompt_tokens,
            tokens: self.workload.tokens(&mut self.rng),
        };
        let is_large = self.rng.random::<f64>() < self.scenario.large_share;
        let small = self.rng.random_range(1..self.scenario.organisations);
        RequestState {
            node: self.rng.random_range(0..self.nodes.len()),
            organisation: if is_large { LARGE_ORGANISATION } else { small },
            arrived_at_s: now_s,
            sent_at_s: now_s,
            stage: Stage::Queued,
            job,
        }
    }

    fn arrival_of(&self, request: &RequestState) -> Arrival {
        let organisation = match self.policy {
            Policy::SharedFifo => LARGE_ORGANISATION,
            Policy::Present | Policy::UnboundedFifo | Policy::UncancelledFifo => {
                request.organisation
            }
        };
        Arrival {
            organisation: format!("organisation-{organisation}").into(),
            weight: 1,
            priority: Priority::Normal,
            cost: Tokens(u64::from(request.job.prompt_tokens) + self.mean_tokens()),
            size: BODY_SIZE,
            start_by: time_of(
                request.arrived_at_s + self.scenario.first_token_deadline_s
                    - self.scenario.target_s,
            ),
        }
    }

    fn mean_tokens(&self) -> u64 {
        self.scenario.workload.mean_tokens as u64
    }

    /// Sends a request if a replica has capacity.
    fn try_send(&mut self, queued: &QueuedRequest, now_s: f64) -> bool {
        let request = self.requests[queued.id as usize];
        let nodes = self.nodes.len() as u32;
        let is_bounded = self.policy.is_bounded();
        let node = &self.nodes[request.node];
        let choice = node.choose(&self.group, queued, nodes, is_bounded, time_of(now_s));
        let Ok(replica) = choice else { return false };
        self.nodes[request.node].own_in_flight[replica] += 1;
        let request = &mut self.requests[queued.id as usize];
        request.stage = Stage::Sent { replica };
        request.sent_at_s = now_s;
        let job = request.job;
        self.advance(replica, now_s);
        self.replicas[replica].submit(job, now_s);
        self.schedule_wake(replica);
        true
    }

    /// Sends queued requests of a node while replicas have capacity.
    fn send_queued(&mut self, node: usize, now_s: f64) {
        let now = time_of(now_s);
        loop {
            let taken = self.nodes[node].queue.take(now);
            for refused in taken.refused {
                self.refuse(refused.item.id);
            }
            let Some((arrival, queued)) = taken.next else { return };
            if self.requests[queued.id as usize].stage == Stage::Ended {
                continue;
            }
            if !self.try_send(&queued, now_s) {
                self.nodes[node].queue.put_back(arrival, queued, now);
                return;
            }
        }
    }

    fn advance(&mut self, replica: usize, now_s: f64) {
        let mut events = Vec::new();
        self.replicas[replica].advance(now_s, &mut events);
        self.replicas[replica].take_token_intervals();
        self.schedule_wake(replica);
        for it in events {
            match it {
                ReplicaEvent::FirstToken { id, at_s, .. } => self.first_token(id, replica, at_s),
                ReplicaEvent::Finished { id, at_s } => self.finished(id, replica, at_s),
            }
        }
    }

    fn first_token(&mut self, id: u64, replica: usize, at_s: f64) {
        let request = &mut self.requests[id as usize];
        if request.stage == Stage::Ended {
            return;
        }
        request.stage = Stage::Responding { replica };
        let sample = Sample::FirstToken(Duration::from_secs_f64(at_s - request.sent_at_s));
        let target = Duration::from_secs_f64(self.scenario.target_s);
        self.nodes[request.node].add_sample(replica, sample, target, time_of(at_s));
        let deadline = time_of(request.arrived_at_s + self.scenario.response_deadline_s);
        self.timeline.add(deadline, Event::Disconnect { id });
    }

    fn finished(&mut self, id: u64, replica: usize, at_s: f64) {
        let request = &mut self.requests[id as usize];
        if request.stage == Stage::Ended {
            return;
        }
        request.stage = Stage::Ended;
        let request = *request;
        self.nodes[request.node].own_in_flight[replica] -= 1;
        if self.is_measured(&request) {
            self.outcome.counts[request.organisation].good += 1;
        }
        self.send_queued(request.node, at_s);
    }

    /// Disconnects the caller at a missed deadline.
    fn disconnect(&mut self, id: u64, now_s: f64) {
        let request = self.requests[id as usize];
        let replica = match request.stage {
            Stage::Ended => return,
            Stage::Queued => {
                self.refuse(id);
                return;
            }
            Stage::Responding { .. }
                if now_s < request.arrived_at_s + self.scenario.response_deadline_s =>
            {
                return;
            }
            Stage::Sent { replica } | Stage::Responding { replica } => replica,
        };
        self.advance(replica, now_s);
        // Advancing the replica may have completed the request.
        if self.requests[id as usize].stage == Stage::Ended {
            return;
        }
        self.requests[id as usize].stage = Stage::Ended;
        if self.policy != Policy::UncancelledFifo {
            self.replicas[replica].cancel(id, now_s);
        }
        self.schedule_wake(replica);
        let node = &mut self.nodes[request.node];
        node.own_in_flight[replica] -= 1;
        let target = Duration::from_secs_f64(self.scenario.target_s);
        if matches!(request.stage, Stage::Sent { .. }) {
            node.add_sample(replica, Sample::Overloaded, target, time_of(now_s));
        }
        self.send_queued(request.node, now_s);
    }

    fn refuse(&mut self, id: u64) {
        let request = &mut self.requests[id as usize];
        if request.stage != Stage::Queued {
            return;
        }
        request.stage = Stage::Ended;
        let request = *request;
        if self.is_measured(&request) {
            self.outcome.counts[request.organisation].refused += 1;
        }
    }

    fn report(&mut self, replica: usize, now_s: f64) {
        self.advance(replica, now_s);
        let model = &self.replicas[replica];
        let (running, queued) = (model.running() as u32, model.queued() as u32);
        let at = time_of(now_s);
        let load = |node: &Node| ReceivedLoad {
            running,
            queued,
            own_in_flight_at_report: node.own_in_flight[replica],
            at,
        };
        let loads = self.nodes.iter().map(load).collect();
        self.timeline.add(time_of(now_s + REPORT_LAG_S), Event::ReportReceived { replica, loads });
        self.timeline.add(time_of(now_s + REPORT_INTERVAL_S), Event::Report { replica });
    }

    fn tick(&mut self, now_s: f64) {
        for node in 0..self.nodes.len() {
            self.nodes[node].tick();
            self.send_queued(node, now_s);
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

    fn is_measured(&self, request: &RequestState) -> bool {
        let measured = self.scenario.warm_up_s..self.scenario.end_s();
        measured.contains(&request.arrived_at_s)
    }
}
