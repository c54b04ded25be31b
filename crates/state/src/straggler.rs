//! Which replicas are too slow to be sent requests.
//!
//! A replica is as slow as its slowest member. Each one's time between tokens
//! is compared with the median of its peers; one that stays far above it is
//! ejected, but never more than a set share of the group. An ejected replica
//! is tried again after a pause that doubles each time it is still slow. How a
//! node drives it: one [`TokenTimes`] beside each replica, told of each
//! stream's mean time between tokens ([`TokenTimes::add`], on the path of a
//! request, atomics only); about once a second [`Detector::tick`] over the
//! group, whose changes are put where selection reads them.

use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{id::ReplicaId, time::Time};

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Samples without which nothing is concluded.
const MIN_SAMPLES: u32 = 3;
/// Replicas with samples without which there is no median to compare with.
const MIN_PEERS: usize = 4;
/// Factor over the median from which a replica is ejected.
const EJECT_FACTOR: f64 = 1.6;
/// Factor over the median below which it returns.
const RETURN_FACTOR: f64 = 1.25;
/// Largest ejected share of a group.
const MAX_EJECTED_SHARE: f64 = 0.2;
/// First pause before an ejected replica is tried again.
const FIRST_PAUSE: Duration = Duration::from_secs(10);
/// Longest such pause.
const MAX_PAUSE: Duration = Duration::from_secs(160);

/// Times between tokens of one replica, as this node saw them.
#[derive(Debug, Default)]
pub struct TokenIntervals {
    mean_us: AtomicU64,
    samples: AtomicU64,
}

impl TokenIntervals {
    /// Takes in the mean time between tokens of a stream, or of a part of it.
    pub fn add(&self, between_tokens: Duration) {
        let sample = between_tokens.as_micros() as f64;
        let samples = self.samples.fetch_add(1, Ordering::Relaxed);
        let mean = self.mean_us.load(Ordering::Relaxed) as f64;
        let next = if samples == 0 { sample } else { mean + SAMPLE_WEIGHT * (sample - mean) };
        self.mean_us.store(next as u64, Ordering::Relaxed);
    }

    /// What the detector reads.
    pub fn observe(&self) -> Observation {
        Observation {
            between_tokens: Duration::from_micros(self.mean_us.load(Ordering::Relaxed)),
            samples: u32::try_from(self.samples.load(Ordering::Relaxed)).unwrap_or(u32::MAX),
        }
    }

    /// Forgets what was seen, so that a trial is judged by itself.
    pub fn reset(&self) {
        self.samples.store(0, Ordering::Relaxed);
    }
}

/// Speed of one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Observation {
    /// Smoothed time between tokens.
    pub between_tokens: Duration,
    /// Samples that it rests on.
    pub samples: u32,
}

/// Change that selection must be told of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum EjectionChange {
    /// Slower than its peers: send nothing.
    #[display("ejected: {between_tokens:?} between tokens, {median:?} among its peers")]
    Eject {
        /// Its time between tokens.
        between_tokens: Duration,
        /// Median of its peers.
        median: Duration,
    },
    /// Send again to see; call [`TokenTimes::reset`].
    #[display("tried again")]
    Try,
    /// As fast as its peers again.
    #[display("returned")]
    Return,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    Ejected { until: Time, pause: Duration },
    Trial { pause: Duration },
}

/// Detector of one group of replicas.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    standings: BTreeMap<ReplicaId, Standing>,
}

impl Detector {
    /// Judges the group. A replica that is not in `group` is forgotten.
    pub fn tick(
        &mut self,
        group: &[(ReplicaId, Observation)],
        now: Time,
    ) -> Vec<(ReplicaId, EjectionChange)> {
        self.standings.retain(|id, _| group.iter().any(|(it, _)| it == id));
        let mut changes = self.end_pauses(now);
        let Some(median) = median(group) else { return changes };
        let mut slowest_first: Vec<_> =
            group.iter().filter(|(_, seen)| MIN_SAMPLES <= seen.samples).collect();
        slowest_first.sort_by_key(|(id, seen)| (std::cmp::Reverse(seen.between_tokens), *id));
        for &&(id, seen) in &slowest_first {
            if let Some(change) = self.judge(id, seen, median, group.len(), now) {
                changes.push((id, change));
            }
        }
        changes
    }

    /// Whether `id` is ejected.
    pub fn is_ejected(&self, id: ReplicaId) -> bool {
        matches!(self.standings.get(&id), Some(Standing::Ejected { .. }))
    }

    /// Number of ejected replicas.
    pub fn ejected(&self) -> usize {
        self.standings.values().filter(|it| matches!(it, Standing::Ejected { .. })).count()
    }

    fn end_pauses(&mut self, now: Time) -> Vec<(ReplicaId, EjectionChange)> {
        let mut changes = Vec::new();
        for (id, standing) in &mut self.standings {
            if let Standing::Ejected { until, pause } = *standing
                && until <= now
            {
                *standing = Standing::Trial { pause };
                changes.push((*id, EjectionChange::Try));
            }
        }
        changes
    }

    fn judge(
        &mut self,
        id: ReplicaId,
        seen: Observation,
        median: Duration,
        group_len: usize,
        now: Time,
    ) -> Option<EjectionChange> {
        let standing = self.standings.get(&id).copied();
        let is_slow = median.mul_f64(EJECT_FACTOR) < seen.between_tokens;
        let is_fast = seen.between_tokens <= median.mul_f64(RETURN_FACTOR);
        let pause = match standing {
            Some(Standing::Ejected { .. }) => return None,
            Some(Standing::Trial { .. }) if is_fast => {
                self.standings.remove(&id);
                return Some(EjectionChange::Return);
            }
            Some(Standing::Trial { pause }) => (pause * 2).min(MAX_PAUSE),
            None => FIRST_PAUSE,
        };
        if !is_slow || max_ejected(group_len) <= self.ejected() {
            return None;
        }
        self.standings.insert(id, Standing::Ejected { until: now + pause, pause });
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
