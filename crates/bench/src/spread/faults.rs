//! Random histories of edits under faults.

use std::time::Duration;

use citrongw_coordination::{
    config::{edit::StoredConfig, rules::Rules},
    membership::Event,
};
use citrongw_protocol::admin_config::EditRequest;
use citrongw_state::{
    id::{ChangeId, Revision},
    time::Time,
};
use rand::{Rng, seq::IndexedRandom};

use super::{
    check::{Check, Violation},
    fleet::{self, Broken, Fleet, FleetSettings},
    service,
};

/// Time for the nodes to discover each other and to be recorded.
const WARM_UP: Duration = Duration::from_millis(3500);
/// Period in which faults begin.
const FAULT_WINDOW: Duration = Duration::from_secs(4);
/// Time at which all faults end.
const HEAL_AT: Duration = Duration::from_millis(12_500);
/// End of a history.
const END_AT: Duration = Duration::from_millis(14_500);

/// One step of a history.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// An operator reads the configuration at a node.
    Read { operator: usize, node: usize },
    /// The operator commits an edit of the version read last.
    Commit { operator: usize, reply_lost: bool },
    /// A node stops and another one starts.
    Replace(usize),
    /// A node pauses for the given time.
    Pause(usize, Duration),
    /// The network is partitioned in two; one bit per node selects its side.
    Cut { sides: u32, service: u32 },
    /// The store becomes unreachable (`false`) or reachable (`true`).
    Service(bool),
    /// All faults end.
    Heal,
}

/// Operator with the configuration read last.
#[derive(Default)]
struct Operator {
    node: usize,
    read: Option<StoredConfig>,
}

/// Results of a history.
#[derive(Debug)]
pub struct Outcome {
    /// Invariant violations found.
    pub violations: Vec<Violation>,
    /// Number of committed edits.
    pub committed: u32,
    /// Number of accepted versions.
    pub accepted: u32,
}

/// Runs the history of a seed.
pub fn run(seed: u64, rules: Rules, broken: Broken) -> Outcome {
    let mut fleet = open_fleet(seed, rules, broken);
    let mut check = Check::default();
    let mut committed = 0;
    let mut operators = [Operator::default(), Operator::default()];
    let first = request(&mut fleet, None, 1);
    service::commit(&mut fleet.service, None, &first);
    for (at, step) in draw_steps(&mut fleet) {
        fleet.run_until(at, &mut |fleet, idx| check.observe(fleet, idx));
        if let Some(from) = execute(&mut fleet, &mut operators, step) {
            committed += 1;
            check.committed(from);
        }
    }
    fleet.run_until(Time(END_AT), &mut |fleet, idx| check.observe(fleet, idx));
    let accepted = u32::try_from(check.accepted().len()).unwrap_or(u32::MAX);
    Outcome { violations: check.finish(&fleet), committed, accepted }
}

fn open_fleet(seed: u64, rules: Rules, broken: Broken) -> Fleet {
    let nodes = 3 + (seed % 4) as usize;
    let zones = 1 + (seed / 4 % 3) as usize;
    fleet::open(FleetSettings {
        nodes,
        zones,
        loss: 0.05,
        latency: Duration::from_millis(2),
        service_latency: Duration::from_millis(10),
        tick: Duration::from_millis(125),
        rules,
        broken,
        seed,
    })
}

fn draw_steps(fleet: &mut Fleet) -> Vec<(Time, Step)> {
    let mut steps = vec![(Time(HEAL_AT), Step::Heal)];
    let nodes = fleet.settings.nodes;
    let rng = &mut fleet.rng;
    let at = |rng: &mut rand::rngs::SmallRng| Time(WARM_UP + FAULT_WINDOW.mul_f64(rng.random()));
    for edit in 0..rng.random_range(2..5) {
        let read_at = at(rng);
        let operator = edit % 2;
        steps.push((read_at, Step::Read { operator, node: rng.random_range(0..nodes) }));
        let think_time = Duration::from_millis(rng.random_range(0..800));
        let reply_lost = rng.random_bool(0.2);
        steps.push((read_at + think_time, Step::Commit { operator, reply_lost }));
    }
    for _ in 0..rng.random_range(1..4) {
        let begins_at = at(rng);
        let step = match rng.random_range(0..8) {
            0 | 1 => Step::Replace(rng.random_range(0..nodes)),
            2 => Step::Pause(
                rng.random_range(0..nodes),
                Duration::from_millis(rng.random_range(500..7000)),
            ),
            3 => Step::Service(false),
            _ => Step::Cut { sides: rng.random(), service: rng.random() },
        };
        steps.push((begins_at, step));
        if let Step::Service(false) = step {
            let lasts = Duration::from_millis(rng.random_range(500..6000));
            steps.push((begins_at + lasts, Step::Service(true)));
        }
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}

/// Executes a step. Returns the version on which a committed edit was based.
fn execute(fleet: &mut Fleet, operators: &mut [Operator; 2], step: Step) -> Option<Revision> {
    match step {
        Step::Read { operator, node } => {
            let node = any_running(fleet, node);
            operators[operator].node = node;
            let reached = fleet.service_up && fleet.nodes[node].reaches_service;
            operators[operator].read =
                if reached { service::read(&mut fleet.service) } else { None };
        }
        Step::Commit { operator, reply_lost } => {
            return commit(fleet, &mut operators[operator], reply_lost);
        }
        Step::Replace(node) => {
            let node = any_running(fleet, node);
            fleet.kill(node);
            let zone = node % fleet.settings.zones;
            fleet.start_node(zone);
        }
        Step::Pause(node, lasts) => {
            let until = fleet.now() + lasts;
            fleet.nodes[node].paused_until = until;
        }
        Step::Cut { sides, service } => {
            for (idx, node) in fleet.nodes.iter_mut().enumerate() {
                node.side = ((sides >> (idx % 32)) & 1) as u8;
                // Each side reaches the store or not as a whole, except in one
                // partition in four, where each node is decided separately.
                let bit = if service % 4 == 0 { idx as u32 % 32 } else { 8 + u32::from(node.side) };
                node.reaches_service = (service >> bit) & 1 == 1;
            }
        }
        Step::Service(up) => fleet.service_up = up,
        Step::Heal => heal(fleet),
    }
    None
}

fn heal(fleet: &mut Fleet) {
    fleet.service_up = true;
    for idx in 0..fleet.nodes.len() {
        let node = &mut fleet.nodes[idx];
        let was_cut = node.side != 0 || !node.reaches_service;
        node.side = 0;
        node.reaches_service = true;
        if was_cut && node.is_running && fleet.settings.broken.rejoins_with_old {
            fleet.rejoin_with_old(idx);
        }
    }
}

fn commit(fleet: &mut Fleet, operator: &mut Operator, reply_lost: bool) -> Option<Revision> {
    let read = operator.read.take()?;
    let node = operator.node;
    let reached = fleet.service_up && fleet.nodes[node].reaches_service;
    if !reached || !fleet.nodes[node].is_running {
        return None;
    }
    let weight = fleet.rng.random_range(2..1_000_000);
    let request = request(fleet, Some(read.revision), weight);
    let base = if fleet.settings.broken.edits_overwrite {
        service::read(&mut fleet.service).unwrap_or(read)
    } else {
        read
    };
    let committed = service::commit_over(&mut fleet.service, &base, &request);
    if !reply_lost {
        fleet.deliver_event(node, Event::Refresh);
    }
    committed.and(request.from)
}

pub(super) fn request(fleet: &mut Fleet, from: Option<Revision>, weight: u32) -> EditRequest {
    EditRequest {
        change: ChangeId(fleet.rng.random()),
        from,
        operator: "maria".into(),
        at_unix_ms: 0,
        config: fleet::config(weight),
        replaces_lost: None,
    }
}

fn any_running(fleet: &mut Fleet, preferred: usize) -> usize {
    if fleet.nodes[preferred].is_running {
        return preferred;
    }
    let running = fleet.running();
    running.choose(&mut fleet.rng).copied().unwrap_or(preferred)
}
