//! Choice of a backend server for one attempt of a request.
//!
//! Each node sees only part of a server's load. The server with the lowest
//! estimated load relative to its slots is chosen. A small random term keeps nodes
//! with the same view from all choosing the same server.

use std::sync::Arc;

use citrongw_state::{
    breaker::BreakerState,
    id::{AvailabilityZone, InstanceId},
    time::Time,
};

use crate::{
    fleet::{Backend, LoadEstimate},
    peer_loads::PeerLoads,
};

/// Largest random term of a score, as a share of the server's slots. Servers
/// whose loads differ by less count as equal.
const SCORE_JITTER: f64 = 0.08;
/// Term that is added to the score of a server in another zone, as a share of its
/// slots. Traffic between zones is charged for.
const ZONE_PENALTY: f64 = 0.04;

/// Inputs of a choice besides the servers.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceCriteria<'a> {
    /// Zone of this node.
    pub zone: &'a AvailabilityZone,
    /// Servers that earlier attempts of the request were sent to.
    pub tried: &'a [InstanceId],
    /// Requests in flight that the other nodes reported.
    pub peer_loads: &'a PeerLoads,
    /// Current time of the node's clock.
    pub now: Time,
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
    /// Server with the lowest score.
    pub best: Candidate,
    /// Server with the second lowest score, if at least two were usable.
    pub runner_up: Option<Candidate>,
}

/// Chooses one of the usable servers. `random` returns numbers from 0 to 1.
pub fn choose(
    servers: &[Arc<Backend>],
    criteria: &ChoiceCriteria<'_>,
    mut random: impl FnMut() -> f64,
) -> Option<Choice> {
    let usable = servers.iter().filter(|it| is_usable(it, criteria));
    let (mut best, mut runner_up): (Option<Scored>, Option<Scored>) = (None, None);
    for server in usable {
        let peer_requests = server
            .replica
            .as_ref()
            .map_or(0, |key| criteria.peer_loads.requests_at(key, criteria.now));
        let load = server.stats.estimate_load(criteria.now, peer_requests);
        let zone_penalty = if server.zone == *criteria.zone { 0.0 } else { ZONE_PENALTY };
        let share = f64::from(load.requests) / f64::from(server.slots.max(1));
        let scored = Scored { score: share + zone_penalty + random() * SCORE_JITTER, load, server };
        if best.as_ref().is_none_or(|it| scored.score < it.score) {
            runner_up = best.replace(scored);
        } else if runner_up.as_ref().is_none_or(|it| scored.score < it.score) {
            runner_up = Some(scored);
        }
    }
    Some(Choice { best: best?.into_candidate(), runner_up: runner_up.map(Scored::into_candidate) })
}

struct Scored<'a> {
    score: f64,
    load: LoadEstimate,
    server: &'a Arc<Backend>,
}

impl Scored<'_> {
    fn into_candidate(self) -> Candidate {
        Candidate { server: Arc::clone(self.server), load: self.load }
    }
}

fn is_usable(server: &Backend, criteria: &ChoiceCriteria<'_>) -> bool {
    !criteria.tried.contains(&server.id)
        && !server.stats.is_suspect(criteria.now)
        && !matches!(server.stats.breaker.state(criteria.now), BreakerState::Open { .. })
}

#[cfg(test)]
mod tests;
