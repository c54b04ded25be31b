//! How many requests this node may have on one replica at once.
//!
//! The limit follows the time to the first token: while it stays below the
//! target the limit grows by one for each round of requests that used it up,
//! and shrinks by a tenth, at most once a round, when it does not. Until it has
//! shrunk for the first time it grows by one for each request, so that long
//! streams, of which few begin in a minute, don't wait before idle replicas. How a node
//! drives it: one [`ConcurrencyLimit`] beside each replica's in-flight count;
//! [`ConcurrencyLimit::get`] at selection as `own_limit`,
//! [`ConcurrencyLimit::add`] at the first token or when a replica refuses.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::time::Time;

/// Limit at the start.
const START: f64 = 16.0;
/// Smallest limit: every node may try every replica.
const MIN: f64 = 1.0;
/// Largest limit.
const MAX: f64 = 512.0;
/// Factor at a sample over the target.
const SHRINK: f64 = 0.9;
/// Share of the limit that must be in use for it to grow.
const USED_TO_GROW: f64 = 0.75;
/// Fixed-point steps of one request.
const STEPS: f64 = 1024.0;

/// What became of a request, as far as the limit is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// The first token came after so long.
    FirstToken(Duration),
    /// The replica refused for load, or the first token came too late.
    Overloaded,
}

/// Limit of one node for one replica.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    limit_steps: AtomicU64,
    shrunk_at_ms: AtomicU64,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self { limit_steps: AtomicU64::new(to_steps(START)), shrunk_at_ms: AtomicU64::new(0) }
    }
}

impl ConcurrencyLimit {
    /// Requests at once, at most.
    pub fn get(&self) -> u32 {
        // Between MIN and MAX, so nothing is cut off.
        self.load() as u32
    }

    /// Takes in what became of a request that was sent when `in_flight` were on
    /// the replica. `target` is the first token time to keep to.
    pub fn add(&self, sample: Sample, in_flight: u32, target: Duration, now: Time) {
        match sample {
            Sample::FirstToken(time) if time <= target => self.grow(in_flight),
            Sample::FirstToken(time) => self.shrink(time, now),
            Sample::Overloaded => self.shrink(target, now),
        }
    }

    fn grow(&self, in_flight: u32) {
        let limit = self.load();
        if f64::from(in_flight) < limit * USED_TO_GROW {
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
            self.store(self.load() * SHRINK);
        }
    }

    fn load(&self) -> f64 {
        self.limit_steps.load(Ordering::Relaxed) as f64 / STEPS
    }

    // A racing sample can be lost; the next one makes up for it.
    fn store(&self, limit: f64) {
        self.limit_steps.store(to_steps(limit.clamp(MIN, MAX)), Ordering::Relaxed);
    }
}

fn to_steps(limit: f64) -> u64 {
    (limit * STEPS) as u64
}

#[cfg(test)]
mod tests;
