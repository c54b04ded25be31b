//! Distribution of expected arrivals so that they level the load.

/// Load of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Level {
    /// Load as a share of the slots.
    pub(super) height: f64,
    /// Slots of the server.
    pub(super) slots: f64,
}

/// Picks a server at random, in proportion to the part of `arrivals` that it gets
/// if they level the load. Without arrivals it is one of the least loaded. None
/// if there is no server. `random` is from 0 to 1.
pub(super) fn pick(servers: &[Level], arrivals: f64, random: f64) -> Option<usize> {
    let lowest = servers.iter().map(|it| it.height).min_by(f64::total_cmp)?;
    let surface = surface(servers, arrivals);
    let weight = |it: &Level| match lowest < surface {
        true => it.slots * (surface - it.height).max(0.0),
        false => {
            if it.height <= lowest {
                it.slots
            } else {
                0.0
            }
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

/// Height up to which `arrivals` fill the servers.
fn surface(servers: &[Level], arrivals: f64) -> f64 {
    let mut sorted = servers.to_vec();
    sorted.sort_by(|a, b| a.height.total_cmp(&b.height));
    let (mut slots, mut filled, mut surface) = (0.0, 0.0, 0.0);
    for server in sorted {
        if 0.0 < slots && surface <= server.height {
            break;
        }
        slots += server.slots;
        filled += server.slots * server.height;
        surface = (arrivals + filled) / slots;
    }
    surface
}

#[cfg(test)]
mod tests;
