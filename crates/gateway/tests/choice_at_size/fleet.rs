//! Gateways that choose with their own view of the load, before simulated
//! engines.

use std::{collections::HashMap, fmt, net::SocketAddr, sync::Arc, time::Duration};

use citrongw_fakes::pass_engine::{self, EngineEvent, EngineRequest, EngineSpeed, PassEngine};
use citrongw_gateway::{
    choose::{ChoiceCriteria, choose},
    fleet::{Backend, BackendStats, InFlight, ReplicaKey},
    peer_loads::{
        LoadReport, PeerLoads, ReportSource,
        publisher::{self, LoadPublisher},
    },
};
use citrongw_state::{
    evacuation::EvacuatedZones,
    id::{AvailabilityZone, Epoch, NodeId, ReplicaId},
    leaving_servers::LeavingServers,
    server_pause::ServerPauses,
    time::Time,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Speed of an engine with 13 slots that spans 4 instances.
const SPEED: EngineSpeed = EngineSpeed {
    slots: 13,
    stride: 10,
    step: Duration::from_micros(6_450),
    step_per_request: Duration::from_micros(97),
    read_tokens_per_ms: 56.1,
    chunk_tokens: 2_048,
    first_event_overhead: Duration::from_millis(93),
    pace: 0.6,
};
/// Mean tokens of a prompt and of an output.
const MEAN_TOKENS: (f64, f64) = (714.0, 216.0);
/// Factor on the times of slow replicas.
const SLOW_FACTOR: f64 = 5.0;
/// Interval of the simulation.
const TICK: Duration = Duration::from_millis(1);
/// Latest arrival of a message at another gateway.
const MESSAGE_DELAY: Duration = Duration::from_millis(2);
/// Start of a run that does not count.
const WARM_UP: Duration = Duration::from_secs(2);

/// Load to play.
#[derive(Debug)]
pub(crate) struct Load {
    /// Requests per second of each zone.
    pub(crate) zone_requests_per_s: &'static [f64],
    /// Gateways of each zone.
    pub(crate) gateways_per_zone: usize,
    /// Replicas of each zone.
    pub(crate) replicas_per_zone: usize,
    /// Replicas of the first zone that are down.
    pub(crate) down_in_first_zone: usize,
    /// Every so many replicas one is slow; none if 0.
    pub(crate) slow_every: usize,
    /// Simulated time.
    pub(crate) length: Duration,
    /// Seed of arrivals and sizes.
    pub(crate) seed: u64,
}

impl Load {
    fn replicas(&self) -> usize {
        self.zone_requests_per_s.len() * self.replicas_per_zone
    }

    fn speed(&self, replica: usize) -> EngineSpeed {
        let is_slow = self.slow_every != 0 && replica % self.slow_every == 0;
        let factor = if is_slow { SLOW_FACTOR } else { 1.0 };
        EngineSpeed { pace: SPEED.pace * factor, ..SPEED }
    }
}

/// Who places the requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Placement {
    /// Each gateway, by what it knows.
    Gateways,
    /// One place that knows all loads at once.
    AllKnowing,
    /// Nobody: at random.
    Random,
}

/// What callers got.
#[derive(Debug)]
pub(crate) struct Waits {
    /// Median time to the first event.
    pub(crate) p50: Duration,
    /// 90th percentile.
    pub(crate) p90: Duration,
    /// 99th percentile.
    pub(crate) p99: Duration,
    /// Share of the requests that another zone served.
    pub(crate) away: f64,
}

impl fmt::Display for Waits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "p50 {:?} p90 {:?} p99 {:?} away {:.2}", self.p50, self.p90, self.p99, self.away)
    }
}

struct Gateway {
    node: NodeId,
    zone: AvailabilityZone,
    servers: Vec<Arc<Backend>>,
    peer_loads: PeerLoads,
    publisher: LoadPublisher,
}

/// Report on its way to the gateways of its sender's zone or of all others.
struct Message {
    from: usize,
    to_zone: bool,
    report: LoadReport,
}

struct Sent {
    at: Time,
    _in_flight: InFlight,
}

/// Run of a load.
struct Run<'a> {
    load: &'a Load,
    placement: Placement,
    rng: SmallRng,
    engines: Vec<PassEngine>,
    gateways: Vec<Gateway>,
    /// When each gateway reports next.
    next_report_at: Vec<Time>,
    /// Reports with the time of their arrival.
    on_way: Vec<(Time, Message)>,
    sent: HashMap<u64, Sent>,
    /// Times to the first event.
    waits: Vec<Duration>,
    requests: u32,
    requests_away: u32,
}

/// Plays a load and returns what callers got after the warm-up.
pub(crate) fn play(load: &Load, placement: Placement) -> Waits {
    let mut run = Run::new(load, placement);
    let mut now = Time::START;
    while now < Time::START + load.length {
        now = now + TICK;
        run.advance_engines(now);
        run.publish_reports(now);
        run.deliver_reports(now);
        run.send_requests(now);
    }
    run.into_waits()
}

impl<'a> Run<'a> {
    fn new(load: &'a Load, placement: Placement) -> Self {
        let mut rng = SmallRng::seed_from_u64(load.seed);
        let zones = load.zone_requests_per_s.len();
        let interval = publisher::interval(load.gateways_per_zone);
        let gateways = (0..zones * load.gateways_per_zone).map(|idx| gateway(load, idx)).collect();
        // Gateways do not report at the same time.
        let next_report_at = (0..zones * load.gateways_per_zone)
            .map(|_| Time::START + interval.mul_f64(rng.random::<f64>()))
            .collect();
        Self {
            load,
            placement,
            rng,
            engines: (0..load.replicas()).map(|it| pass_engine::open(load.speed(it))).collect(),
            gateways,
            next_report_at,
            on_way: Vec::new(),
            sent: HashMap::new(),
            waits: Vec::new(),
            requests: 0,
            requests_away: 0,
        }
    }

    fn advance_engines(&mut self, now: Time) {
        let mut events = Vec::new();
        for engine in &mut self.engines {
            engine.advance(now, &mut events);
        }
        for event in events {
            match event {
                EngineEvent::First { id, at } => {
                    let sent_at = self.sent.get(&id).map_or(at, |it| it.at);
                    if Time::START + WARM_UP < sent_at {
                        self.waits.push(at.since(sent_at));
                    }
                }
                EngineEvent::Last { id, .. } => drop(self.sent.remove(&id)),
            }
        }
    }

    fn publish_reports(&mut self, now: Time) {
        let interval = publisher::interval(self.load.gateways_per_zone);
        for (from, due_at) in self.next_report_at.iter_mut().enumerate() {
            if now < *due_at {
                continue;
            }
            *due_at = *due_at + interval;
            let gateway = &mut self.gateways[from];
            let due = gateway.publisher.due(gateway.servers.iter(), &gateway.peer_loads, now);
            let own = due.own.into_iter().map(|report| Message { from, to_zone: true, report });
            let zone = due.zone.into_iter().map(|report| Message { from, to_zone: false, report });
            self.on_way.extend(own.chain(zone).map(|it| (now + MESSAGE_DELAY, it)));
        }
    }

    fn deliver_reports(&mut self, now: Time) {
        for (_, message) in self.on_way.iter().filter(|(at, _)| *at <= now) {
            deliver(&self.gateways, message, now);
        }
        self.on_way.retain(|(at, _)| now < *at);
    }

    /// Sends at most one request of each zone.
    fn send_requests(&mut self, now: Time) {
        for (zone, per_s) in self.load.zone_requests_per_s.iter().enumerate() {
            if per_s * TICK.as_secs_f64() <= self.rng.random::<f64>() {
                continue;
            }
            let from = self.rng.random_range(0..self.load.gateways_per_zone);
            self.send_request(zone * self.load.gateways_per_zone + from, zone, now);
        }
    }

    fn send_request(&mut self, from: usize, zone: usize, now: Time) {
        let replica = self.place(from, now);
        let id = u64::from(self.requests);
        let (prompt, output) = MEAN_TOKENS;
        let prompt_tokens = 40 + exponential(prompt, &mut self.rng).min(2_340.0) as u32;
        let output_tokens = 10 + exponential(output, &mut self.rng).min(540.0) as u32;
        self.engines[replica].submit(EngineRequest { id, prompt_tokens, output_tokens }, now);
        let server = &self.gateways[from].servers[replica - self.load.down_in_first_zone];
        self.sent.insert(id, Sent { at: now, _in_flight: server.stats.begin_request() });
        self.requests += 1;
        self.requests_away += u32::from(replica / self.load.replicas_per_zone != zone);
    }

    /// Replica for a request of a gateway.
    fn place(&mut self, from: usize, now: Time) -> usize {
        let mut up = self.load.down_in_first_zone..self.load.replicas();
        match self.placement {
            Placement::Random => self.rng.random_range(up),
            Placement::AllKnowing => {
                up.min_by_key(|it| self.engines[*it].load()).unwrap_or_default()
            }
            Placement::Gateways => {
                let chosen = chosen(&self.gateways[from], now, &mut self.rng);
                chosen.or(up.next()).unwrap_or_default()
            }
        }
    }

    fn into_waits(mut self) -> Waits {
        self.waits.sort();
        let percentile = |share: f64| self.waits[(self.waits.len() as f64 * share) as usize];
        Waits {
            p50: percentile(0.5),
            p90: percentile(0.9),
            p99: percentile(0.99),
            away: f64::from(self.requests_away) / f64::from(self.requests.max(1)),
        }
    }
}

fn exponential(mean: f64, rng: &mut SmallRng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

fn zone_name(zone: usize) -> AvailabilityZone {
    format!("zone-{zone}").as_str().into()
}

fn gateway(load: &Load, idx: usize) -> Gateway {
    let server = |replica: usize| {
        Arc::new(Backend {
            id: format!("i-{replica}").as_str().into(),
            incarnation: citrongw_state::id::Incarnation(1),
            addr: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: zone_name(replica / load.replicas_per_zone),
            slots: SPEED.slots as u32,
            replica: Some(key(replica)),
            domain: None,
            gateway: None,
            stats: Arc::new(BackendStats::default()),
        })
    };
    Gateway {
        node: NodeId(idx as u64),
        zone: zone_name(idx / load.gateways_per_zone),
        servers: (load.down_in_first_zone..load.replicas()).map(server).collect(),
        peer_loads: PeerLoads::default(),
        publisher: publisher::open(NodeId(idx as u64)),
    }
}

fn key(replica: usize) -> ReplicaKey {
    ReplicaKey { replica: ReplicaId(replica as u64), epoch: Epoch(1) }
}

fn deliver(gateways: &[Gateway], message: &Message, now: Time) {
    let from = &gateways[message.from];
    let source = match message.to_zone {
        true => ReportSource::Gateway(from.node),
        false => ReportSource::Zone(from.zone.clone()),
    };
    let receivers = gateways.iter().filter(|it| (it.zone == from.zone) == message.to_zone);
    for receiver in receivers.filter(|it| it.node != from.node) {
        receiver.peer_loads.record(source.clone(), message.report.clone(), now);
    }
}

/// Index of the replica that a gateway chooses.
fn chosen(from: &Gateway, now: Time, rng: &mut SmallRng) -> Option<usize> {
    let criteria = ChoiceCriteria {
        zone: &from.zone,
        tried: &[],
        pauses: &ServerPauses::default(),
        leaving: &LeavingServers::default(),
        peer_loads: &from.peer_loads,
        evacuated: &EvacuatedZones::default(),
        homes: None,
        now,
        cost: None,
    };
    let choice = choose(&from.servers, &criteria, || rng.random())?;
    let replica = choice.best.server.replica.as_ref()?;
    Some(replica.replica.0 as usize)
}
