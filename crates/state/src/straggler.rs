//! Ejection of replicas that are slower than their peers.
//!
//! A replica is as slow as its slowest member. The time between tokens of each
//! replica is compared with the median of its peers. A replica that is far
//! above the median is ejected, up to a maximum share of the group, and tried
//! again after a pause that doubles each time it is still slow. A node keeps
//! one [`TokenIntervals`] per replica and records the mean time between tokens
//! of each stream ([`TokenIntervals::add`], on the request path, atomics only).
//! About once a second it calls [`Detector::tick`] for the group and publishes
//! the changes to the selection.

use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{id::ReplicaId, time::Time};

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Minimum number of samples for a decision on a replica.
const MIN_SAMPLES: u32 = 3;
/// Minimum number of replicas with enough samples for a median.
const MIN_PEERS: usize = 4;
/// Multiple of the median above which a replica is ejected.
const EJECT_FACTOR: f64 = 1.6;
/// Multiple of the median up to which an ejected replica returns.
const RETURN_FACTOR: f64 = 1.25;
/// Largest ejected share of a group.
const MAX_EJECTED_SHARE: f64 = 0.2;
/// First pause before an ejected replica is tried again.
const FIRST_PAUSE: Duration = Duration::from_secs(10);
/// Longest pause before an ejected replica is tried again.
const MAX_PAUSE: Duration = Duration::from_secs(160);

/// Moving average of the time between tokens of one replica, as observed by
/// this node.
#[derive(Debug, Default)]
pub struct TokenIntervals {
    mean_us: AtomicU64,
    samples: AtomicU64,
}

impl TokenIntervals {
    /// Records the mean time between tokens of a stream, or of a part of it.
    pub fn add(&self, between_tokens: Duration) {
        let sample = between_tokens.as_micros() as f64;
        let samples = self.samples.fetch_add(1, Ordering::Relaxed);
        let mean = self.mean_us.load(Ordering::Relaxed) as f64;
        let next = if samples == 0 { sample } else { mean + SAMPLE_WEIGHT * (sample - mean) };
        self.mean_us.store(next as u64, Ordering::Relaxed);
    }

    /// Values for the detector.
    pub fn observe(&self) -> Observation {
        Observation {
            between_tokens: Duration::from_micros(self.mean_us.load(Ordering::Relaxed)),
            samples: u32::try_from(self.samples.load(Ordering::Relaxed)).unwrap_or(u32::MAX),
        }
    }

    /// Discards the samples, so that a trial is evaluated on new ones only.
    pub fn reset(&self) {
        self.samples.store(0, Ordering::Relaxed);
    }
}

/// Speed of one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Observation {
    /// Smoothed time between tokens.
    pub between_tokens: Duration,
    /// Number of samples in the average.
    pub samples: u32,
}

/// Change of a replica's ejection state, to be applied by the selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum EjectionChange {
    /// The replica is slower than its peers and gets no requests.
    #[display("ejected: {between_tokens:?} between tokens, {median:?} among its peers")]
    Eject {
        /// Time between tokens of the replica.
        between_tokens: Duration,
        /// Median time between tokens of its peers.
        median: Duration,
    },
    /// The replica gets requests again as a trial; call
    /// [`TokenIntervals::reset`].
    #[display("tried again")]
    Try,
    /// The replica is as fast as its peers again.
    #[display("returned")]
    Return,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EjectionState {
    Ejected { until: Time, pause: Duration },
    Trial { pause: Duration },
}

/// Straggler detector of one group of replicas.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    states: BTreeMap<ReplicaId, EjectionState>,
}

impl Detector {
    /// Evaluates the group. State of replicas that are not in `group` is
    /// dropped.
    pub fn tick(
        &mut self,
        group: &[(ReplicaId, Observation)],
        now: Time,
    ) -> Vec<(ReplicaId, EjectionChange)> {
        self.states.retain(|id, _| group.iter().any(|(it, _)| it == id));
        let mut changes = self.end_pauses(now);
        let Some(median) = median(group) else { return changes };
        let mut slowest_first: Vec<_> =
            group.iter().filter(|(_, seen)| MIN_SAMPLES <= seen.samples).collect();
        slowest_first.sort_by_key(|(id, seen)| (std::cmp::Reverse(seen.between_tokens), *id));
        for &&(id, seen) in &slowest_first {
            if let Some(change) = self.evaluate(id, seen, median, group.len(), now) {
                changes.push((id, change));
            }
        }
        changes
    }

    /// Whether `id` is ejected.
    pub fn is_ejected(&self, id: ReplicaId) -> bool {
        matches!(self.states.get(&id), Some(EjectionState::Ejected { .. }))
    }

    /// Number of ejected replicas.
    pub fn ejected(&self) -> usize {
        self.states.values().filter(|it| matches!(it, EjectionState::Ejected { .. })).count()
    }

    fn end_pauses(&mut self, now: Time) -> Vec<(ReplicaId, EjectionChange)> {
        let mut changes = Vec::new();
        for (id, state) in &mut self.states {
            if let EjectionState::Ejected { until, pause } = *state
                && until <= now
            {
                *state = EjectionState::Trial { pause };
                changes.push((*id, EjectionChange::Try));
            }
        }
        changes
    }

    fn evaluate(
        &mut self,
        id: ReplicaId,
        seen: Observation,
        median: Duration,
        group_len: usize,
        now: Time,
    ) -> Option<EjectionChange> {
        let state = self.states.get(&id).copied();
        let is_slow = median.mul_f64(EJECT_FACTOR) < seen.between_tokens;
        let is_fast = seen.between_tokens <= median.mul_f64(RETURN_FACTOR);
        let pause = match state {
            Some(EjectionState::Ejected { .. }) => return None,
            Some(EjectionState::Trial { .. }) if is_fast => {
                self.states.remove(&id);
                return Some(EjectionChange::Return);
            }
            Some(EjectionState::Trial { pause }) => (pause * 2).min(MAX_PAUSE),
            None => FIRST_PAUSE,
        };
        if !is_slow || max_ejected(group_len) <= self.ejected() {
            return None;
        }
        self.states.insert(id, EjectionState::Ejected { until: now + pause, pause });
        Some(EjectionChange::Eject { between_tokens: seen.between_tokens, median })
    }
}

fn max_ejected(group_len: usize) -> usize {
    (group_len as f64 * MAX_EJECTED_SHARE) as usize
}

fn median(group: &[(ReplicaId, Observation)]) -> Option<Duration> {
    let seen = group.iter().filter(|(_, seen)| MIN_SAMPLES <= seen.samples);
    let mut times: Vec<Duration> = seen.map(|(_, seen)| seen.between_tokens).collect();
    if times.len() < MIN_PEERS {
        return None;
    }
    let middle = times.len() / 2;
    Some(*times.select_nth_unstable(middle).1)
}

#[cfg(test)]
mod tests;
