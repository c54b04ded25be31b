//! Detection of members that are slower than their peers.
//!
//! A replica is as slow as its slowest member. Each member's step time is
//! smoothed and compared with the median of its peers. A member that stays far
//! above the median is a straggler until its step time falls back close to it.
//! Only a limited share of the peers counts as stragglers at once: if many are
//! slow, they have a common cause outside the members.

use std::{collections::BTreeMap, time::Duration};

use crate::{id::InstanceId, time::Time};

/// Step time above which a member is slow, as a multiple of the median.
const SLOW_FACTOR: f32 = 2.0;
/// Step time below which a straggler has recovered, as a multiple of the
/// median.
const RECOVERY_FACTOR: f32 = 1.3;
/// Time for which a member must stay slow to be a straggler.
const MIN_SLOW_TIME: Duration = Duration::from_secs(10);
/// The number of peers divided by this is the maximum number of stragglers.
const MAX_STRAGGLERS_DIVISOR: usize = 8;
/// Minimum number of peers for a comparison.
const MIN_PEERS: usize = 3;
/// Weight of a new sample in the exponential moving average.
const SMOOTHING: f32 = 0.3;

/// Smoothed step times of a group of peers.
#[derive(Debug, Clone, Default)]
pub struct StepTimes {
    members: BTreeMap<InstanceId, SmoothedStep>,
}

#[derive(Debug, Clone, Copy)]
struct SmoothedStep {
    step_ms: f32,
    slow_since: Option<Time>,
    straggler: bool,
}

impl StepTimes {
    /// Records a member's step time, in milliseconds.
    pub fn record(&mut self, instance: &InstanceId, step_ms: f32) {
        let new = SmoothedStep { step_ms, slow_since: None, straggler: false };
        let step = self.members.entry(instance.clone()).or_insert(new);
        step.step_ms += (step_ms - step.step_ms) * SMOOTHING;
    }

    /// Keeps only the members for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(&InstanceId) -> bool) {
        self.members.retain(|instance, _| keep(instance));
    }

    /// Compares all members with their median and returns the stragglers.
    pub fn find_stragglers(&mut self, now: Time) -> Vec<InstanceId> {
        let Some(median) = self.median() else { return Vec::new() };
        for step in self.members.values_mut() {
            if step.step_ms < median * RECOVERY_FACTOR {
                step.slow_since = None;
                step.straggler = false;
            } else if median * SLOW_FACTOR < step.step_ms {
                step.slow_since.get_or_insert(now);
            }
        }
        let cap = (self.members.len() / MAX_STRAGGLERS_DIVISOR).max(1);
        let mut available =
            cap.saturating_sub(self.members.values().filter(|it| it.straggler).count());
        for step in self.members.values_mut() {
            let lasting = step.slow_since.is_some_and(|it| MIN_SLOW_TIME <= now.since(it));
            if lasting && !step.straggler && 0 < available {
                step.straggler = true;
                available -= 1;
            }
        }
        let stragglers = self.members.iter().filter(|(_, it)| it.straggler);
        stragglers.map(|(instance, _)| instance.clone()).collect()
    }

    fn median(&self) -> Option<f32> {
        if self.members.len() < MIN_PEERS {
            return None;
        }
        let mut steps: Vec<f32> = self.members.values().map(|it| it.step_ms).collect();
        steps.sort_by(f32::total_cmp);
        Some(steps[steps.len() / 2])
    }
}

#[cfg(test)]
mod tests;
