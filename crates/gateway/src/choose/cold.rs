//! Levels of cold servers.
//!
//! A server that has just started is empty, and would be the best choice of every request
//! at every gateway at once. While cold it is at least as loaded as the mean of the warm
//! servers, so that it is chosen as often as any of them; permits limit it to what it
//! tolerates. Where all servers are cold, their own loads count.

use super::leveling::Level;

/// Raises the levels of cold servers to the mean of the warm ones.
pub(super) fn raise_levels(levels: &mut [Level], is_cold: impl Iterator<Item = bool>) {
    let is_cold: Vec<bool> = is_cold.collect();
    if !is_cold.contains(&true) {
        return;
    }
    let warm = levels.iter().zip(&is_cold).filter(|(_, is_cold)| !**is_cold);
    let (count, sum) = warm.fold((0.0, 0.0), |(count, sum), (level, _)| {
        (count + level.slots, sum + level.slots * level.load_share)
    });
    if count <= 0.0 {
        return;
    }
    let mean = sum / count;
    let cold = levels.iter_mut().zip(&is_cold).filter(|(_, is_cold)| **is_cold);
    cold.for_each(|(level, _)| level.load_share = level.load_share.max(mean));
}

#[cfg(test)]
mod tests;
