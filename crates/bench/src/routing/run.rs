//! One simulation run: arrivals, delayed reports, streams and ticks.

use citrongw_state::{
    id::{Fingerprint, ReplicaId},
    routing::{Group, Slot},
    time::Time,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    node::{Node, Policy, ReceivedLoad, RequestInfo, SharedView},
    outcome::Outcome,
};
use crate::{
    model::{
        replica::{self, Job, ReplicaEvent, ReplicaModel, ReplicaSettings},
        seconds, time_of,
        workload::{self, Workload, WorkloadSettings},
    },
    timeline::Timeline,
};

/// Time from the first token until the time between tokens of a stream is
/// sampled.
const TOKEN_INTERVAL_SAMPLE_DELAY_S: f64 = 0.7;
/// Interval between two ticks of a node.
const TICK_S: f64 = 1.0;
/// One-way network delay to a replica in the node's zone.
const SAME_ZONE_DELAY_S: f64 = 0.0001;
/// One-way network delay to a replica in another zone.
const OTHER_ZONE_DELAY_S: f64 = 0.0005;
/// Time to complete the requests in flight when arrivals end.
const DRAIN_S: f64 = 30.0;

/// Parameters of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Scenario {
    /// Number of replicas.
    pub replicas: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of zones over which replicas and nodes are spread.
    pub zones: usize,
    /// Offered load as a fraction of the capacity.
    pub load: f64,
    /// Number of replicas that are stragglers.
    pub stragglers: usize,
    /// Factor by which stragglers are slower.
    pub slowness: f64,
    /// Interval between two load reports of a replica, in seconds.
    pub report_interval_s: f64,
    /// Delay until a report reaches the nodes, in seconds.
    pub report_lag_s: f64,
    /// Warm-up time before measurement starts, in seconds.
    pub warm_up_s: f64,
    /// Length of the measured period, in seconds.
    pub measured_s: f64,
    /// Speed and capacity of each replica.
    pub replica: ReplicaSettings,
    /// Shape of the requests; the rate is derived from `load`.
    pub workload: WorkloadSettings,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            replicas: 70,
            nodes: 18,
            zones: 3,
            load: 0.8,
            stragglers: 4,
            slowness: 2.5,
            report_interval_s: 1.0,
            report_lag_s: 1.5,
            warm_up_s: 40.0,
            measured_s: 40.0,
            replica: ReplicaSettings::default(),
            workload: WorkloadSettings::default(),
        }
    }
}

impl Scenario {
    fn requests_per_s(&self) -> f64 {
        let fast = (self.replicas - self.stragglers) as f64;
        fast * self.replica.capacity_per_s(self.workload.mean_tokens) * self.load
    }

    fn end_s(&self) -> f64 {
        self.warm_up_s + self.measured_s
    }
}

#[derive(Debug)]
enum Event {
    Arrive,
    Submit { job: Job, replica: usize },
    Wake { replica: usize, version: u64 },
    Report { replica: usize },
    ReportReceived { replica: usize, loads: Vec<ReceivedLoad> },
    SampleTokenInterval { node: usize, replica: usize },
    Tick,
}

/// Request in flight.
#[derive(Debug, Clone, Copy)]
struct RequestState {
    node: usize,
    replica: usize,
    arrived_at_s: f64,
    has_first_token: bool,
}

struct Run<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    rng: SmallRng,
    workload: Workload,
    timeline: Timeline<Event>,
    group: Group,
    zones: Vec<usize>,
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
    let end = time_of(scenario.end_s() + DRAIN_S);
    while let Some((at, event)) = run.timeline.next(end) {
        run.step(seconds(at), event);
    }
    run.finish()
}

fn open(scenario: &Scenario, policy: Policy, seed: u64) -> Run<'_> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let requests_per_s = scenario.requests_per_s();
    let len = scenario.replicas;
    let ids = (0..).map(ReplicaId).zip((0..).map(Slot)).take(len);
    let nodes = (0..scenario.nodes).map(|idx| Node::open(idx % scenario.zones, len, &mut rng));
    Run {
        scenario,
        policy,
        workload: workload::open(WorkloadSettings { requests_per_s, ..scenario.workload }),
        timeline: Timeline::default(),
        group: Group::of(ids),
        zones: (0..len).map(|idx| idx % scenario.zones).collect(),
        nodes: nodes.collect(),
        replicas: (0..len).map(|_| replica::open(scenario.replica)).collect(),
        versions: vec![0; len],
        requests: Vec::new(),
        outcome: Outcome::default(),
        rng: SmallRng::seed_from_u64(seed.wrapping_add(1)),
    }
}

impl Run<'_> {
    fn start(&mut self) {
        self.timeline.add(Time::START, Event::Arrive);
        self.timeline.add(time_of(TICK_S), Event::Tick);
        for replica in 0..self.scenario.replicas {
            let phase_s = self.rng.random::<f64>() * self.scenario.report_interval_s;
            self.timeline.add(time_of(phase_s), Event::Report { replica });
        }
        for replica in self.replicas.iter_mut().take(self.scenario.stragglers) {
            replica.set_slowness(self.scenario.slowness, 0.0);
        }
    }

    fn step(&mut self, now_s: f64, event: Event) {
        match event {
            Event::Arrive => self.arrive(now_s),
            Event::Submit { job, replica } => {
                self.advance(replica, now_s);
                self.replicas[replica].submit(job, now_s);
                self.schedule_wake(replica);
            }
            Event::Wake { replica, version } if self.versions[replica] == version => {
                self.advance(replica, now_s);
                self.schedule_wake(replica);
            }
            Event::Wake { .. } => {}
            Event::Report { replica } => self.report(replica, now_s),
            Event::ReportReceived { replica, loads } => {
                for (node, load) in self.nodes.iter_mut().zip(loads) {
                    node.reports[replica] = Some(load);
                }
            }
            Event::SampleTokenInterval { node, replica } => {
                let interval_s = self.replicas[replica].between_tokens_s();
                self.nodes[node].add_token_interval(replica, interval_s);
            }
            Event::Tick => self.tick(now_s),
        }
    }

    fn arrive(&mut self, now_s: f64) {
        if self.scenario.end_s() <= now_s {
            return;
        }
        self.timeline.add(time_of(now_s + self.workload.gap_s(&mut self.rng)), Event::Arrive);
        let settings = *self.workload.settings();
        let job = Job {
            id: self.requests.len() as u64,
            prefix: self.workload.prefix(&mut self.rng),
            prefix_tokens: settings.prefix_tokens,
            prompt_tokens: settings.prompt_tokens,
            tokens: self.workload.tokens(&mut self.rng),
        };
        let info = RequestInfo {
            prefix: job.prefix,
            fingerprint: Fingerprint(self.rng.random()),
            prompt_tokens: job.prefix_tokens + job.prompt_tokens,
        };
        let node = self.rng.random_range(0..self.nodes.len());
        let shared = SharedView {
            group: &self.group,
            zones: &self.zones,
            nodes: u32::try_from(self.nodes.len()).unwrap_or(u32::MAX),
            now: time_of(now_s),
        };
        let choice = self.nodes[node].choose(self.policy, &shared, &info, &mut self.rng);
        let replica = choice.expect("every replica is usable and unbounded");
        self.nodes[node].own_in_flight[replica] += 1;
        let request = RequestState { node, replica, arrived_at_s: now_s, has_first_token: false };
        self.requests.push(request);
        let network_delay_s = self.network_delay_s(&request);
        self.timeline.add(time_of(now_s + network_delay_s), Event::Submit { job, replica });
    }

    fn advance(&mut self, replica: usize, now_s: f64) {
        let mut events = Vec::new();
        self.replicas[replica].advance(now_s, &mut events);
        let is_measured = self.scenario.warm_up_s <= now_s && now_s <= self.scenario.end_s();
        for interval in self.replicas[replica].take_token_intervals() {
            if is_measured {
                self.outcome.add_tokens(interval.between_tokens_s, interval.tokens);
            }
        }
        for it in events {
            match it {
                ReplicaEvent::FirstToken { id, at_s, hit } => self.first_token(id, at_s, hit),
                ReplicaEvent::Finished { id, .. } => {
                    let request = self.requests[id as usize];
                    self.nodes[request.node].own_in_flight[replica] -= 1;
                }
            }
        }
    }

    fn first_token(&mut self, id: u64, at_s: f64, hit: bool) {
        let request = &mut self.requests[id as usize];
        request.has_first_token = true;
        let request = *request;
        let took_s = at_s + self.network_delay_s(&request) - request.arrived_at_s;
        if self.scenario.warm_up_s <= request.arrived_at_s {
            self.outcome.add_first_token(took_s, hit);
        }
        let sample_at = time_of(at_s + TOKEN_INTERVAL_SAMPLE_DELAY_S);
        let interval = Event::SampleTokenInterval { node: request.node, replica: request.replica };
        self.timeline.add(sample_at, interval);
    }

    fn report(&mut self, replica: usize, now_s: f64) {
        self.advance(replica, now_s);
        self.schedule_wake(replica);
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
        let lag_s = self.scenario.report_lag_s;
        self.timeline.add(time_of(now_s + lag_s), Event::ReportReceived { replica, loads });
        let next_s = now_s + self.scenario.report_interval_s;
        self.timeline.add(time_of(next_s), Event::Report { replica });
    }

    fn tick(&mut self, now_s: f64) {
        for node in &mut self.nodes {
            node.tick(time_of(now_s));
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

    fn network_delay_s(&self, request: &RequestState) -> f64 {
        match self.nodes[request.node].zone == self.zones[request.replica] {
            true => SAME_ZONE_DELAY_S,
            false => OTHER_ZONE_DELAY_S,
        }
    }

    /// Counts requests without a first token with the time that they waited.
    fn finish(mut self) -> Outcome {
        let end_s = self.scenario.end_s() + DRAIN_S;
        let measured = self.requests.iter().filter(|it| self.scenario.warm_up_s <= it.arrived_at_s);
        for request in measured.filter(|it| !it.has_first_token) {
            self.outcome.add_first_token(end_s - request.arrived_at_s, false);
        }
        self.outcome
    }
}
