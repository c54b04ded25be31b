//! Levels of cold servers.
//!
//! A server that has just started is empty, and would be the best choice of every request
//! at every gateway at once. While cold it is at least as loaded as the least loaded of
//! the warm servers: it shares their requests and permits limit it to what it tolerates,
//! while requests without a permit find warm servers. With the mean of the warm ones as
//! its level, a gateway with fresh loads would hardly ever choose it, and the others would
//! fill up. Where all servers are cold, their own loads count.

use super::leveling::Level;

/// Raises the levels of cold servers to the lowest of the warm ones.
pub(super) fn raise_levels(levels: &mut [Level], is_cold: impl Iterator<Item = bool>) {
    let is_cold: Vec<bool> = is_cold.collect();
    if !is_cold.contains(&true) {
        return;
    }
    let warm = levels.iter().zip(&is_cold).filter(|(_, is_cold)| !**is_cold);
    let lowest = warm.map(|(level, _)| level.load).min_by(f64::total_cmp);
    let Some(lowest) = lowest else { return };
    let cold = levels.iter_mut().zip(&is_cold).filter(|(_, is_cold)| **is_cold);
    cold.for_each(|(level, _)| level.load = level.load.max(lowest));
}

#[cfg(test)]
mod tests;
