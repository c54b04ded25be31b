//! Scenarios of the bench and their measurements.

use std::time::{Duration, Instant};

use citrongw_coordination::{config::rules::Rules, membership::Event};
use citrongw_fakes::kv::core::KvCore;
use citrongw_state::{id::Revision, time::Time};
use rand::{Rng, seq::IteratorRandom};

use super::{
    check::Check,
    fleet::{self, Broken, Fleet, FleetSettings},
    service,
};

/// Time for the nodes to discover each other and to be recorded.
const WARM_UP: Duration = Duration::from_secs(20);
/// Interval between two edits, equal to 15,000 edits a day.
const EDIT_INTERVAL: Duration = Duration::from_millis(5760);
/// Interval between two node replacements.
const REPLACE_INTERVAL: Duration = Duration::from_secs(2);
/// Offset within an interval at which the edit is made.
const EDIT_OFFSET: Duration = Duration::from_millis(1500);

/// Fault scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Only datagram loss.
    Loss,
    /// Nodes are replaced continuously.
    Replacement,
    /// One zone is partitioned off during every other edit.
    ZoneCut,
    /// The majority of the nodes is partitioned from the rest and from the
    /// store during every other edit.
    MajorityCut,
    /// The store is down in every other interval.
    Outage,
    /// Two operators edit the same version.
    Race,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 6] =
        [Self::Loss, Self::Replacement, Self::ZoneCut, Self::MajorityCut, Self::Outage, Self::Race];

    /// Scenario name in the bench output.
    pub fn name(self) -> &'static str {
        match self {
            Self::Loss => "loss",
            Self::Replacement => "replacement",
            Self::ZoneCut => "zone-cut",
            Self::MajorityCut => "majority-cut",
            Self::Outage => "outage",
            Self::Race => "race",
        }
    }
}

/// Measurements of a run.
#[derive(Debug, Default)]
pub struct Figures {
    /// Times from commit until a change was in force on every node that reached
    /// the committing node, in seconds.
    pub in_force_s: Vec<f64>,
    /// Times from commit until acceptance, in seconds.
    pub accepted_s: Vec<f64>,
    /// Edits that were committed.
    pub committed: u64,
    /// Nodes without a change by the end of its interval, summed over all
    /// changes, including partitioned nodes.
    pub not_in_force: u64,
    /// Edits rejected as conflicts.
    pub conflicts: u64,
    /// Number of invariant violations, including reverts.
    pub violations: usize,
    /// Fraction of the steps of running nodes at which they accepted requests.
    pub serving_share: f64,
    /// Store calls per minute.
    pub calls_per_min: f64,
    /// Mean bytes sent per node and second.
    pub bytes_per_s: f64,
    /// Bytes per second of the node that sent the most.
    pub max_bytes_per_s: f64,
    /// Mean bytes of ping replies sent per node and second.
    pub ack_bytes_per_s: f64,
    /// Mean bytes sent over TCP per node and second.
    pub exchange_bytes_per_s: f64,
    /// Fraction of a CPU core used by the steps of one node.
    pub cpu_share: f64,
}

/// Fleet settings of a run.
pub fn settings(nodes: usize, zones: usize, seed: u64) -> FleetSettings {
    FleetSettings {
        nodes,
        zones,
        loss: 0.05,
        latency: Duration::from_millis(1),
        service_latency: Duration::from_millis(5),
        tick: citrongw_coordination::membership::TICK,
        rules: Rules::default(),
        broken: Broken::default(),
        seed,
    }
}

struct Run {
    fleet: Fleet,
    check: Check,
    served: Served,
    figures: Figures,
    pending: Vec<(Time, Revision)>,
    not_accepted: Vec<(Time, Revision)>,
}

#[derive(Default)]
struct Served {
    serving: u64,
    samples: u64,
}

/// Commits an edit of the current configuration in the store.
pub fn edit(fleet: &mut Fleet) {
    let read = service::read(&mut fleet.service);
    let weight = fleet.rng.random_range(2..1_000_000);
    let request = super::faults::request(fleet, read.as_ref().map(|it| it.revision), weight);
    service::commit(&mut fleet.service, read.as_ref(), &request);
}

/// Replaces the store by one that contains only the first configuration.
pub fn restore_first(fleet: &mut Fleet) {
    fleet.service = KvCore::default();
    seed_config(fleet);
}

/// Commits the first configuration.
pub fn seed_config(fleet: &mut Fleet) {
    let first = super::faults::request(fleet, None, 1);
    service::commit(&mut fleet.service, None, &first);
}

/// Runs a scenario with the given number of edits.
pub fn run(scenario: Scenario, settings: FleetSettings, edits: u32) -> Figures {
    let mut fleet = fleet::open(settings);
    seed_config(&mut fleet);
    let mut run = Run {
        fleet,
        check: Check::default(),
        served: Served::default(),
        figures: Figures::default(),
        pending: Vec::new(),
        not_accepted: Vec::new(),
    };
    run.advance(WARM_UP);
    run.served = Served::default();
    let sent_before: Vec<u64> = run.fleet.nodes.iter().map(|it| it.sent.total()).collect();
    let calls_before: u64 = run.fleet.nodes.iter().map(|it| it.service_calls).sum();
    let (began_at, clock) = (run.fleet.now(), Instant::now());
    for edit in 0..edits {
        run.interval(scenario, edit);
    }
    run.advance(EDIT_INTERVAL);
    run.record_accepted();
    let took = clock.elapsed();
    let passed = run.fleet.now().since(began_at).as_secs_f64();
    run.finish(passed, took, &sent_before, calls_before)
}

impl Run {
    fn advance(&mut self, span: Duration) {
        let end = self.fleet.now() + span;
        let (check, served) = (&mut self.check, &mut self.served);
        self.fleet.run_until(end, &mut |fleet, idx| {
            check.observe(fleet, idx);
            served.samples += 1;
            let serves = fleet.nodes[idx].serve_until.is_some_and(|it| fleet.now() < it);
            served.serving += u64::from(serves);
        });
    }

    fn interval(&mut self, scenario: Scenario, edit: u32) {
        let has_fault = edit % 2 == 1;
        self.begin_fault(scenario, has_fault);
        let mut passed = EDIT_OFFSET;
        self.advance(EDIT_OFFSET);
        self.edit(scenario, has_fault);
        while passed < EDIT_INTERVAL {
            self.advance(REPLACE_INTERVAL.min(EDIT_INTERVAL - passed));
            passed += REPLACE_INTERVAL;
            if scenario == Scenario::Replacement {
                self.replace_one();
            }
        }
        self.record_accepted();
        if has_fault {
            self.heal();
        }
        self.record_in_force();
    }

    fn begin_fault(&mut self, scenario: Scenario, has_fault: bool) {
        if !has_fault {
            return;
        }
        let zones = self.fleet.settings.zones;
        let running = self.fleet.running();
        let cut = match scenario {
            Scenario::ZoneCut => running.len() / zones,
            Scenario::MajorityCut => running.len() * 3 / 5,
            Scenario::Outage => {
                self.fleet.service_up = false;
                return;
            }
            Scenario::Loss | Scenario::Replacement | Scenario::Race => return,
        };
        let of_zone = |it: &usize| match scenario {
            Scenario::ZoneCut => it % zones == 0,
            _ => true,
        };
        for idx in running.into_iter().filter(of_zone).take(cut) {
            self.fleet.nodes[idx].side = 1;
            self.fleet.nodes[idx].reaches_service = false;
        }
    }

    fn heal(&mut self) {
        self.fleet.service_up = true;
        for node in &mut self.fleet.nodes {
            node.side = 0;
            node.reaches_service = true;
        }
    }

    fn edit(&mut self, scenario: Scenario, has_fault: bool) {
        if has_fault && scenario == Scenario::Outage {
            return;
        }
        let operators = if scenario == Scenario::Race { 2 } else { 1 };
        let Some(read) = service::read(&mut self.fleet.service) else { return };
        for _ in 0..operators {
            let reaching = self.fleet.running().into_iter();
            let reaching = reaching.filter(|it| self.fleet.nodes[*it].reaches_service);
            let Some(node) = reaching.choose(&mut self.fleet.rng.clone()) else { return };
            let weight = self.fleet.rng.random_range(2..1_000_000);
            let request = super::faults::request(&mut self.fleet, Some(read.revision), weight);
            match service::commit(&mut self.fleet.service, Some(&read), &request) {
                Some(revision) => {
                    self.figures.committed += 1;
                    self.check.committed(read.revision);
                    self.pending.push((self.fleet.now(), revision));
                    self.fleet.deliver_event(node, Event::Refresh);
                }
                None => self.figures.conflicts += 1,
            }
        }
    }

    fn replace_one(&mut self) {
        let running = self.fleet.running();
        let Some(idx) = running.into_iter().choose(&mut self.fleet.rng) else { return };
        self.fleet.kill(idx);
        let zone = idx % self.fleet.settings.zones;
        self.fleet.start_node(zone);
    }

    /// Records the in-force times of the pending edits on the nodes that were
    /// running at the commit.
    fn record_in_force(&mut self) {
        for (committed_at, revision) in self.pending.drain(..) {
            let mut latest = Duration::ZERO;
            let ran = |it: &&fleet::FleetNode| it.is_running && it.started_at <= committed_at;
            for node in self.fleet.nodes.iter().filter(ran) {
                match node.in_force.iter().find(|(_, it)| revision <= *it) {
                    Some((at, _)) => latest = latest.max(at.since(committed_at)),
                    None => self.figures.not_in_force += 1,
                }
            }
            self.figures.in_force_s.push(latest.as_secs_f64());
        }
    }

    fn record_accepted(&mut self) {
        self.not_accepted.extend(&self.pending);
        let accepted = self.check.accepted();
        self.not_accepted.retain(|(committed_at, revision)| {
            let Some((_, at)) = accepted.range(*revision..).next() else { return true };
            self.figures.accepted_s.push(at.since(*committed_at).as_secs_f64());
            false
        });
    }

    fn finish(
        mut self,
        passed_s: f64,
        took: Duration,
        sent_before: &[u64],
        calls_before: u64,
    ) -> Figures {
        let nodes = self.fleet.running().len() as f64;
        let sent = |(idx, node): (usize, &fleet::FleetNode)| {
            (node.sent.total() - sent_before.get(idx).copied().unwrap_or(0)) as f64 / passed_s
        };
        let sent: Vec<f64> = self.fleet.nodes.iter().enumerate().map(sent).collect();
        let of_all = |part: fn(&fleet::FleetNode) -> u64| {
            let sum: u64 = self.fleet.nodes.iter().map(part).sum();
            sum as f64 / self.fleet.now().0.as_secs_f64() / nodes
        };
        self.figures.ack_bytes_per_s = of_all(|it| it.sent.acks);
        self.figures.exchange_bytes_per_s = of_all(|it| it.sent.exchanges);
        let calls: u64 = self.fleet.nodes.iter().map(|it| it.service_calls).sum();
        self.figures.bytes_per_s = sent.iter().sum::<f64>() / nodes;
        self.figures.max_bytes_per_s = sent.iter().copied().fold(0.0, f64::max);
        self.figures.calls_per_min = (calls - calls_before) as f64 * 60.0 / passed_s;
        self.figures.cpu_share = took.as_secs_f64() / passed_s / nodes;
        self.figures.serving_share = self.served.serving as f64 / self.served.samples.max(1) as f64;
        self.figures.violations = self.check.finish(&self.fleet).len();
        self.figures
    }
}
