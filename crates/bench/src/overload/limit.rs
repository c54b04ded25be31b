//! How far the nodes together stray from an organisation's limit.

use std::time::Duration;

use citrongw_state::{
    id::NodeId,
    limit::{DemandMeter, ShareBucket, ShareTable},
    time::Time,
    unit::RequestsPerSecond,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    model::{seconds, time_of},
    timeline::Timeline,
};

/// Pause between two ticks of a node.
const TICK: Duration = Duration::from_secs(1);

/// What a run is made of.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitScenario {
    /// Nodes.
    pub nodes: usize,
    /// Limit of the organisation over all of them.
    pub limit_per_s: f64,
    /// Its demand as a multiple of the limit.
    pub demand: f64,
    /// Longest time until news reaches a node.
    pub news_delay_s: f64,
    /// Time after which the demand moves to other nodes; none if it stays.
    pub move_every_s: Option<f64>,
    /// Whether nodes hear each other.
    pub is_connected: bool,
    /// Time before anything is measured.
    pub warm_up_s: f64,
    /// Time that is measured.
    pub measured_s: f64,
}

impl Default for LimitScenario {
    fn default() -> Self {
        Self {
            nodes: 18,
            limit_per_s: 200.0,
            demand: 3.0,
            news_delay_s: 2.0,
            move_every_s: None,
            is_connected: true,
            warm_up_s: 20.0,
            measured_s: 120.0,
        }
    }
}

/// What was let through against what should have been.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitError {
    /// Requests let through a second.
    pub passed_per_s: f64,
    /// Requests a second that the limit allows of the demand.
    pub allowed_per_s: f64,
}

impl LimitError {
    /// Part by which too much was let through.
    pub fn over(&self) -> f64 {
        (self.passed_per_s / self.allowed_per_s - 1.0).max(0.0)
    }

    /// Part by which too little was let through.
    pub fn under(&self) -> f64 {
        (1.0 - self.passed_per_s / self.allowed_per_s).max(0.0)
    }
}

#[derive(Debug)]
enum Event {
    Arrive,
    Tick { node: usize },
    Heard { to: usize, from: usize, sequence: u64, demand: RequestsPerSecond },
}

#[derive(Debug, Default)]
struct Node {
    meter: DemandMeter,
    demand: RequestsPerSecond,
    shares: ShareTable,
    bucket: ShareBucket,
}

/// Runs nodes that share a limit.
pub fn measure_limit(scenario: &LimitScenario, seed: u64) -> LimitError {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut nodes: Vec<Node> = (0..scenario.nodes).map(|_| Node::default()).collect();
    let mut timeline = Timeline::default();
    timeline.add(Time::START, Event::Arrive);
    for node in 0..scenario.nodes {
        let phase_s = rng.random::<f64>() * TICK.as_secs_f64();
        timeline.add(time_of(phase_s), Event::Tick { node });
    }
    let demand_per_s = scenario.limit_per_s * scenario.demand;
    let mut passed = 0_u64;
    let end = time_of(scenario.warm_up_s + scenario.measured_s);
    while let Some((now, event)) = timeline.next(end) {
        match event {
            Event::Arrive => {
                let gap_s = -(1.0 - rng.random::<f64>()).ln() / demand_per_s;
                timeline.add(now + Duration::from_secs_f64(gap_s), Event::Arrive);
                let node = &nodes[entry_node(scenario, now, &mut rng)];
                node.meter.add();
                let is_measured = scenario.warm_up_s <= seconds(now);
                passed += u64::from(node.bucket.take(now).is_ok() && is_measured);
            }
            Event::Tick { node } => {
                let told = tick(scenario, &mut nodes[node], now);
                timeline.add(now + TICK, Event::Tick { node });
                if let Some(sequence) = told.filter(|_| scenario.is_connected) {
                    let demand = nodes[node].shares.published_own();
                    for to in (0..scenario.nodes).filter(|it| *it != node) {
                        let delay_s = rng.random::<f64>() * scenario.news_delay_s;
                        let at = now + Duration::from_secs_f64(delay_s);
                        timeline.add(at, Event::Heard { to, from: node, sequence, demand });
                    }
                }
            }
            Event::Heard { to, from, sequence, demand } => {
                nodes[to].shares.record_report(NodeId(from as u64), sequence, demand, now);
            }
        }
    }
    LimitError {
        passed_per_s: passed as f64 / scenario.measured_s,
        allowed_per_s: scenario.limit_per_s.min(demand_per_s),
    }
}

/// Half of the nodes take most of the demand; which half changes.
fn entry_node(scenario: &LimitScenario, now: Time, rng: &mut SmallRng) -> usize {
    let any = rng.random_range(0..scenario.nodes);
    let Some(every_s) = scenario.move_every_s else { return any };
    let is_second_half = (seconds(now) / every_s) as u64 % 2 == 1;
    let half = scenario.nodes / 2;
    match rng.random::<f64>() < 0.8 {
        true => any % half + if is_second_half { half } else { 0 },
        false => any,
    }
}

/// Lets a node tick; gives the number of what it tells the others.
fn tick(scenario: &LimitScenario, node: &mut Node, now: Time) -> Option<u64> {
    node.demand = node.meter.tick(node.demand, TICK);
    let told = node.shares.update_own(node.demand, now);
    node.shares.expire_silent(now);
    let share = node.shares.share(scenario.nodes as u32, now);
    node.bucket.set_rate(RequestsPerSecond(scenario.limit_per_s * share.0));
    told
}
