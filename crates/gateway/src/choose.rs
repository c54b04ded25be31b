//! Choice of a backend server for one attempt of a request.
//!
//! Answers the load of many nodes that each see only a part of it: the least
//! estimated load for the server's size wins, and a small random part keeps
//! nodes with the same picture from all choosing the same server.

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

/// Load, as a share of its slots, up to which two servers count as alike.
const RANDOM_SHARE: f64 = 0.08;
/// Load, as a share of its slots, that a server in another zone has to be
/// ahead by, for the traffic between zones has its price.
const ZONE_SHARE: f64 = 0.04;

/// What a choice depends on beside the servers.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceCriteria<'a> {
    /// Zone of this node.
    pub zone: &'a AvailabilityZone,
    /// Servers that the request was sent to.
    pub tried: &'a [InstanceId],
    /// Requests of the other nodes.
    pub peer_loads: &'a PeerLoads,
    /// Now.
    pub now: Time,
}

/// Server as a choice saw it.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The server.
    pub server: Arc<Backend>,
    /// Its load.
    pub load: LoadEstimate,
}

/// Server that was chosen, and the next best.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The chosen one.
    pub best: Candidate,
    /// The next best, if there were two.
    pub runner_up: Option<Candidate>,
}

/// Chooses among the servers; `random` gives numbers from 0 to 1.
pub fn choose(
    servers: &[Arc<Backend>],
    wish: &ChoiceCriteria<'_>,
    mut random: impl FnMut() -> f64,
) -> Option<Choice> {
    let usable = servers.iter().filter(|it| is_usable(it, wish));
    let (mut best, mut runner_up): (Option<Scored>, Option<Scored>) = (None, None);
    for server in usable {
        let others =
            server.replica.as_ref().map_or(0, |key| wish.peer_loads.requests_at(key, wish.now));
        let load = server.stats.estimate_load(wish.now, others);
        let other_zone = if server.zone == *wish.zone { 0.0 } else { ZONE_SHARE };
        let share = f64::from(load.requests) / f64::from(server.slots.max(1));
        let scored = Scored { score: share + other_zone + random() * RANDOM_SHARE, load, server };
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

fn is_usable(server: &Backend, wish: &ChoiceCriteria<'_>) -> bool {
    !wish.tried.contains(&server.id)
        && !server.stats.is_suspect(wish.now)
        && !matches!(server.stats.breaker.state(wish.now), BreakerState::Open { .. })
}

#[cfg(test)]
mod tests;
