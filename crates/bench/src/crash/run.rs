//! One simulation run: innocent traffic, the crashing request, deaths and
//! delayed gossip items.

use std::{collections::BTreeSet, time::Duration};

use citrongw_state::{
    crash_suspicion::{DeathId, Evidence},
    id::{Fingerprint, Incarnation, ReplicaId},
    routing::{Group, PrefixHash, Slot},
    time::Time,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    node::{Action, Node, Policy},
    scenario::{Outcome, Scenario},
};
use crate::{
    model::{seconds, time_of},
    timeline::Timeline,
};

/// Time to detect a refused or broken connection.
const DETECTION_DELAY: Duration = Duration::from_millis(2);
/// Interval between two ticks of a node.
const TICK_S: f64 = 1.0;
/// Upper bound on the time from a restart until a node observes it.
const MAX_RECOVERY_DELAY_S: f64 = 2.0;
/// Delay before a refused caller retries.
const CALLER_RETRY_DELAY_S: f64 = 0.2;
/// Maximum number of retries by a node after replica deaths.
const MAX_RETRIES: u32 = 2;
/// Prefix of the crashing request, shared with innocent requests.
const POISON_PREFIX: u64 = 1;
/// Number of distinct prefixes.
const PREFIXES: u64 = 200;
/// Digest of the crashing request.
const POISON_DIGEST: u64 = 0xdead_beef_0000_0001;
/// Digest that many innocent requests share.
const COMMON_DIGEST: u64 = 0x1234_5678_9abc_def0;

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive,
    Poison,
    Attempt { id: usize },
    Done { id: usize, attempt: u32 },
    Crash { replica: usize, incarnation: u64, by_poison: bool },
    DomainOutage,
    OtherDeath,
    Restart { replica: usize },
    Alive { node: usize, replica: usize, incarnation: u64 },
    EvidenceReceived { node: usize, evidence: Evidence },
    SuspicionCleared { node: usize, fingerprint: Fingerprint },
    Tick,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    node: usize,
    prefix: u64,
    fingerprint: Fingerprint,
    attempt: u32,
    deaths: u32,
    waiting_since: Time,
    has_waited: bool,
}

impl Request {
    fn is_poison(&self) -> bool {
        self.fingerprint == PrefixHash(POISON_PREFIX).fingerprint(POISON_DIGEST)
    }
}

#[derive(Debug, Clone, Default)]
struct Replica {
    is_dead: bool,
    incarnation: u64,
    running: BTreeSet<usize>,
}

struct Run<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    rng: SmallRng,
    timeline: Timeline<Event>,
    group: Group,
    nodes: Vec<Node>,
    replicas: Vec<Replica>,
    requests: Vec<Request>,
    outcome: Outcome,
}

/// Runs a policy on a scenario.
pub fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Outcome {
    let len = scenario.replicas;
    let mut run = Run {
        scenario,
        policy,
        rng: SmallRng::seed_from_u64(seed),
        timeline: Timeline::default(),
        group: Group::of((0..).map(ReplicaId).zip((0..).map(Slot)).take(len)),
        nodes: (0..scenario.nodes).map(|_| Node::open(len)).collect(),
        replicas: vec![Replica::default(); len],
        requests: Vec::new(),
        outcome: Outcome::default(),
    };
    run.start();
    let end = time_of(scenario.end_s + scenario.max_wait_s + scenario.service_s * 4.0);
    while let Some((now, event)) = run.timeline.next(end) {
        run.step(now, event);
    }
    run.outcome
}

impl Run<'_> {
    fn start(&mut self) {
        self.timeline.add(Time::START, Event::Arrive);
        self.timeline.add(time_of(TICK_S), Event::Tick);
        let poison_at_s = self.scenario.poison_at_s;
        for _ in 0..self.scenario.copies {
            let at_s = poison_at_s + self.rng.random::<f64>() * self.scenario.max_crash_delay_s;
            self.timeline.add(time_of(at_s), Event::Poison);
        }
        if 0 < self.scenario.outage_replicas {
            let at_s = poison_at_s + self.rng.random::<f64>() * 10.0 - 5.0;
            self.timeline.add(time_of(at_s), Event::DomainOutage);
        }
        if let Some(every_s) = self.scenario.other_death_every_s {
            let at_s = self.rng.random::<f64>() * every_s;
            self.timeline.add(time_of(at_s), Event::OtherDeath);
        }
    }

    fn step(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrive => self.arrive(now),
            Event::Poison => self.send_poison(now),
            Event::Attempt { id } => self.attempt(id, now),
            Event::Done { id, attempt } => self.finish(id, attempt, now),
            Event::Crash { replica, incarnation, by_poison } => {
                self.crash(replica, incarnation, by_poison, now);
            }
            Event::DomainOutage => {
                let first = self.rng.random_range(0..self.replicas.len());
                for step in 0..self.scenario.outage_replicas {
                    self.lose_host((first + step) % self.replicas.len(), now);
                }
            }
            Event::OtherDeath => self.other_death(now),
            Event::Restart { replica } => self.restart(replica, now),
            Event::Alive { node, replica, incarnation } => {
                let is_same = self.replicas[replica].incarnation == incarnation;
                if is_same && !self.replicas[replica].is_dead {
                    self.nodes[node].is_dead[replica] = false;
                }
            }
            Event::EvidenceReceived { node, evidence } => {
                self.nodes[node].add_evidence(evidence, now);
            }
            Event::SuspicionCleared { node, fingerprint } => {
                self.nodes[node].suspicions.record_success(fingerprint, now);
            }
            Event::Tick => {
                for node in &mut self.nodes {
                    node.suspicions.expire(now);
                }
                self.timeline.add(now + Duration::from_secs_f64(TICK_S), Event::Tick);
            }
        }
    }

    fn arrive(&mut self, now: Time) {
        if self.scenario.end_s <= seconds(now) {
            return;
        }
        let gap_s = -(1.0 - self.rng.random::<f64>()).ln() / self.scenario.requests_per_s;
        self.timeline.add(now + Duration::from_secs_f64(gap_s), Event::Arrive);
        let is_common = self.rng.random::<f64>() < self.scenario.common_share;
        let digest = if is_common { COMMON_DIGEST } else { self.rng.random() };
        let prefix = if is_common { 0 } else { self.rng.random_range(0..PREFIXES) };
        self.add_request(digest, prefix, now);
    }

    fn send_poison(&mut self, now: Time) {
        if seconds(now) < self.scenario.end_s {
            self.add_request(POISON_DIGEST, POISON_PREFIX, now);
        }
    }

    fn add_request(&mut self, digest: u64, prefix: u64, now: Time) {
        let fingerprint = PrefixHash(prefix).fingerprint(digest);
        let node = self.rng.random_range(0..self.nodes.len());
        self.requests.push(Request {
            node,
            prefix,
            fingerprint,
            attempt: 0,
            deaths: 0,
            waiting_since: now,
            has_waited: false,
        });
        self.attempt(self.requests.len() - 1, now);
    }

    fn attempt(&mut self, id: usize, now: Time) {
        let request = self.requests[id];
        let node = &self.nodes[request.node];
        let action =
            node.decide(self.policy, &self.group, request.prefix, request.fingerprint, now);
        match action {
            Action::Send { replica } => self.send(id, replica, now),
            Action::Wait { until } => self.wait(id, until, now),
            Action::Refuse | Action::NoReplica => self.refuse(id, now),
        }
    }

    fn wait(&mut self, id: usize, until: Time, now: Time) {
        let request = &mut self.requests[id];
        if !request.has_waited && !request.is_poison() {
            self.outcome.innocents_waited += 1;
        }
        request.has_waited = true;
        let last = request.waiting_since + Duration::from_secs_f64(self.scenario.max_wait_s);
        if last < until {
            self.refuse(id, now);
            return;
        }
        self.timeline.add(until.max(now) + DETECTION_DELAY, Event::Attempt { id });
    }

    fn refuse(&mut self, id: usize, now: Time) {
        if !self.requests[id].is_poison() {
            self.outcome.innocents_refused += 1;
            return;
        }
        self.outcome.poison_refused += 1;
        self.timeline.add(now + Duration::from_secs_f64(CALLER_RETRY_DELAY_S), Event::Poison);
    }

    fn send(&mut self, id: usize, replica: usize, now: Time) {
        let request = &mut self.requests[id];
        request.attempt += 1;
        let request = *request;
        if self.replicas[replica].is_dead {
            self.record_death(request.node, replica, now);
            self.timeline.add(now + DETECTION_DELAY, Event::Attempt { id });
            return;
        }
        self.replicas[replica].running.insert(id);
        self.nodes[request.node].own_in_flight[replica] += 1;
        if request.is_poison() {
            let crash_delay_s = self.rng.random::<f64>() * self.scenario.max_crash_delay_s;
            let incarnation = self.replicas[replica].incarnation;
            let crash = Event::Crash { replica, incarnation, by_poison: true };
            self.timeline.add(now + Duration::from_secs_f64(crash_delay_s), crash);
            return;
        }
        let service_s = self.scenario.service_s * (0.5 + self.rng.random::<f64>());
        let done = Event::Done { id, attempt: request.attempt };
        self.timeline.add(now + Duration::from_secs_f64(service_s), done);
    }

    fn finish(&mut self, id: usize, attempt: u32, now: Time) {
        let request = self.requests[id];
        let place = self.replicas.iter().position(|it| it.running.contains(&id));
        let Some(replica) = place.filter(|_| request.attempt == attempt) else { return };
        self.replicas[replica].running.remove(&id);
        self.nodes[request.node].own_in_flight[replica] -= 1;
        self.outcome.innocents_done += 1;
        let node = &mut self.nodes[request.node];
        node.recent_successes.add(request.fingerprint, now);
        if !node.suspicions.is_suspected(request.fingerprint) {
            return;
        }
        node.suspicions.record_success(request.fingerprint, now);
        for node in (0..self.nodes.len()).filter(|it| *it != request.node) {
            let at = now + self.propagation_delay();
            let fingerprint = request.fingerprint;
            self.timeline.add(at, Event::SuspicionCleared { node, fingerprint });
        }
    }

    fn crash(&mut self, replica: usize, incarnation: u64, by_poison: bool, now: Time) {
        let dying = &self.replicas[replica];
        if dying.is_dead || dying.incarnation != incarnation {
            return;
        }
        self.outcome.killed += u64::from(by_poison);
        let lost = self.stop_replica(replica, now);
        let death =
            DeathId { replica: ReplicaId(replica as u64), incarnation: Incarnation(incarnation) };
        for &id in &lost {
            self.record_evidence(id, death, now);
        }
        self.retry(&lost, now);
    }

    /// Stops a replica whose host disappeared. This is no evidence against the
    /// requests that ran on it.
    fn lose_host(&mut self, replica: usize, now: Time) {
        if self.replicas[replica].is_dead {
            return;
        }
        let lost = self.stop_replica(replica, now);
        self.retry(&lost, now);
    }

    fn other_death(&mut self, now: Time) {
        let replica = self.rng.random_range(0..self.replicas.len());
        let incarnation = self.replicas[replica].incarnation;
        self.crash(replica, incarnation, false, now);
        if let Some(every_s) = self.scenario.other_death_every_s {
            let gap_s = every_s * (0.5 + self.rng.random::<f64>());
            self.timeline.add(now + Duration::from_secs_f64(gap_s), Event::OtherDeath);
        }
    }

    fn stop_replica(&mut self, replica: usize, now: Time) -> Vec<usize> {
        let dying = &mut self.replicas[replica];
        dying.is_dead = true;
        let lost: Vec<usize> = std::mem::take(&mut dying.running).into_iter().collect();
        for &id in &lost {
            let node = self.requests[id].node;
            self.nodes[node].own_in_flight[replica] -= 1;
            self.record_death(node, replica, now);
        }
        let restart_at = now + Duration::from_secs_f64(self.scenario.restart_s);
        self.timeline.add(restart_at, Event::Restart { replica });
        lost
    }

    fn record_evidence(&mut self, id: usize, death: DeathId, now: Time) {
        let Request { node: own, fingerprint, .. } = self.requests[id];
        if self.nodes[own].recent_successes.is_recent(fingerprint, now) {
            return;
        }
        let evidence = Evidence { fingerprint, death };
        self.nodes[own].add_evidence(evidence, now);
        for node in (0..self.nodes.len()).filter(|it| *it != own) {
            let at = now + self.propagation_delay();
            self.timeline.add(at, Event::EvidenceReceived { node, evidence });
        }
    }

    fn retry(&mut self, lost: &[usize], now: Time) {
        for &id in lost {
            let request = &mut self.requests[id];
            request.deaths += 1;
            request.waiting_since = now;
            let is_given_up = MAX_RETRIES < request.deaths;
            // The caller of an abandoned request sends it again.
            if is_given_up && request.is_poison() {
                self.timeline.add(now, Event::Poison);
            } else {
                self.timeline.add(now + DETECTION_DELAY, Event::Attempt { id });
            }
        }
    }

    fn restart(&mut self, replica: usize, now: Time) {
        self.replicas[replica].is_dead = false;
        self.replicas[replica].incarnation += 1;
        let incarnation = self.replicas[replica].incarnation;
        for node in 0..self.nodes.len() {
            let delay_s = self.rng.random::<f64>() * MAX_RECOVERY_DELAY_S;
            let alive = Event::Alive { node, replica, incarnation };
            self.timeline.add(now + Duration::from_secs_f64(delay_s), alive);
        }
    }

    fn record_death(&mut self, node: usize, replica: usize, now: Time) {
        let node = &mut self.nodes[node];
        node.is_dead[replica] = true;
        node.suspicions.add_death(ReplicaId(replica as u64), now);
    }

    fn propagation_delay(&mut self) -> Duration {
        Duration::from_secs_f64(self.rng.random::<f64>() * self.scenario.max_propagation_delay_s)
    }
}
