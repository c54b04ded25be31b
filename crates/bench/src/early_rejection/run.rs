//! Simulation in ticks of virtual time.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use citrongw_state::early_rejection::{
    Estimates, FirstTry, Judgement, PoolLoad, ServiceTimes, judge,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    gateway::{self, Gateway},
    outcome::{Ending, Outcome},
    request::Request,
    scenario::{Policy, Retries, Scenario},
    server::Server,
};

const TICK_MS: u64 = 5;
/// Servers that a request is sent to, as a caller's route allows.
const MAX_ATTEMPTS: usize = 3;
/// Urgency levels within a priority.
const LEVELS: u8 = 3;
/// `Retry-After` if the servers reject a request.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Interval between checks of a late request at the omniscient gateway, before it is
/// spread.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time that a late request needs at its server, as a multiple of the mean time that a
/// request holds a slot. The omniscient gateway sends it, whatever the load, while it has
/// that much left.
const LATE_HOLDS: f64 = 1.2;

/// Runs a scenario.
pub fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Outcome {
    Run::new(scenario, policy, seed).play()
}

struct Run<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    rng: SmallRng,
    now: Duration,
    tick: u64,
    servers: Vec<Server>,
    history: Vec<Vec<u32>>,
    gateways: Vec<Gateway>,
    requests: Vec<Request>,
    /// Requests that return, or that the omniscient gateway checks again, by tick.
    due: BinaryHeap<Reverse<(u64, usize)>>,
    sent_per_s: f64,
    outcome: Outcome,
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let ticks = |it: Duration| (it.as_millis() as u64 / TICK_MS) as usize;
        let (shortest, longest) = (ticks(scenario.view_delay.0), ticks(scenario.view_delay.1));
        let is_omniscient = policy == Policy::Omniscient;
        let gateways = if is_omniscient { 1 } else { scenario.gateways };
        let new_gateway = |rng: &mut SmallRng| Gateway {
            delay: if is_omniscient { 0 } else { rng.random_range(shortest..=longest) },
            own: vec![0; scenario.replicas],
            own_history: vec![vec![0; scenario.replicas]; longest + 1],
            times: ServiceTimes::default(),
        };
        Self {
            scenario,
            policy,
            now: Duration::ZERO,
            tick: 0,
            servers: (0..scenario.replicas).map(|_| Server::default()).collect(),
            history: vec![vec![0; scenario.replicas]; longest + 1],
            gateways: (0..gateways).map(|_| new_gateway(&mut rng)).collect(),
            requests: Vec::new(),
            due: BinaryHeap::new(),
            sent_per_s: scenario.classes.iter().map(|it| it.per_s).sum(),
            outcome: Outcome::new(scenario.classes.len()),
            rng,
        }
    }

    fn play(mut self) -> Outcome {
        let burst_at = self.scenario.warm_up;
        let burst_end = burst_at + self.scenario.burst_length();
        let arrivals_end = burst_end + self.scenario.cool_down;
        let end = arrivals_end + self.scenario.timeout * 2;
        while self.now < end {
            if self.now == burst_at {
                self.lose_servers();
            }
            self.step_servers();
            while let Some(Reverse((tick, request))) = self.due.peek().copied() {
                if self.tick < tick {
                    break;
                }
                self.due.pop();
                self.take(request);
            }
            for class in 0..self.scenario.classes.len() {
                let mut per_s = self.scenario.classes[class].per_s;
                if let Some(burst) = self.scenario.burst
                    && burst.class == class
                    && (burst_at..burst_end).contains(&self.now)
                {
                    per_s += burst.extra_per_s;
                }
                if arrivals_end <= self.now {
                    per_s = 0.0;
                }
                for _ in 0..self.poisson(per_s * TICK_MS as f64 / 1_000.0) {
                    self.arrive(class);
                }
            }
            self.record_history();
            self.tick += 1;
            self.now = Duration::from_millis(self.tick * TICK_MS);
        }
        self.outcome
    }

    fn poisson(&mut self, mean: f64) -> u32 {
        let (mut count, mut product) = (0, self.rng.random::<f64>());
        let limit = (-mean).exp();
        while limit < product {
            count += 1;
            product *= self.rng.random::<f64>();
        }
        count
    }

    fn lose_servers(&mut self) {
        for server in 0..self.scenario.lost {
            for request in self.servers[server].lose() {
                self.requests[request].ended = true;
                let gateway = self.requests[request].gateway;
                self.gateways[gateway].own[server] -= 1;
                self.end(request, Ending::TimedOut);
            }
        }
    }

    fn record_history(&mut self) {
        let slot = self.tick as usize % self.history.len();
        self.history[slot] = self.servers.iter().map(|it| it.load() as u32).collect();
        for gateway in &mut self.gateways {
            gateway.own_history[slot].clone_from(&gateway.own);
        }
    }

    fn step_servers(&mut self) {
        let slots = self.scenario.slots;
        for server in 0..self.servers.len() {
            for request in self.servers[server].end_due(self.tick) {
                self.finish(request, server);
            }
            while let Some(request) = self.servers[server].start_next(slots) {
                let deadline = self.requests[request].deadline;
                if deadline <= self.now {
                    self.gateways[self.requests[request].gateway].own[server] -= 1;
                    self.end(request, Ending::TimedOut);
                    continue;
                }
                let first = self.scenario.first_event;
                let rest = self.scenario.hold.saturating_sub(first);
                let tail = rest.mul_f64(-self.rng.random::<f64>().max(1e-9).ln());
                let until = (self.now + first + tail).min(deadline);
                self.requests[request].first_event_at = Some(self.now + first);
                let tick = (until.as_millis() as u64).div_ceil(TICK_MS);
                self.servers[server].run_until(request, tick.max(self.tick + 1));
            }
        }
    }

    fn finish(&mut self, request: usize, server: usize) {
        let it = &self.requests[request];
        let gateway = &mut self.gateways[it.gateway];
        gateway.own[server] -= 1;
        let first = it.first_event_at.unwrap_or(self.now);
        let target = self.scenario.classes[it.class].target;
        let ending = match () {
            () if it.deadline <= self.now => Ending::TimedOut,
            () if first <= it.arrived + target => Ending::InTime,
            () => Ending::Late,
        };
        if ending != Ending::TimedOut {
            gateway.times.record_first_event(first - it.sent_at, it.server_had_slot);
            if let Some(wait) = it.expected_wait {
                let priority = self.scenario.classes[it.class].priority;
                gateway.times.record_wait(priority, first - it.sent_at, wait);
            }
            gateway.times.record_end(self.now.saturating_sub(first));
        }
        self.end(request, ending);
    }

    fn end(&mut self, request: usize, ending: Ending) {
        let it = &mut self.requests[request];
        it.ended = true;
        let counts = self.scenario.warm_up <= it.arrived;
        self.outcome.record(it.class, it.arrived, counts, ending);
    }

    fn arrive(&mut self, class: usize) {
        let gateway = self.rng.random_range(0..self.gateways.len());
        self.requests.push(Request {
            class,
            arrived: self.now,
            deadline: self.now + self.scenario.timeout,
            gateway,
            server: 0,
            is_return: false,
            sent_at: self.now,
            first_event_at: None,
            server_had_slot: false,
            waits_since: None,
            expected_wait: None,
            ended: false,
        });
        self.take(self.requests.len() - 1);
    }

    fn view(&self, gateway: usize) -> Vec<f64> {
        let gateway = &self.gateways[gateway];
        if gateway.delay == 0 {
            return self.servers.iter().map(|it| it.load() as f64).collect();
        }
        let length = self.history.len();
        let then = (self.tick as usize + length * 2 - gateway.delay) % length;
        gateway.loads(&self.history[then], &gateway.own_history[then])
    }

    /// Takes a request at its gateway: a first try, a return, or one that waits.
    fn take(&mut self, request: usize) {
        if self.policy == Policy::SendAll {
            return self.send(request);
        }
        let it = &self.requests[request];
        let (at, class) = (it.gateway, self.scenario.classes[it.class]);
        let remaining = it.deadline.saturating_sub(self.now);
        let is_late = remaining + class.target < self.scenario.timeout;
        let loads = self.view(at);
        let pool = gateway::pool(&loads, |it| self.servers[it].is_lost, self.scenario.slots);
        if self.requests[request].waits_since.is_none() {
            self.gateways[at].times.record_arrival(class.priority);
        }
        let times = self.gateways[at].times.estimates(class.priority);
        let Some(times) = times else { return self.send(request) };
        if is_late {
            return match self.policy {
                Policy::Omniscient => self.take_late(request, remaining, &pool, &times),
                _ => self.send(request),
            };
        }
        let first_try = FirstTry { target_latency: class.target, remaining };
        let (random, spread) = (self.rng.random(), self.rng.random());
        let judgement = if self.policy == Policy::Omniscient {
            self.judge_omniscient(&first_try, request, &times, spread)
        } else {
            judge(&first_try, &pool, &times, random, spread)
        };
        match judgement.retry_after {
            Some(retry_after) => self.reject(request, retry_after),
            None => {
                self.requests[request].expected_wait = Some(pool.wait(times.hold));
                self.send(request);
            }
        }
    }

    /// Judges by the requests that servers would run before this one.
    fn judge_omniscient(
        &self,
        first_try: &FirstTry,
        request: usize,
        times: &Estimates,
        spread: f64,
    ) -> Judgement {
        let urgency = self.urgency(request);
        let waits = self
            .servers
            .iter()
            .filter(|it| !it.is_lost)
            .map(|it| it.ahead(urgency, self.scenario.slots));
        let ahead = waits.min().unwrap_or_default() as f64;
        let wait = times.hold.mul_f64(ahead / self.scenario.slots as f64);
        let would_be_late = first_try.target_latency < wait + times.first_event;
        let full = PoolLoad { requests: 10.0, slots: 1.0 };
        judge(first_try, &full, times, if would_be_late { 0.0 } else { 2.0 }, spread)
    }

    fn least_ahead(&self, urgency: u8, excluded: impl Fn(usize) -> bool) -> Option<usize> {
        let slots = self.scenario.slots;
        let usable = (0..self.servers.len()).filter(|it| !excluded(*it));
        usable.min_by_key(|it| (self.servers[*it].ahead(urgency, slots), self.servers[*it].load()))
    }

    fn urgency(&self, request: usize) -> u8 {
        let class = self.scenario.classes[self.requests[request].class];
        let remaining = self.requests[request].deadline.saturating_sub(self.now);
        let is_late = remaining + class.target < self.scenario.timeout;
        class.priority * LEVELS + 1 + u8::from(is_late)
    }

    /// Sends a late request of the omniscient gateway if the pool has a free slot, or
    /// while the request can still complete; otherwise checks it again later.
    fn take_late(
        &mut self,
        request: usize,
        remaining: Duration,
        pool: &PoolLoad,
        times: &Estimates,
    ) {
        let since = *self.requests[request].waits_since.get_or_insert(self.now);
        let delay = CHECK_INTERVAL.mul_f64(0.5 + self.rng.random::<f64>());
        let has_free_slot = pool.requests + 1.0 <= pool.slots;
        if !has_free_slot && times.hold.mul_f64(LATE_HOLDS) + delay <= remaining {
            let ticks = (delay.as_millis() as u64 / TICK_MS).max(1);
            self.due.push(Reverse((self.tick + ticks, request)));
            return;
        }
        self.outcome.longest_wait = self.outcome.longest_wait.max(self.now - since);
        self.send(request);
    }

    fn send(&mut self, request: usize) {
        let at = self.requests[request].gateway;
        let loads = self.view(at);
        let delay_s = self.gateways[at].delay as f64 * TICK_MS as f64 / 1_000.0;
        let mut tried: Vec<usize> = Vec::new();
        let urgency = self.urgency(request);
        while tried.len() < MAX_ATTEMPTS {
            let servers = &self.servers;
            let excluded = |it: usize| tried.contains(&it) || servers[it].is_lost;
            let arrivals = self.sent_per_s * delay_s;
            let server = match self.policy {
                Policy::Omniscient => self.least_ahead(urgency, excluded),
                _ => gateway::choose(&loads, excluded, arrivals, &mut self.rng),
            };
            let Some(server) = server else { break };
            tried.push(server);
            let (slots, max) = (self.scenario.slots, self.scenario.max_queue);
            if self.servers[server].push(request, urgency, slots, max) {
                let it = &mut self.requests[request];
                it.server = server;
                it.sent_at = self.now;
                it.server_had_slot = loads[server] + 1.0 <= slots as f64 * 0.9;
                self.gateways[at].own[server] += 1;
                return;
            }
        }
        self.reject(request, OVERLOADED_RETRY_AFTER);
    }

    fn reject(&mut self, request: usize, retry_after: Duration) {
        let it = &mut self.requests[request];
        let is_burst = self.scenario.warm_up <= it.arrived;
        if it.is_return {
            return self.end(request, Ending::RejectedAgain);
        }
        if is_burst {
            self.outcome.classes[it.class].first_rejected += 1;
        } else {
            self.outcome.rejected_before += 1;
        }
        it.is_return = true;
        let longest = it.deadline.saturating_sub(self.now) / 3;
        let delay = match self.scenario.retries {
            Retries::Honoured => retry_after.min(longest),
            Retries::AtOnce => Duration::from_millis(5),
        };
        it.gateway = self.rng.random_range(0..self.gateways.len());
        let ticks = (delay.as_millis() as u64 / TICK_MS).max(1);
        self.due.push(Reverse((self.tick + ticks, request)));
    }
}
