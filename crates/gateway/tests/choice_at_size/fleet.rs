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
    id::{AvailabilityZone, Epoch, NodeId, ReplicaId},
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
    fn is_slow(&self, replica: usize) -> bool {
        self.slow_every != 0 && replica % self.slow_every == 0
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

/// Factor on the times of slow replicas.
const SLOW_FACTOR: f64 = 5.0;

/// Plays a load and returns what callers got after the warm-up.
pub(crate) fn play(load: &Load, placement: Placement) -> Waits {
    let zones = load.zone_requests_per_s.len();
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let replicas = zones * load.replicas_per_zone;
    let speed = |replica| match load.is_slow(replica) {
        true => EngineSpeed { pace: SPEED.pace * SLOW_FACTOR, ..SPEED },
        false => SPEED,
    };
    let mut engines: Vec<PassEngine> =
        (0..replicas).map(|it| pass_engine::open(speed(it))).collect();
    let mut gateways: Vec<Gateway> =
        (0..zones * load.gateways_per_zone).map(|idx| gateway(load, idx)).collect();
    let interval = publisher::interval(load.gateways_per_zone);
    let mut next_report: Vec<Time> =
        gateways.iter().map(|_| Time::START + interval.mul_f64(rng.random::<f64>())).collect();
    let mut on_way: Vec<(Time, Message)> = Vec::new();
    let mut sent: HashMap<u64, Sent> = HashMap::new();
    let (mut waits, mut away, mut total) = (Vec::new(), 0, 0);
    let mut events = Vec::new();
    let mut next_id = 0;
    let mut now = Time::START;
    while now < Time::START + load.length {
        now = now + TICK;
        for engine in &mut engines {
            engine.advance(now, &mut events);
        }
        for event in events.drain(..) {
            match event {
                EngineEvent::First { id, at } => {
                    let sent_at = sent.get(&id).map_or(at, |it| it.at);
                    if Time::START + WARM_UP < sent_at {
                        waits.push(at.since(sent_at));
                    }
                }
                EngineEvent::Last { id, .. } => drop(sent.remove(&id)),
            }
        }
        for (idx, due_at) in next_report.iter_mut().enumerate().filter(|(_, at)| **at <= now) {
            let gateway = &mut gateways[idx];
            let due = gateway.publisher.due(gateway.servers.iter(), &gateway.peer_loads, now);
            let own =
                due.own.into_iter().map(|report| Message { from: idx, to_zone: true, report });
            let zone =
                due.zone.into_iter().map(|report| Message { from: idx, to_zone: false, report });
            on_way.extend(own.chain(zone).map(|it| (now + MESSAGE_DELAY, it)));
            *due_at = *due_at + interval;
        }
        for (_, message) in on_way.iter().filter(|(at, _)| *at <= now) {
            deliver(&gateways, message, now);
        }
        on_way.retain(|(at, _)| now < *at);
        for (zone, per_s) in load.zone_requests_per_s.iter().enumerate() {
            let mean = per_s * TICK.as_secs_f64();
            if mean <= rng.random::<f64>() {
                continue;
            }
            let of_zone = rng.random_range(0..load.gateways_per_zone);
            let from = &gateways[zone * load.gateways_per_zone + of_zone];
            let replica = match placement {
                Placement::Random => rng.random_range(load.down_in_first_zone..replicas),
                Placement::AllKnowing => {
                    let up = load.down_in_first_zone..replicas;
                    up.min_by_key(|it| engines[*it].load()).unwrap_or_default()
                }
                Placement::Gateways => chosen(from, now, &mut rng),
            };
            next_id += 1;
            let (prompt, output) = MEAN_TOKENS;
            let prompt_tokens = 40 + exponential(prompt, &mut rng).min(2_340.0) as u32;
            let output_tokens = 10 + exponential(output, &mut rng).min(540.0) as u32;
            let request = EngineRequest { id: next_id, prompt_tokens, output_tokens };
            engines[replica].submit(request, now);
            let in_flight = from.servers[replica - load.down_in_first_zone].stats.begin_request();
            sent.insert(next_id, Sent { at: now, _in_flight: in_flight });
            total += 1;
            away += usize::from(replica / load.replicas_per_zone != zone);
        }
    }
    waits.sort();
    let percentile = |share: f64| waits[(waits.len() as f64 * share) as usize];
    Waits {
        p50: percentile(0.5),
        p90: percentile(0.9),
        p99: percentile(0.99),
        away: f64::from(away as u32) / f64::from(total.max(1)),
    }
}

fn exponential(mean: f64, rng: &mut SmallRng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

fn zone_name(zone: usize) -> AvailabilityZone {
    format!("zone-{zone}").as_str().into()
}

fn gateway(load: &Load, idx: usize) -> Gateway {
    let replicas = load.zone_requests_per_s.len() * load.replicas_per_zone;
    let server = |replica: usize| {
        Arc::new(Backend {
            id: format!("i-{replica}").as_str().into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: zone_name(replica / load.replicas_per_zone),
            slots: SPEED.slots as u32,
            replica: Some(key(replica)),
            domain: None,
            stats: Arc::new(BackendStats::default()),
        })
    };
    Gateway {
        node: NodeId(idx as u64),
        zone: zone_name(idx / load.gateways_per_zone),
        servers: (load.down_in_first_zone..replicas).map(server).collect(),
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
fn chosen(from: &Gateway, now: Time, rng: &mut SmallRng) -> usize {
    let criteria =
        ChoiceCriteria { zone: &from.zone, tried: &[], peer_loads: &from.peer_loads, now };
    let choice = choose(&from.servers, &criteria, || rng.random());
    let replica = choice.and_then(|it| it.best.server.replica.clone());
    replica.map_or(0, |it| it.replica.0 as usize)
}
