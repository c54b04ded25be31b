//! Gateways that choose with their own view of the load, before servers of which some
//! return at once.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use citrongw_gateway::{
    choose::{ChoiceCriteria, choose},
    fleet::{Backend, BackendStats, InFlight, ReplicaKey},
    peer_loads::{
        PeerLoads, ReportSource,
        publisher::{self, LoadPublisher},
    },
};
use citrongw_state::{
    cold_server::{
        ColdBounds, ColdLimit, ColdStart,
        permits::{self as cold_permits, ColdGranter},
    },
    evacuation::EvacuatedZones,
    id::{AvailabilityZone, Epoch, Incarnation, NodeId, ReplicaId},
    leaving_servers::LeavingServers,
    server_limit::permits::{self, Permit, PermitBucket},
    server_pause::ServerPauses,
    time::Time,
    unit::RequestsPerSecond,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const ZONES: usize = 3;
const SLOTS: u32 = 20;
/// Mean time that a request holds a slot: 24 replicas are half full.
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(450);
const TICK: Duration = Duration::from_millis(1);
/// When the servers return, and until when is played.
const RETURN_AT: Time = Time::from_millis(4_000);
const END: Time = Time::from_millis(8_000);
/// Time until the last gateway knows that a server takes requests.
const MAX_LEARN_DELAY: Duration = Duration::from_millis(500);
const COLD_START: ColdStart =
    ColdStart { duration: Duration::from_secs(3), per_s: RequestsPerSecond(26.0) };
const BOUNDS: ColdBounds = ColdBounds { overage: 1.5, slack: 5.0 };
/// Permits that are requested one after the other, and the time for which all cold
/// servers count as denied after that many.
const MAX_PERMIT_REQUESTS: usize = 4;
const DENIAL_TIME: Duration = Duration::from_millis(50);

/// Load to play.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) gateways: usize,
    pub(crate) replicas: usize,
    /// Replicas that return, those of the first zone first.
    pub(crate) returning: usize,
    pub(crate) requests_per_s: f64,
    pub(crate) seed: u64,
}

/// How gateways treat servers that return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rule {
    /// As any other.
    None,
    /// As cold, with permits.
    Permits,
}

/// What a load led to.
#[derive(Debug)]
pub(crate) struct Played {
    /// Most requests that reached a cold server in one second.
    pub(crate) most_in_1s: usize,
    /// Requests a second at a cold server.
    pub(crate) mean_per_s: f64,
    /// Part of the requests during the cold phase that found no server.
    pub(crate) rejected: f64,
    /// Most requests in flight at a warm server during the cold phase.
    pub(crate) busiest_warm: u32,
}

struct Gateway {
    node: NodeId,
    zone: AvailabilityZone,
    servers: Vec<Arc<Backend>>,
    learns_at: Time,
    peer_loads: PeerLoads,
    publisher: LoadPublisher,
    next_report_at: Time,
}

/// Plays a load.
pub(crate) fn play(load: &Load, rule: Rule) -> Played {
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let interval = publisher::interval(load.gateways.div_ceil(ZONES));
    let mut gateways: Vec<Gateway> = (0..load.gateways)
        .map(|idx| Gateway {
            node: NodeId(idx as u64),
            zone: zone(idx % ZONES),
            servers: (load.returning..load.replicas).map(|it| server(load, it)).collect(),
            learns_at: RETURN_AT + MAX_LEARN_DELAY.mul_f64(rng.random()),
            peer_loads: PeerLoads::default(),
            publisher: publisher::open(NodeId(idx as u64)),
            next_report_at: Time::START + interval.mul_f64(rng.random()),
        })
        .collect();
    let mut buckets: HashMap<usize, PermitBucket> = HashMap::new();
    let mut ends: BinaryHeap<Reverse<(Time, u64)>> = BinaryHeap::new();
    let mut in_flight: HashMap<u64, (usize, InFlight)> = HashMap::new();
    let mut at_server = vec![0_u32; load.replicas];
    let mut received: Vec<Vec<Time>> = vec![Vec::new(); load.replicas];
    let (mut requests, mut sent, mut rejected, mut busiest_warm) = (0_u32, 0_u64, 0_u32, 0);
    let mut now = Time::START;
    while now < END {
        now = now + TICK;
        while ends.peek().is_some_and(|it| it.0.0 <= now) {
            let Some(Reverse((_, id))) = ends.pop() else { break };
            if let Some((replica, _)) = in_flight.remove(&id) {
                at_server[replica] -= 1;
            }
        }
        learn(load, rule, &mut gateways, now);
        report(&mut gateways, interval, now);
        let is_phase = RETURN_AT <= now && now < RETURN_AT + COLD_START.duration;
        if rng.random::<f64>() < load.requests_per_s * TICK.as_secs_f64() {
            let from = rng.random_range(0..load.gateways);
            let gateway = &gateways[from];
            requests += u32::from(is_phase);
            match choose_permitted(gateway, &mut buckets, now, &mut rng) {
                Some(backend) => {
                    let replica = backend.replica.as_ref().unwrap().replica.0 as usize;
                    received[replica].push(now);
                    at_server[replica] += 1;
                    sent += 1;
                    in_flight.insert(sent, (replica, backend.stats.begin_request()));
                    let service_s =
                        -MEAN_SERVICE_TIME.as_secs_f64() * (1.0 - rng.random::<f64>()).ln();
                    ends.push(Reverse((now + Duration::from_secs_f64(service_s), sent)));
                }
                None => rejected += u32::from(is_phase),
            }
        }
        if is_phase {
            let warm = at_server[load.returning..].iter().copied().max().unwrap_or_default();
            busiest_warm = busiest_warm.max(warm);
        }
    }
    let until = RETURN_AT + COLD_START.duration;
    let cold: Vec<Vec<Time>> = received[..load.returning]
        .iter()
        .map(|it| it.iter().copied().filter(|at| *at < until).collect())
        .collect();
    let all: usize = cold.iter().map(Vec::len).sum();
    Played {
        most_in_1s: cold.iter().map(|it| most_in_1s(it)).max().unwrap_or_default(),
        mean_per_s: all as f64 / load.returning as f64 / COLD_START.duration.as_secs_f64(),
        rejected: f64::from(rejected) / f64::from(requests.max(1)),
        busiest_warm,
    }
}

/// Adds the returned servers to the view of the gateways that learn of them now.
fn learn(load: &Load, rule: Rule, gateways: &mut [Gateway], now: Time) {
    let learning = gateways.iter_mut().filter(|it| it.learns_at <= now);
    for gateway in learning.filter(|it| it.servers.len() < load.replicas) {
        for replica in 0..load.returning {
            let server = server(load, replica);
            if rule == Rule::Permits {
                let limit = ColdLimit::new(COLD_START, BOUNDS);
                server.stats.cold.set(limit, Some(now + COLD_START.duration));
            }
            gateway.servers.push(server);
        }
    }
}

/// Publishes the reports that are due, which arrive at once.
fn report(gateways: &mut [Gateway], interval: Duration, now: Time) {
    let mut reports = Vec::new();
    for gateway in gateways.iter_mut().filter(|it| it.next_report_at <= now) {
        gateway.next_report_at = gateway.next_report_at + interval;
        let due = gateway.publisher.due(gateway.servers.iter(), &gateway.peer_loads, now);
        let (node, zone) = (gateway.node, gateway.zone.clone());
        reports.extend(due.own.into_iter().map(|it| (node, zone.clone(), true, it)));
        reports.extend(due.zone.into_iter().map(|it| (node, zone.clone(), false, it)));
    }
    for (node, zone, to_zone, report) in reports {
        let source = match to_zone {
            true => ReportSource::Gateway(node),
            false => ReportSource::Zone(zone.clone()),
        };
        for receiver in gateways.iter().filter(|it| (it.zone == zone) == to_zone) {
            if receiver.node != node {
                receiver.peer_loads.record(source.clone(), report.clone(), now);
            }
        }
    }
}

fn choose_permitted(
    gateway: &Gateway,
    buckets: &mut HashMap<usize, PermitBucket>,
    now: Time,
    rng: &mut SmallRng,
) -> Option<Arc<Backend>> {
    for _ in 0..MAX_PERMIT_REQUESTS {
        let server = chosen(gateway, now, rng)?;
        let Some((limit, left)) = server.stats.cold.limit(now) else { return Some(server) };
        let replica = server.replica.as_ref()?.replica.0 as usize;
        let bucket = buckets.entry(replica).or_insert_with(|| permits::open(now));
        match cold_permits::take(bucket, None, limit, ColdGranter::Granter, now) {
            Permit::Granted => return Some(server),
            Permit::Denied { wait } => server.stats.deny_until(now + wait.min(left)),
        }
    }
    for server in gateway.servers.iter().filter(|it| it.stats.cold.left(now).is_some()) {
        server.stats.deny_until(now + DENIAL_TIME);
    }
    chosen(gateway, now, rng)
}

fn chosen(gateway: &Gateway, now: Time, rng: &mut SmallRng) -> Option<Arc<Backend>> {
    let criteria = ChoiceCriteria {
        zone: &gateway.zone,
        tried: &[],
        pauses: &ServerPauses::default(),
        leaving: &LeavingServers::default(),
        evacuated: &EvacuatedZones::default(),
        homes: None,
        peer_loads: &gateway.peer_loads,
        now,
        cost: None,
    };
    Some(choose(&gateway.servers, &criteria, || rng.random())?.best.server)
}

fn server(load: &Load, replica: usize) -> Arc<Backend> {
    Arc::new(Backend {
        id: format!("i-{replica}").as_str().into(),
        incarnation: Incarnation(1),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: zone(replica * ZONES / load.replicas),
        slots: SLOTS,
        replica: Some(ReplicaKey { replica: ReplicaId(replica as u64), epoch: Epoch(1) }),
        domain: None,
        gateway: None,
        stats: Arc::new(BackendStats::default()),
    })
}

fn zone(idx: usize) -> AvailabilityZone {
    format!("zone-{idx}").as_str().into()
}

fn most_in_1s(received: &[Time]) -> usize {
    let until = |from: Time| received.partition_point(|it| *it < from + Duration::from_secs(1));
    received.iter().enumerate().map(|(idx, at)| until(*at) - idx).max().unwrap_or_default()
}
