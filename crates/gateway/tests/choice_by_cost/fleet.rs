//! Gateways in zones with some delay between them, before engines whose figures they know.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use citrongw_gateway::{
    adapter::ServerLoad,
    choose::{ChoiceCriteria, choose},
    cost::{self, CallCost, RequestCosts},
    fleet::{Backend, BackendStats, InFlight, ReplicaKey},
    gateway_config::{EngineSpec, ModelSpec},
    peer_loads::{
        LoadReport, PeerLoads, ReportSource,
        publisher::{self, LoadPublisher},
        work::WorkReport,
    },
};
use citrongw_state::{
    id::{AvailabilityZone, Epoch, Incarnation, NodeId, ReplicaId},
    server_pause::ServerPauses,
    time::Time,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    engine::{Engine, EngineEvent, EngineRequest},
    load::{Load, Outcome},
};

const TICK: Duration = Duration::from_millis(1);
/// Latest arrival of a message within a zone.
const MESSAGE_DELAY: Duration = Duration::from_millis(2);
/// Time that a server of another zone must gain: the default of the setting.
const ZONE_PENALTY: Duration = Duration::from_millis(20);
/// Start of a run that does not count.
const WARM_UP: Duration = Duration::from_secs(4);

/// Who places the requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Placement {
    /// Each gateway by the cost of requests.
    ByCost,
    /// Each gateway by the number of requests.
    ByRequests,
    /// One place that knows the requests at all servers at once.
    LeastOutstanding,
    /// One place that knows the state of all engines at once.
    AllKnowing,
    /// Nobody: at random.
    Random,
}

struct Gateway {
    node: NodeId,
    zone: usize,
    servers: Vec<Arc<Backend>>,
    peer_loads: PeerLoads,
    publisher: LoadPublisher,
    costs: RequestCosts,
}

/// Report on its way to the gateways of its sender's zone or of all others.
struct Message {
    from: usize,
    counts: LoadReport,
    work: Option<WorkReport>,
    to_zone: bool,
}

struct Sent {
    at: Time,
    from: usize,
    replica: usize,
    cost: Option<CallCost>,
    is_first: bool,
    in_flight: InFlight,
}

struct Run<'a> {
    load: &'a Load,
    placement: Placement,
    engine: EngineSpec,
    /// Draws arrivals and sizes, the same for each placement.
    rng: SmallRng,
    /// Draws choices and losses.
    choice_rng: SmallRng,
    engines: Vec<Engine>,
    gateways: Vec<Gateway>,
    next_report_at: Vec<Time>,
    /// Whether each gateway began a request since it last reported.
    has_begun: Vec<bool>,
    on_way: Vec<(Time, Message)>,
    arriving: Vec<(Time, usize, EngineRequest)>,
    sent: HashMap<u64, Sent>,
    waits: Vec<Duration>,
    requests: u32,
    requests_away: u32,
}

/// Plays a load and returns what callers got after the warm-up.
pub(crate) fn play(load: &Load, placement: Placement) -> Outcome {
    let mut run = Run::new(load, placement);
    let mut now = Time::START;
    while now < Time::START + load.length {
        now = now + TICK;
        run.advance_engines(now);
        run.exchange_reports(now);
        run.send_requests(now);
    }
    run.into_outcome(now)
}

impl<'a> Run<'a> {
    fn new(load: &'a Load, placement: Placement) -> Self {
        let mut rng = SmallRng::seed_from_u64(load.seed);
        let interval = publisher::interval(load.gateways_per_zone);
        let gateways = load.zones() * load.gateways_per_zone;
        let is_slow = |it: usize| load.slow_every != 0 && it % load.slow_every == 0;
        let slow = |it| if is_slow(it) { load.slow_factor } else { 1.0 };
        let engine = |it| Engine::new(load.figures, load.slots, slow(it));
        let pace = load.figures.pace;
        let model = ModelSpec { model: "m".into(), size: 1, pace, share: 1.0 };
        Self {
            load,
            placement,
            engine: EngineSpec {
                models: vec![model],
                loads_per_s: 1.0,
                open_time: Duration::ZERO,
                figures: Some(load.figures),
            },
            engines: (0..load.replicas()).map(engine).collect(),
            next_report_at: (0..gateways)
                .map(|_| Time::START + interval.mul_f64(rng.random::<f64>()))
                .collect(),
            has_begun: vec![false; gateways],
            gateways: (0..gateways).map(|it| gateway(load, it)).collect(),
            rng,
            choice_rng: SmallRng::seed_from_u64(load.seed + 1),
            on_way: Vec::new(),
            arriving: Vec::new(),
            sent: HashMap::new(),
            waits: Vec::new(),
            requests: 0,
            requests_away: 0,
        }
    }

    fn advance_engines(&mut self, now: Time) {
        let engines = &mut self.engines;
        self.arriving.retain(|(at, replica, request)| {
            if *at <= now {
                engines[*replica].submit(*request, now);
            }
            now < *at
        });
        let mut events = Vec::new();
        self.engines.iter_mut().for_each(|it| it.advance(now, &mut events));
        for event in events {
            self.receive_event(event);
        }
    }

    fn receive_event(&mut self, event: EngineEvent) {
        let Some(sent) = self.sent.get_mut(&event.id) else { return };
        let gateway = &self.gateways[sent.from];
        let zone = sent.replica / self.load.replicas_per_zone;
        let at = event.at + self.load.delay(gateway.zone, zone);
        sent.in_flight.record_event(at);
        if std::mem::take(&mut sent.is_first) {
            let (running, waiting) = self.engines[sent.replica].load();
            let (running, waiting) = (running as u32, waiting as u32);
            let load = ServerLoad { running, waiting, slots: self.load.slots as u32 };
            gateway.servers[sent.replica].stats.record_load(at, load);
            if Time::START + WARM_UP < sent.at {
                self.waits.push(at.since(sent.at));
            }
        }
        if event.is_last
            && let Some(sent) = self.sent.remove(&event.id)
            && let Some(cost) = &sent.cost
        {
            let (events, factor) = (sent.in_flight.events(), sent.in_flight.time_factor());
            self.gateways[sent.from].costs.record(cost, events, factor, at);
        }
    }

    fn exchange_reports(&mut self, now: Time) {
        let interval = publisher::interval(self.load.gateways_per_zone);
        for from in 0..self.gateways.len() {
            let by_cost = self.placement == Placement::ByCost && !self.load.is_older(from);
            let latest = if by_cost { publisher::MAX_REPORT_DELAY } else { Duration::ZERO };
            let is_due = self.has_begun[from] && self.next_report_at[from] <= now;
            if !is_due && now < self.next_report_at[from] + latest {
                continue;
            }
            self.has_begun[from] = false;
            let gateway = &mut self.gateways[from];
            let due = gateway.publisher.due(gateway.servers.iter(), &gateway.peer_loads, now);
            // A gateway that reports at once waits only after a report.
            self.next_report_at[from] = match by_cost && due.own.is_empty() {
                true => now,
                false => now + interval,
            };
            let mut work = due.own_work.into_iter();
            for counts in due.own {
                let message = Message { from, counts, work: work.next(), to_zone: true };
                self.on_way.push((now + MESSAGE_DELAY, message));
            }
            let mut work = due.zone_work.into_iter();
            for counts in due.zone {
                let message = Message { from, counts, work: work.next(), to_zone: false };
                self.on_way.push((now + MESSAGE_DELAY + self.load.zone_delay, message));
            }
        }
        let (arrived, on_way) =
            std::mem::take(&mut self.on_way).into_iter().partition(|(at, _)| *at <= now);
        self.on_way = on_way;
        for (_, message) in &arrived {
            self.deliver(message, now);
        }
    }

    fn deliver(&mut self, message: &Message, now: Time) {
        let from = &self.gateways[message.from];
        let source = || match message.to_zone {
            true => ReportSource::Gateway(from.node),
            false => ReportSource::Zone(zone_name(from.zone)),
        };
        for (idx, receiver) in self.gateways.iter().enumerate() {
            let is_receiver = (receiver.zone == from.zone) == message.to_zone;
            if !is_receiver || receiver.node == from.node {
                continue;
            }
            if self.choice_rng.random::<f64>() < self.load.lost_reports {
                continue;
            }
            match &message.work {
                Some(work) if !self.load.is_older(idx) => {
                    receiver.peer_loads.record_work(source(), work, now);
                }
                _ => receiver.peer_loads.record(source(), message.counts.clone(), now),
            }
        }
    }

    fn send_requests(&mut self, now: Time) {
        for (zone, per_s) in self.load.zone_requests_per_s.iter().enumerate() {
            if per_s * TICK.as_secs_f64() <= self.rng.random::<f64>() {
                continue;
            }
            let from = self.rng.random_range(0..self.load.gateways_per_zone);
            self.send_request(zone * self.load.gateways_per_zone + from, now);
        }
    }

    fn send_request(&mut self, from: usize, now: Time) {
        let id = u64::from(self.requests);
        let (prompt_tokens, events, stated) = self.load.draw(&mut self.rng);
        let gateway = &self.gateways[from];
        let by_cost = self.placement == Placement::ByCost && !self.load.is_older(from);
        let cost = by_cost.then(|| gateway.costs.expect(&self.engine, &"m".into(), "r", stated));
        let cost = cost.flatten();
        let (replica, predicted) = self.place(from, cost.as_ref(), prompt_tokens, now);
        let gateway = &self.gateways[from];
        let server = &gateway.servers[replica];
        let mut in_flight = match (&cost, &server.replica) {
            (Some(cost), Some(key)) => {
                let work = cost.work();
                gateway.peer_loads.record_begun(key, work.prompt_tokens, now);
                server.stats.begin_work(work, now)
            }
            _ => server.stats.begin_request(),
        };
        in_flight.set_predicted(predicted);
        let zone = replica / self.load.replicas_per_zone;
        self.requests += 1;
        self.has_begun[from] = true;
        self.requests_away += u32::from(zone != gateway.zone);
        let arrives_at = now + self.load.delay(gateway.zone, zone);
        self.arriving.push((arrives_at, replica, EngineRequest { id, prompt_tokens, events }));
        let sent = Sent { at: now, from, replica, cost, is_first: true, in_flight };
        self.sent.insert(id, sent);
    }

    fn place(
        &mut self,
        from: usize,
        cost: Option<&CallCost>,
        prompt_tokens: f64,
        now: Time,
    ) -> (usize, Option<citrongw_gateway::fleet::PredictedTimes>) {
        let all = 0..self.load.replicas();
        let load = |it: &usize| {
            let (running, waiting) = self.engines[*it].load();
            running + waiting
        };
        let best = match self.placement {
            Placement::Random => Some(self.choice_rng.random_range(all)),
            Placement::LeastOutstanding => all.min_by_key(load),
            Placement::AllKnowing => all.min_by(|a, b| {
                let time = |it| self.true_time(from, it, prompt_tokens);
                time(*a).total_cmp(&time(*b))
            }),
            Placement::ByCost | Placement::ByRequests => {
                let gateway = &self.gateways[from];
                let zone = zone_name(gateway.zone);
                let criteria = ChoiceCriteria {
                    zone: &zone,
                    tried: &[],
                    pauses: &ServerPauses::default(),
                    peer_loads: &gateway.peer_loads,
                    now,
                    cost,
                    leaving: &citrongw_state::leaving_servers::LeavingServers::default(),
                    evacuated: &citrongw_state::evacuation::EvacuatedZones::default(),
                    homes: None,
                };
                let rng = &mut self.choice_rng;
                let choice = choose(&gateway.servers, &criteria, || rng.random());
                let Some(choice) = choice else { return (0, None) };
                let replica = choice.best.server.replica.as_ref().map(|it| it.replica.0 as usize);
                return (replica.unwrap_or_default(), choice.best.load.predicted);
            }
        };
        (best.unwrap_or_default(), None)
    }

    /// Time to the first event by the true state of an engine, in milliseconds.
    fn true_time(&self, from: usize, replica: usize, prompt_tokens: f64) -> f64 {
        let engine = &self.engines[replica];
        let (running, waiting) = engine.load();
        let figures = &self.load.figures;
        let step_ms = figures.pace * (figures.step_ms + figures.per_request_ms * running as f64);
        let prefill_ms = (engine.unread() + prompt_tokens) / figures.prefill_rate() * 1_000.0;
        let zone = replica / self.load.replicas_per_zone;
        let delay_ms = self.load.delay(self.gateways[from].zone, zone).as_secs_f64() * 2_000.0;
        let waiting = (running + waiting + 1).saturating_sub(self.load.slots) as f64;
        prefill_ms + step_ms * figures.stride * (1.5 + waiting) + delay_ms
    }

    fn into_outcome(mut self, now: Time) -> Outcome {
        // A request that still waits beyond the target is late.
        let begun = Time::START + WARM_UP;
        let unanswered = self.sent.values().filter(|it| it.is_first && begun < it.at);
        let late = unanswered.map(|it| now.since(it.at)).filter(|it| self.load.target < *it);
        self.waits.extend(late.collect::<Vec<_>>());
        self.waits.sort();
        let percentile = |share: f64| self.waits[(self.waits.len() as f64 * share) as usize];
        let in_time = self.waits.partition_point(|it| *it <= self.load.target);
        Outcome {
            in_time: in_time as f64 / self.waits.len() as f64,
            p50: percentile(0.5),
            p90: percentile(0.9),
            p99: percentile(0.99),
            away: f64::from(self.requests_away) / f64::from(self.requests.max(1)),
        }
    }
}

fn zone_name(zone: usize) -> AvailabilityZone {
    format!("zone-{zone}").as_str().into()
}

fn gateway(load: &Load, idx: usize) -> Gateway {
    let server = |replica: usize| {
        Arc::new(Backend {
            id: format!("i-{replica}").as_str().into(),
            incarnation: Incarnation(1),
            addr: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: zone_name(replica / load.replicas_per_zone),
            slots: load.slots as u32,
            replica: Some(ReplicaKey { replica: ReplicaId(replica as u64), epoch: Epoch(1) }),
            domain: None,
            gateway: None,
            stats: Arc::new(BackendStats::default()),
        })
    };
    let publisher = publisher::open(NodeId(idx as u64));
    Gateway {
        node: NodeId(idx as u64),
        zone: idx / load.gateways_per_zone,
        servers: (0..load.replicas()).map(server).collect(),
        peer_loads: PeerLoads::default(),
        publisher: if load.is_older(idx) { publisher } else { publisher.with_work() },
        costs: cost::open(ZONE_PENALTY),
    }
}
