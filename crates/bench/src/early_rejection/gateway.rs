//! Gateway with an older view of the other gateways' requests.

use citrongw_state::early_rejection::{PoolLoad, ServiceTimes};
use rand::Rng;

/// Gateway of a run.
#[derive(Debug)]
pub(super) struct Gateway {
    /// Age of its view, in ticks.
    pub(super) delay: usize,
    /// Its own requests at each server.
    pub(super) own: Vec<u32>,
    /// Its own requests at each server when the view was current, by tick modulo the
    /// length.
    pub(super) own_history: Vec<Vec<u32>>,
    /// What it learned.
    pub(super) times: ServiceTimes,
}

impl Gateway {
    /// Estimated requests at each server, for `total` requests there `delay` ticks ago.
    pub(super) fn loads(&self, total: &[u32], own_then: &[u32]) -> Vec<f64> {
        let others = total.iter().zip(own_then).map(|(all, own)| all.saturating_sub(*own));
        others.zip(&self.own).map(|(others, own)| f64::from(others + own)).collect()
    }
}

/// Load of the pool.
pub(super) fn pool(loads: &[f64], is_lost: impl Fn(usize) -> bool, slots: usize) -> PoolLoad {
    let mut pool = PoolLoad::default();
    for (_, load) in loads.iter().enumerate().filter(|(index, _)| !is_lost(*index)) {
        pool.requests += load;
        pool.slots += slots as f64;
    }
    pool
}

/// Chooses a server in proportion to what it gets of the requests that are expected to
/// have arrived since the view, if those level the load.
pub(super) fn choose(
    loads: &[f64],
    excluded: impl Fn(usize) -> bool,
    arrivals: f64,
    rng: &mut impl Rng,
) -> Option<usize> {
    let mut usable: Vec<(f64, usize)> = loads
        .iter()
        .enumerate()
        .filter(|(index, _)| !excluded(*index))
        .map(|(index, load)| (*load, index))
        .collect();
    usable.sort_by(|a, b| a.0.total_cmp(&b.0));
    let lowest = usable.first()?.0;
    let (mut level, mut sum) = (0.0, 0.0);
    for (count, (load, _)) in usable.iter().enumerate() {
        if count != 0 && level <= *load {
            break;
        }
        sum += load;
        level = (arrivals + sum) / (count + 1) as f64;
    }
    let weight = |load: f64| match lowest < level {
        true => (level - load).max(0.0),
        false => f64::from(u8::from(load <= lowest)),
    };
    let total: f64 = usable.iter().map(|it| weight(it.0)).sum();
    let mut left = rng.random::<f64>() * total;
    for (load, index) in &usable {
        left -= weight(*load);
        if left < 0.0 {
            return Some(*index);
        }
    }
    usable.first().map(|it| it.1)
}
