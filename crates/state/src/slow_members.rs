//! Members that are slower than their peers.
//!
//! A replica is as slow as its slowest member. Each member's step time is
//! smoothed and compared with the median of its peers; one that stays far above
//! it is a straggler until it comes well back. Never more than a set share of
//! the peers is called so at once: if many are slow, the cause is elsewhere.

use std::{collections::BTreeMap, time::Duration};

use crate::{id::InstanceId, time::Time};

/// Step time above which a member is slow, as a multiple of the median.
const SLOW_FACTOR: f32 = 2.0;
/// Step time below which it is no more.
const WELL_FACTOR: f32 = 1.3;
/// Time for which it must stay slow.
const SLOW_FOR: Duration = Duration::from_secs(10);
/// Share of the peers that may be called stragglers, as one part in so many.
const CAP_PARTS: usize = 8;
/// Peers below which no comparison is made.
const LEAST_PEERS: usize = 3;
/// Weight of a new value in the smoothed one.
const SMOOTHING: f32 = 0.3;

/// Step times of a group of peers.
#[derive(Debug, Clone, Default)]
pub struct StepTimes {
    members: BTreeMap<InstanceId, Pace>,
}

#[derive(Debug, Clone, Copy)]
struct Pace {
    step_ms: f32,
    slow_since: Option<Time>,
    straggler: bool,
}

impl StepTimes {
    /// Takes in a member's step time.
    pub fn record(&mut self, instance: &InstanceId, step_ms: f32) {
        let new = Pace { step_ms, slow_since: None, straggler: false };
        let pace = self.members.entry(instance.clone()).or_insert(new);
        pace.step_ms += (step_ms - pace.step_ms) * SMOOTHING;
    }

    /// Keeps only the members that `wanted` takes.
    pub fn retain(&mut self, wanted: impl Fn(&InstanceId) -> bool) {
        self.members.retain(|instance, _| wanted(instance));
    }

    /// Compares all with their median, and gives the stragglers.
    pub fn find_stragglers(&mut self, now: Time) -> Vec<InstanceId> {
        let Some(median) = self.median() else { return Vec::new() };
        for pace in self.members.values_mut() {
            if pace.step_ms < median * WELL_FACTOR {
                pace.slow_since = None;
                pace.straggler = false;
            } else if median * SLOW_FACTOR < pace.step_ms {
                pace.slow_since.get_or_insert(now);
            }
        }
        let cap = (self.members.len() / CAP_PARTS).max(1);
        let mut room = cap.saturating_sub(self.members.values().filter(|it| it.straggler).count());
        for pace in self.members.values_mut() {
            let lasting = pace.slow_since.is_some_and(|it| SLOW_FOR <= now.since(it));
            if lasting && !pace.straggler && 0 < room {
                pace.straggler = true;
                room -= 1;
            }
        }
        let stragglers = self.members.iter().filter(|(_, it)| it.straggler);
        stragglers.map(|(instance, _)| instance.clone()).collect()
    }

    fn median(&self) -> Option<f32> {
        if self.members.len() < LEAST_PEERS {
            return None;
        }
        let mut steps: Vec<f32> = self.members.values().map(|it| it.step_ms).collect();
        steps.sort_by(f32::total_cmp);
        Some(steps[steps.len() / 2])
    }
}

#[cfg(test)]
mod tests;
