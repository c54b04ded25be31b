//! Choice of a backend server for one attempt of a request.
//!
//! Designed for many nodes that each send a small part of the load, and that learn
//! of each other's requests late. If each node chose the server that looked least
//! loaded, all would send to the same few until the next reports. So a node
//! estimates how many requests the other nodes have begun since they reported,
//! assumes that those levelled the load, and chooses at random in proportion to
//! what each server got of them (basic load interpretation: Dahlin, "Interpreting
//! Stale Load Information", 1999). With fresh reports this is the least loaded
//! server; with old ones it approaches a random server.
//!
//! Servers are compared by their requests, or, where the cost of the request is known,
//! by the predicted time to its first event.

mod by_cost;
mod cold;
mod leveling;

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use citrongw_state::{
    breaker::BreakerState,
    early_rejection::PoolLoad,
    evacuation::EvacuatedZones,
    home::Homes,
    id::{AvailabilityZone, InstanceId},
    leaving_servers::LeavingServers,
    server_pause::ServerPauses,
    time::Time,
};
use derive_more::Display;

use self::leveling::Level;
use crate::{
    cost::CallCost,
    fleet::{Backend, LoadEstimate},
    peer_loads::{PeerLoads, PeerLoadsView},
};

/// Term that is added to the score of a server in another zone, as a share of its
/// slots. Traffic between zones is charged for and its load is known later.
const ZONE_PENALTY: f64 = 0.2;

/// Inputs of a choice besides the servers.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceCriteria<'a> {
    /// Zone of this node.
    pub zone: &'a AvailabilityZone,
    /// Servers that earlier attempts of the request were sent to.
    pub tried: &'a [InstanceId],
    /// Pauses that servers requested.
    pub pauses: &'a ServerPauses,
    /// Servers that stated that they are leaving.
    pub leaving: &'a LeavingServers,
    /// Requests in flight that the other nodes reported.
    pub peer_loads: &'a PeerLoads,
    /// Zones whose servers get no requests.
    pub evacuated: &'a EvacuatedZones,
    /// Regions to which the request is confined; none if it may reach all.
    pub homes: Option<Homes<'a>>,
    /// Current time of the node's clock.
    pub now: Time,
    /// Cost of the request, if servers are compared by the time to its first event;
    /// none if they are compared by their requests.
    pub cost: Option<&'a CallCost>,
}

/// Server with the load estimate that the choice used.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Backend server.
    pub server: Arc<Backend>,
    /// Load estimate at the time of the choice.
    pub load: LoadEstimate,
}

/// Chosen server and the runner-up.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Chosen server.
    pub best: Candidate,
    /// Least loaded of the other servers, if at least two were usable.
    pub runner_up: Option<Candidate>,
    /// Load of all usable servers.
    pub pool: PoolLoad,
}

impl Choice {
    /// Choice of a gateway that relays the request.
    pub fn of_gateway(best: Candidate) -> Self {
        Self { best, runner_up: None, pool: PoolLoad::default() }
    }
}

/// Chooses one of the usable servers. `random` returns a number from 0 to 1.
pub fn choose(
    servers: &[Arc<Backend>],
    criteria: &ChoiceCriteria<'_>,
    random: impl FnOnce() -> f64,
) -> Option<Choice> {
    let mut peer_loads = criteria.peer_loads.view(criteria.now);
    let usable = servers.iter().filter(|it| exclusion(it, criteria).is_none());
    let usable: Vec<&Arc<Backend>> = usable.collect();
    let remote_loads = RemoteLoads::new(&usable, criteria, &peer_loads);
    let scored: Vec<Scored<'_>> = match criteria.cost {
        Some(cost) => by_cost::score(&usable, criteria, cost, &remote_loads, &mut peer_loads),
        None => score_by_requests(&usable, criteria, &remote_loads, &peer_loads),
    };
    let arrivals = peer_loads.expected_arrivals(
        scored.iter().map(|it| &**it.server),
        criteria.cost.map_or(Duration::MAX, |_| by_cost::arrivals_age(&scored)),
    );
    drop(peer_loads);
    let mut levels: Vec<Level> = scored.iter().map(|it| it.level).collect();
    let is_cold = scored.iter().map(|it| it.server.stats.cold.left(criteria.now).is_some());
    cold::raise_levels(&mut levels, is_cold);
    let best = leveling::pick(&levels, arrivals, random())?;
    let others = scored.iter().zip(&levels).enumerate().filter(|(idx, _)| *idx != best);
    let runner_up = others.map(|(_, it)| it).min_by(|(_, a), (_, b)| a.load.total_cmp(&b.load));
    let pool = PoolLoad {
        requests: scored.iter().map(|it| it.load.requests).sum(),
        slots: scored.iter().map(|it| f64::from(it.server.slots)).sum(),
    };
    Some(Choice {
        pool,
        best: scored[best].to_candidate(),
        runner_up: runner_up.map(|(it, _)| it.to_candidate()),
    })
}

/// Scores servers by their requests, relative to their slots.
fn score_by_requests<'a>(
    servers: &[&'a Arc<Backend>],
    criteria: &ChoiceCriteria<'_>,
    remote_loads: &RemoteLoads<'_>,
    peer_loads: &PeerLoadsView<'_>,
) -> Vec<Scored<'a>> {
    let scored = servers.iter().map(|&server| {
        let remote_requests = remote_loads.requests_at(server, criteria, peer_loads);
        let peer_requests = f64::from(peer_loads.zone_requests(server)) + remote_requests;
        let load = server.stats.estimate_load(criteria.now, peer_requests);
        let slots = f64::from(server.slots.max(1));
        let zone_penalty = if server.zone == *criteria.zone { 0.0 } else { ZONE_PENALTY };
        let level = Level { load: load.requests / slots + zone_penalty, capacity: slots };
        Scored { level, load, server }
    });
    scored.collect()
}

/// Mean load of the servers in each other zone by requests from outside this zone,
/// as a share of the slots.
///
/// The gateways of a zone level its servers faster than they report to the other
/// zones. By then a server that had fewer requests than the rest has as many.
struct RemoteLoads<'a> {
    shares: HashMap<&'a AvailabilityZone, f64>,
}

impl<'a> RemoteLoads<'a> {
    fn new(
        servers: &[&'a Arc<Backend>],
        criteria: &ChoiceCriteria<'_>,
        peer_loads: &PeerLoadsView<'_>,
    ) -> Self {
        let mut sums: HashMap<&AvailabilityZone, (f64, f64)> = HashMap::new();
        for server in servers.iter().filter(|it| it.zone != *criteria.zone) {
            let (requests, slots) = sums.entry(&server.zone).or_default();
            *requests += f64::from(peer_loads.remote_requests(server));
            *slots += f64::from(server.slots.max(1));
        }
        let shares = sums.into_iter().map(|(zone, (requests, slots))| (zone, requests / slots));
        Self { shares: shares.collect() }
    }

    /// Expected requests of the other zones at a server.
    fn requests_at(
        &self,
        server: &Backend,
        criteria: &ChoiceCriteria<'_>,
        peer_loads: &PeerLoadsView<'_>,
    ) -> f64 {
        if server.zone == *criteria.zone {
            return f64::from(peer_loads.remote_requests(server));
        }
        let share = self.shares.get(&server.zone).copied().unwrap_or_default();
        share * f64::from(server.slots.max(1))
    }
}

struct Scored<'a> {
    level: Level,
    load: LoadEstimate,
    server: &'a Arc<Backend>,
}

impl Scored<'_> {
    fn to_candidate(&self) -> Candidate {
        Candidate { server: Arc::clone(self.server), load: self.load }
    }
}

/// Why a server gets no request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Exclusion {
    /// The request was sent there before.
    #[display("tried")]
    Tried,
    /// The zone of the server is under evacuation.
    #[display("evacuated")]
    Evacuated,
    /// The server is outside the home regions of the request.
    #[display("outside home")]
    OutsideHome,
    /// The server asked this node for a pause.
    #[display("pausing")]
    Pausing,
    /// The server stated that it is leaving.
    #[display("leaving")]
    Leaving,
    /// The granter of the server's permits denied one.
    #[display("limited")]
    Limited,
    /// The server is silent or was not reached.
    #[display("suspected")]
    Suspected,
    /// The circuit breaker of the server is open.
    #[display("breaker open")]
    BreakerOpen,
}

impl Exclusion {
    /// Whether this node did not reach the server or did not hear it.
    pub fn is_out_of_reach(self) -> bool {
        matches!(self, Self::Suspected | Self::BreakerOpen)
    }

    /// Whether operators keep the request from the server, whatever its state.
    pub fn is_by_operators(self) -> bool {
        matches!(self, Self::Evacuated | Self::OutsideHome)
    }
}

/// Decides whether a server may be sent a request now. All attempts of all requests
/// are decided here.
pub fn exclusion(server: &Backend, criteria: &ChoiceCriteria<'_>) -> Option<Exclusion> {
    if criteria.tried.contains(&server.id) {
        return Some(Exclusion::Tried);
    }
    if criteria.leaving.contains(&server.id, server.incarnation) {
        return Some(Exclusion::Leaving);
    }
    if criteria.evacuated.contains(&server.zone) {
        return Some(Exclusion::Evacuated);
    }
    if criteria.homes.is_some_and(|it| !it.allows(&server.zone)) {
        return Some(Exclusion::OutsideHome);
    }
    if criteria.pauses.left(&server.id, server.incarnation, criteria.now).is_some() {
        return Some(Exclusion::Pausing);
    }
    if server.stats.denied_for(criteria.now).is_some() {
        return Some(Exclusion::Limited);
    }
    if server.stats.is_suspect(criteria.now) {
        return Some(Exclusion::Suspected);
    }
    let breaker = server.stats.breaker.state(criteria.now);
    matches!(breaker, BreakerState::Open { .. }).then_some(Exclusion::BreakerOpen)
}

/// Reasons why servers get no request, with the number of servers for each.
pub fn exclusions(servers: &[Arc<Backend>], criteria: &ChoiceCriteria<'_>) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for exclusion in servers.iter().filter_map(|it| exclusion(it, criteria)) {
        *counts.entry(exclusion.to_string()).or_default() += 1;
    }
    let counts: Vec<String> = counts.iter().map(|(why, count)| format!("{why} {count}")).collect();
    counts.join(", ")
}

#[cfg(test)]
mod tests;
