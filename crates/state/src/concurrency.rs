//! Adaptive limit of the concurrent requests of this node on one replica.
//!
//! The limit follows the time to the first token. While that stays below the
//! target, the limit grows by one for each round of requests that used most of
//! it; otherwise it shrinks by a tenth, at most once per round. Until it has
//! shrunk for the first time, it grows by one for each request, so that long
//! streams, of which few start per minute, do not queue while replicas are
//! idle. A node keeps one [`ConcurrencyLimit`] per replica, passes
//! [`ConcurrencyLimit::get`] to the selection as `own_limit`, and calls
//! [`ConcurrencyLimit::add`] at the first token or when a replica rejects a
//! request.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::time::Time;

/// Initial limit.
const INITIAL_LIMIT: f64 = 16.0;
/// Smallest limit, so that every node can try every replica.
const MIN_LIMIT: f64 = 1.0;
/// Largest limit.
const MAX_LIMIT: f64 = 512.0;
/// Factor applied when a sample exceeds the target.
const SHRINK_FACTOR: f64 = 0.9;
/// Fraction of the limit that must be in use for the limit to grow.
const MIN_USED_FRACTION: f64 = 0.75;
/// Fixed-point units per request.
const STEPS_PER_REQUEST: f64 = 1024.0;

/// Result of a request that affects the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// Time to the first token.
    FirstToken(Duration),
    /// The replica rejected the request because of its load, or the first token
    /// came too late.
    Overloaded,
}

/// Concurrency limit of one node for one replica.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    limit_steps: AtomicU64,
    shrunk_at_ms: AtomicU64,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            limit_steps: AtomicU64::new(to_steps(INITIAL_LIMIT)),
            shrunk_at_ms: AtomicU64::new(0),
        }
    }
}

impl ConcurrencyLimit {
    /// Maximum number of concurrent requests.
    pub fn get(&self) -> u32 {
        // The value is between MIN_LIMIT and MAX_LIMIT, so the cast does not
        // overflow.
        self.load() as u32
    }

    /// Records the result of a request that was sent when `in_flight` requests
    /// of this node were on the replica. `target` is the target time to the
    /// first token.
    pub fn add(&self, sample: Sample, in_flight: u32, target: Duration, now: Time) {
        match sample {
            Sample::FirstToken(time) if time <= target => self.grow(in_flight),
            Sample::FirstToken(time) => self.shrink(time, now),
            Sample::Overloaded => self.shrink(target, now),
        }
    }

    fn grow(&self, in_flight: u32) {
        let limit = self.load();
        if f64::from(in_flight) < limit * MIN_USED_FRACTION {
            return;
        }
        let has_shrunk = self.shrunk_at_ms.load(Ordering::Relaxed) != 0;
        self.store(limit + if has_shrunk { 1.0 / limit } else { 1.0 });
    }

    fn shrink(&self, round: Duration, now: Time) {
        let now_ms = u64::try_from(now.0.as_millis()).unwrap_or(u64::MAX);
        let round_ms = u64::try_from(round.as_millis()).unwrap_or(u64::MAX);
        let last_ms = self.shrunk_at_ms.load(Ordering::Relaxed);
        let is_same_round = last_ms != 0 && now_ms < last_ms.saturating_add(round_ms);
        if is_same_round {
            return;
        }
        let swap = self.shrunk_at_ms.compare_exchange(
            last_ms,
            now_ms.max(1),
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        if swap.is_ok() {
            self.store(self.load() * SHRINK_FACTOR);
        }
    }

    fn load(&self) -> f64 {
        self.limit_steps.load(Ordering::Relaxed) as f64 / STEPS_PER_REQUEST
    }

    // A concurrent sample can be lost; the next one compensates for it.
    fn store(&self, limit: f64) {
        self.limit_steps.store(to_steps(limit.clamp(MIN_LIMIT, MAX_LIMIT)), Ordering::Relaxed);
    }
}

fn to_steps(limit: f64) -> u64 {
    (limit * STEPS_PER_REQUEST) as u64
}

#[cfg(test)]
mod tests;
