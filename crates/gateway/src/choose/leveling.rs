//! Distribution of expected arrivals by water filling: they go to the least loaded
//! servers until those are as loaded as the next ones.

/// Load of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Level {
    /// Load as a share of the slots, or predicted time to the first event in milliseconds.
    pub(super) load: f64,
    /// Requests that raise the load by one.
    pub(super) capacity: f64,
}

/// Picks a server at random, in proportion to the part of `arrivals` that it gets
/// if they level the load. Without arrivals it is one of the least loaded. None
/// if there is no server. `random` is from 0 to 1.
pub(super) fn pick(servers: &[Level], arrivals: f64, random: f64) -> Option<usize> {
    let lowest = servers.iter().map(|it| it.load).min_by(f64::total_cmp)?;
    let water_level = water_level(servers, arrivals);
    let weight = |it: &Level| {
        if lowest < water_level {
            it.capacity * (water_level - it.load).max(0.0)
        } else if it.load <= lowest {
            it.capacity
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

/// Load up to which `arrivals` fill the servers.
fn water_level(servers: &[Level], arrivals: f64) -> f64 {
    let mut sorted = servers.to_vec();
    sorted.sort_by(|a, b| a.load.total_cmp(&b.load));
    let (mut capacity, mut requests, mut water_level) = (0.0, 0.0, 0.0);
    for server in sorted {
        if 0.0 < capacity && water_level <= server.load {
            break;
        }
        capacity += server.capacity;
        requests += server.capacity * server.load;
        water_level = (arrivals + requests) / capacity;
    }
    water_level
}

#[cfg(test)]
mod tests;
