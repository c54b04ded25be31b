//! Error with which the nodes together enforce an organisation's limit.

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

/// Interval between two ticks of a node.
const TICK: Duration = Duration::from_secs(1);

/// Parameters of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitScenario {
    /// Number of nodes.
    pub nodes: usize,
    /// Limit of the organisation over all nodes, in requests per second.
    pub limit_per_s: f64,
    /// Demand of the organisation as a multiple of the limit.
    pub demand: f64,
    /// Upper bound on the time for a gossip item to reach a node, in seconds.
    pub max_propagation_delay_s: f64,
    /// Interval after which the demand moves to other nodes, or none if it
    /// doesn't move.
    pub move_every_s: Option<f64>,
    /// Whether the nodes exchange demand reports.
    pub is_connected: bool,
    /// Warm-up time before measurement starts, in seconds.
    pub warm_up_s: f64,
    /// Length of the measured period, in seconds.
    pub measured_s: f64,
}

impl Default for LimitScenario {
    fn default() -> Self {
        Self {
            nodes: 18,
            limit_per_s: 200.0,
            demand: 3.0,
            max_propagation_delay_s: 2.0,
            move_every_s: None,
            is_connected: true,
            warm_up_s: 20.0,
            measured_s: 120.0,
        }
    }
}

/// Admitted rate compared with the rate that the limit allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitError {
    /// Admitted requests per second.
    pub admitted_per_s: f64,
    /// Requests per second that the limit allows for the demand.
    pub allowed_per_s: f64,
}

impl LimitError {
    /// Fraction by which the admitted rate exceeds the allowed rate.
    pub fn over(&self) -> f64 {
        (self.admitted_per_s / self.allowed_per_s - 1.0).max(0.0)
    }

    /// Fraction by which the admitted rate falls short of the allowed rate.
    pub fn under(&self) -> f64 {
        (1.0 - self.admitted_per_s / self.allowed_per_s).max(0.0)
    }
}

#[derive(Debug)]
enum Event {
    Arrive,
    Tick { node: usize },
    ReportReceived { to: usize, from: usize, sequence: u64, demand: RequestsPerSecond },
}

#[derive(Debug, Default)]
struct Node {
    meter: DemandMeter,
    demand: RequestsPerSecond,
    shares: ShareTable,
    bucket: ShareBucket,
}

/// Simulates nodes that share a limit.
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
    let mut admitted = 0_u64;
    let end = time_of(scenario.warm_up_s + scenario.measured_s);
    while let Some((now, event)) = timeline.next(end) {
        match event {
            Event::Arrive => {
                let gap_s = -(1.0 - rng.random::<f64>()).ln() / demand_per_s;
                timeline.add(now + Duration::from_secs_f64(gap_s), Event::Arrive);
                let node = &nodes[entry_node(scenario, now, &mut rng)];
                node.meter.add();
                let is_measured = scenario.warm_up_s <= seconds(now);
                admitted += u64::from(node.bucket.take(now).is_ok() && is_measured);
            }
            Event::Tick { node } => {
                let sequence = tick(scenario, &mut nodes[node], now);
                timeline.add(now + TICK, Event::Tick { node });
                if let Some(sequence) = sequence.filter(|_| scenario.is_connected) {
                    let demand = nodes[node].shares.published_own();
                    for to in (0..scenario.nodes).filter(|it| *it != node) {
                        let delay_s = rng.random::<f64>() * scenario.max_propagation_delay_s;
                        let at = now + Duration::from_secs_f64(delay_s);
                        timeline
                            .add(at, Event::ReportReceived { to, from: node, sequence, demand });
                    }
                }
            }
            Event::ReportReceived { to, from, sequence, demand } => {
                nodes[to].shares.record_report(NodeId(from as u64), sequence, demand, now);
            }
        }
    }
    LimitError {
        admitted_per_s: admitted as f64 / scenario.measured_s,
        allowed_per_s: scenario.limit_per_s.min(demand_per_s),
    }
}

/// Draws the node that receives a request. One half of the nodes receives most
/// of the demand, and the halves alternate.
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

/// Ticks a node. Returns the sequence number of its demand report if it
/// publishes one.
fn tick(scenario: &LimitScenario, node: &mut Node, now: Time) -> Option<u64> {
    node.demand = node.meter.tick(node.demand, TICK);
    let sequence = node.shares.update_own(node.demand, now);
    node.shares.expire_silent(now);
    let share = node.shares.share(scenario.nodes as u32, now);
    node.bucket.set_rate(RequestsPerSecond(scenario.limit_per_s * share.0));
    sequence
}
