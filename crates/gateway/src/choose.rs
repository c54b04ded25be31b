//! Choice of a backend server for one attempt of a request.
//!
//! Answers the load of many nodes that each see only a part of it: the least
//! estimated load for the server's size wins, and a small random part keeps
//! nodes with the same picture from all choosing the same server.

use std::sync::Arc;

use citrongw_state::{
    breaker::Pass,
    id::{AvailabilityZone, InstanceId},
    time::Time,
};

use crate::{fleet::Backend, load_board::LoadBoard};

/// Load, as a share of its slots, up to which two servers count as alike.
const RANDOM_SHARE: f64 = 0.08;
/// Load, as a share of its slots, that a server in another zone has to be
/// ahead by, for the traffic between zones has its price.
const ZONE_SHARE: f64 = 0.04;

/// What a choice depends on beside the servers.
#[derive(Debug, Clone, Copy)]
pub struct Wish<'a> {
    /// Zone of this node.
    pub zone: &'a AvailabilityZone,
    /// Servers that the request was sent to.
    pub tried: &'a [InstanceId],
    /// Requests of the other nodes.
    pub board: &'a LoadBoard,
    /// Now.
    pub now: Time,
}

/// Chooses among the servers; `random` gives numbers from 0 to 1.
pub fn choose(
    servers: &[Arc<Backend>],
    wish: &Wish<'_>,
    mut random: impl FnMut() -> f64,
) -> Option<Arc<Backend>> {
    let usable = servers.iter().filter(|it| is_usable(it, wish));
    let scored = usable.map(|it| {
        let others = it.replica.as_ref().map_or(0, |key| wish.board.others_at(key, wish.now));
        let load = f64::from(it.stats.estimated_load(wish.now, others));
        let other_zone = if it.zone == *wish.zone { 0.0 } else { ZONE_SHARE };
        (load / f64::from(it.slots.max(1)) + other_zone + random() * RANDOM_SHARE, it)
    });
    let least = scored.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
    Some(Arc::clone(least.1))
}

fn is_usable(server: &Backend, wish: &Wish<'_>) -> bool {
    !wish.tried.contains(&server.id)
        && !server.stats.is_suspect(wish.now)
        && !matches!(server.stats.breaker.check(wish.now), Pass::Open { .. })
}

#[cfg(test)]
mod tests;
