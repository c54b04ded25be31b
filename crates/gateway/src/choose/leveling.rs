//! Distribution of expected arrivals by water filling: they go to the least loaded
//! servers until those are as loaded as the next ones.

/// Load of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Level {
    /// Load as a share of the slots.
    pub(super) load_share: f64,
    /// Slots of the server.
    pub(super) slots: f64,
}

/// Picks a server at random, in proportion to the part of `arrivals` that it gets
/// if they level the load. Without arrivals it is one of the least loaded. None
/// if there is no server. `random` is from 0 to 1.
pub(super) fn pick(servers: &[Level], arrivals: f64, random: f64) -> Option<usize> {
    let lowest = servers.iter().map(|it| it.load_share).min_by(f64::total_cmp)?;
    let water_level = water_level(servers, arrivals);
    let weight = |it: &Level| {
        if lowest < water_level {
            it.slots * (water_level - it.load_share).max(0.0)
        } else if it.load_share <= lowest {
            it.slots
        } else {
            0.0
        }
    };
    let mut remaining = random * servers.iter().map(weight).sum::<f64>();
    let weighted = servers.iter().enumerate().filter(|(_, it)| 0.0 < weight(it));
    let mut last = None;
    for (idx, server) in weighted {
        last = Some(idx);
        remaining -= weight(server);
        if remaining < 0.0 {
            break;
        }
    }
    last
}

/// Load share up to which `arrivals` fill the servers.
fn water_level(servers: &[Level], arrivals: f64) -> f64 {
    let mut sorted = servers.to_vec();
    sorted.sort_by(|a, b| a.load_share.total_cmp(&b.load_share));
    let (mut slots, mut requests, mut water_level) = (0.0, 0.0, 0.0);
    for server in sorted {
        if 0.0 < slots && water_level <= server.load_share {
            break;
        }
        slots += server.slots;
        requests += server.slots * server.load_share;
        water_level = (arrivals + requests) / slots;
    }
    water_level
}

#[cfg(test)]
mod tests;
