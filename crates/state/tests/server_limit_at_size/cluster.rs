//! Gateways before one server. An exchange of datagrams takes no time, except that a
//! lost one costs its timeout; reports of limits arrive late.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use citrongw_state::{
    id::{Incarnation, NodeId, ServerIncarnation},
    server_limit::{
        StatedLimit,
        granters::{self, Granters, SilentGateways},
        permits::{self, GranterRole, Permit, PermitBucket, PermitRequestId},
        statements::{Audience, Statement, Statements},
    },
    time::Time,
    unit::RequestsPerSecond,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Time from a request to the head of its response.
const RESPONSE_TIME: Duration = Duration::from_millis(150);
/// Longest delay of a report.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(300);
/// Timeout of a request for a permit.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(50);
/// Time for which a gateway that ended is listed.
const LISTED_TIME: Duration = Duration::from_secs(10);
/// Time until a gateway that has started is listed.
const LISTING_TIME: Duration = Duration::from_secs(1);

/// Time in which the server states a limit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Phase {
    pub(crate) from_s: u64,
    pub(crate) until_s: u64,
    pub(crate) limit: RequestsPerSecond,
}

/// Requests and faults to play.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) gateways: usize,
    /// Requests for which the server is the first choice.
    pub(crate) requests_per_s: f64,
    /// Part of the datagrams that is lost.
    pub(crate) loss: f64,
    pub(crate) restarts_per_s: f64,
    pub(crate) phases: &'static [Phase],
    pub(crate) length_s: u64,
    pub(crate) seed: u64,
}

/// How gateways observe a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// Permits of one granter.
    Granter,
    /// A full bucket of the whole limit at each gateway that was told of it.
    OwnBuckets,
    /// An empty bucket with an even share of the limit at each gateway.
    EvenShares,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request,
    Response { node: NodeId, sent_at: Time },
    Report { node: NodeId, limit_milli: Option<u64>, stated_at: Time },
    Restart,
    Listed { node: NodeId },
    Unlisted { node: NodeId },
}

#[derive(Debug, Default)]
struct Gateway {
    statements: Statements,
    silent: SilentGateways,
    bucket: Option<PermitBucket>,
    denied_until: Time,
}

/// What a load led to.
#[derive(Debug)]
pub(crate) struct Played {
    /// When requests reached the server, in order.
    pub(crate) received: Vec<Time>,
    /// Datagrams a second, sent and received, of the busiest gateway.
    pub(crate) busiest_datagrams_per_s: f64,
    /// The same as a mean over the gateways.
    pub(crate) mean_datagrams_per_s: f64,
}

struct Cluster<'a> {
    load: &'a Load,
    policy: Policy,
    server: ServerIncarnation,
    gateways: HashMap<NodeId, Gateway>,
    running: Vec<NodeId>,
    listed: Vec<NodeId>,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    received: Vec<Time>,
    /// Datagrams that each gateway sent or received.
    datagrams: HashMap<NodeId, u32>,
    rng: StdRng,
}

/// Plays a load.
pub(crate) fn play(load: &Load, policy: Policy) -> Played {
    let mut rng = StdRng::seed_from_u64(load.seed);
    let nodes: Vec<NodeId> = (0..load.gateways).map(|_| NodeId(rng.random())).collect();
    let mut cluster = Cluster {
        load,
        policy,
        server: ServerIncarnation { instance: "h0".into(), incarnation: Incarnation(1) },
        gateways: nodes.iter().map(|it| (*it, Gateway::default())).collect(),
        running: nodes.clone(),
        listed: nodes,
        events: BinaryHeap::new(),
        received: Vec::new(),
        datagrams: HashMap::new(),
        rng,
    };
    cluster.schedule_next(Time::START, load.requests_per_s, Event::Request);
    cluster.schedule_next(Time::START, load.restarts_per_s, Event::Restart);
    let end = Time(Duration::from_secs(load.length_s));
    while let Some(Reverse((now, event))) = cluster.events.pop() {
        if end <= now {
            break;
        }
        cluster.apply(event, now);
    }
    cluster.received.sort_unstable();
    let length_s = end.0.as_secs_f64();
    let busiest = cluster.datagrams.values().max().copied().unwrap_or_default();
    let all: u32 = cluster.datagrams.values().sum();
    Played {
        received: cluster.received,
        busiest_datagrams_per_s: f64::from(busiest) / length_s,
        mean_datagrams_per_s: f64::from(all) / length_s / load.gateways as f64,
    }
}

impl Cluster<'_> {
    fn apply(&mut self, event: Event, now: Time) {
        match event {
            Event::Request => {
                // Half of the requests go to a fifth of the gateways.
                let busy = (self.running.len() / 5).max(1);
                let range = if self.rng.random() { busy } else { self.running.len() };
                let node = self.running[self.rng.random_range(0..range)];
                self.request(node, now);
                self.schedule_next(now, self.load.requests_per_s, Event::Request);
            }
            Event::Response { node, sent_at } => self.respond(node, sent_at, now),
            Event::Report { node, limit_milli, stated_at } => {
                let limit = limit_milli.map(|it| RequestsPerSecond(it as f64 / 1_000.0));
                if let Some(gateway) = self.gateways.get_mut(&node) {
                    gateway.statements.record_report(&self.server, Statement { limit, stated_at });
                }
            }
            Event::Restart => self.restart(now),
            Event::Listed { node } => self.listed.push(node),
            Event::Unlisted { node } => self.listed.retain(|it| *it != node),
        }
    }

    fn request(&mut self, node: NodeId, now: Time) {
        let gateway = &self.gateways[&node];
        let newest = gateway.statements.newest(&self.server);
        let limit = newest.and_then(|it| it.limit);
        if limit.is_some() && now < gateway.denied_until {
            return;
        }
        let (permit, delay) = match limit {
            Some(_) => self.acquire(node, now),
            None => (Permit::Granted, Duration::ZERO),
        };
        match permit {
            Permit::Granted => {
                let sent_at = now + delay;
                self.received.push(sent_at);
                self.schedule(sent_at + RESPONSE_TIME, Event::Response { node, sent_at });
            }
            Permit::Denied { wait } => {
                self.gateways.get_mut(&node).unwrap().denied_until = now + delay + wait;
            }
        }
    }

    /// Permit for an attempt of a gateway, and the time that it takes.
    fn acquire(&mut self, node: NodeId, now: Time) -> (Permit, Duration) {
        let gateways = self.running.len();
        match self.policy {
            Policy::Granter => {}
            Policy::OwnBuckets => {
                if self.gateways[&node].bucket.is_none() {
                    let full = permits::open(Time::START);
                    self.gateways.get_mut(&node).unwrap().bucket = Some(full);
                }
                return (self.take(node, None, GranterRole::Granter, now), Duration::ZERO);
            }
            Policy::EvenShares => {
                let role = GranterRole::Isolated { gateways };
                return (self.take(node, None, role, now), Duration::ZERO);
            }
        }
        let chosen = granters::choose(&self.server, self.listed.iter().copied());
        let mut delay = Duration::ZERO;
        for granter in chosen.in_order() {
            if granter == node {
                return (self.take(granter, None, self.role(granter, &chosen), now + delay), delay);
            }
            let request = PermitRequestId { from: node, number: self.rng.random() };
            while !self.gateways[&node].silent.is_silent(granter, now + delay) {
                let role = self.role(granter, &chosen);
                if let Some(permit) = self.exchange(request, granter, role, now + delay) {
                    return (permit, delay);
                }
                delay += PERMIT_TIMEOUT;
                self.gateways.get_mut(&node).unwrap().silent.record_timeout(granter, now + delay);
            }
        }
        (self.take(node, None, GranterRole::Isolated { gateways }, now + delay), delay)
    }

    /// Requests a permit. None if a datagram was lost or the granter has ended.
    fn exchange(
        &mut self,
        request: PermitRequestId,
        granter: NodeId,
        role: GranterRole,
        now: Time,
    ) -> Option<Permit> {
        let node = request.from;
        self.count_datagram(node, granter);
        if !self.running.contains(&granter) || self.is_lost() {
            return None;
        }
        let statement = self.gateways[&node].statements.newest(&self.server).unwrap();
        let statements = &mut self.gateways.get_mut(&granter).unwrap().statements;
        statements.record_report(&self.server, statement);
        let permit = self.take(granter, Some(request), role, now);
        self.count_datagram(granter, node);
        if self.is_lost() {
            return None;
        }
        self.apply_reply(node, granter, now);
        Some(permit)
    }

    fn apply_reply(&mut self, node: NodeId, granter: NodeId, now: Time) {
        let statement = self.gateways[&granter].statements.newest(&self.server).unwrap();
        let gateway = self.gateways.get_mut(&node).unwrap();
        gateway.silent.record_message(granter, now);
        gateway.statements.record_report(&self.server, statement);
        gateway.statements.record_granter(&self.server, statement.stated_at);
    }

    /// Running gateways hear of each other all the time.
    fn role(&self, node: NodeId, chosen: &Granters) -> GranterRole {
        chosen.role(node, |it| !self.running.contains(&it))
    }

    fn take(
        &mut self,
        node: NodeId,
        request: Option<PermitRequestId>,
        role: GranterRole,
        now: Time,
    ) -> Permit {
        let gateway = self.gateways.get_mut(&node).unwrap();
        let bucket = gateway.bucket.get_or_insert_with(|| permits::open(now));
        let newest = gateway.statements.confirmed(&self.server, bucket.opened_at(), now);
        match (newest.and_then(|it| it.limit), request) {
            (Some(limit), Some(request)) => bucket.take_for(request, limit, role, now),
            (Some(limit), None) => bucket.take(limit, role, now),
            (None, _) => Permit::Granted,
        }
    }

    fn respond(&mut self, node: NodeId, sent_at: Time, now: Time) {
        let second = now.0.as_secs();
        let phase = self.load.phases.iter().find(|it| (it.from_s..it.until_s).contains(&second));
        let stated = phase.map_or(StatedLimit::None, |it| StatedLimit::Rate(it.limit));
        let Some(gateway) = self.gateways.get_mut(&node) else { return };
        let recorded = gateway.statements.record_response(&self.server, stated, sent_at, now);
        let Some((statement, audience)) = recorded else { return };
        let granters = granters::choose(&self.server, self.listed.iter().copied());
        let receivers: Vec<NodeId> = match audience {
            Audience::All => self.running.clone(),
            Audience::Granter => granters.granter().into_iter().collect(),
            Audience::None => Vec::new(),
        };
        let limit_milli = statement.limit.map(|it| (it.0 * 1_000.0) as u64);
        for receiver in receivers.into_iter().filter(|it| *it != node) {
            self.count_datagram(node, receiver);
            if self.is_lost() {
                continue;
            }
            let delay = MAX_REPORT_DELAY.mul_f64(self.rng.random());
            let report =
                Event::Report { node: receiver, limit_milli, stated_at: statement.stated_at };
            self.schedule(now + delay, report);
        }
    }

    /// Kills a gateway and starts it again under another id.
    fn restart(&mut self, now: Time) {
        let idx = self.rng.random_range(0..self.running.len());
        let (old, new) = (self.running[idx], NodeId(self.rng.random()));
        self.running[idx] = new;
        self.gateways.remove(&old);
        self.gateways.insert(new, Gateway::default());
        self.schedule(now + LISTING_TIME, Event::Listed { node: new });
        self.schedule(now + LISTED_TIME, Event::Unlisted { node: old });
        self.schedule_next(now, self.load.restarts_per_s, Event::Restart);
    }

    fn count_datagram(&mut self, from: NodeId, to: NodeId) {
        *self.datagrams.entry(from).or_default() += 1;
        *self.datagrams.entry(to).or_default() += 1;
    }

    fn is_lost(&mut self) -> bool {
        self.rng.random_bool(self.load.loss)
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    /// Schedules the next event of a Poisson process.
    fn schedule_next(&mut self, now: Time, rate_per_s: f64, event: Event) {
        if 0.0 < rate_per_s {
            let gap_s = -(1.0 - self.rng.random::<f64>()).ln() / rate_per_s;
            self.schedule(now + Duration::from_secs_f64(gap_s), event);
        }
    }
}
