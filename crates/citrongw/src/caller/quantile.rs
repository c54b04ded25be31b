//! Running estimate of the time that 95 in 100 samples stay below.
//!
//! Each sample moves the estimate up or down by a small share of itself, in
//! such proportion that it rests where one sample in twenty is above it.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Estimate before the first samples.
const START: Duration = Duration::from_millis(100);
/// Smallest estimate.
const MIN_US: f64 = 100.0;
/// Step down for a sample below, as a share of the estimate.
const STEP_DOWN: f64 = 0.005;
/// Step up for a sample above: nineteen times as large.
const STEP_UP: f64 = STEP_DOWN * 19.0;

/// Estimate that many requests add to without a lock.
#[derive(Debug)]
pub(super) struct P95 {
    estimate_us: AtomicU64,
}

impl Default for P95 {
    fn default() -> Self {
        Self { estimate_us: AtomicU64::new(micros(START)) }
    }
}

impl P95 {
    /// Takes in a sample. A racing sample may be lost.
    pub(super) fn add(&self, sample: Duration) {
        let estimate = self.estimate_us.load(Ordering::Relaxed) as f64;
        let is_above = estimate < sample.as_micros() as f64;
        let factor = if is_above { 1.0 + STEP_UP } else { 1.0 - STEP_DOWN };
        let next = (estimate * factor).max(MIN_US);
        self.estimate_us.store(next as u64, Ordering::Relaxed);
    }

    /// The estimate.
    pub(super) fn get(&self) -> Duration {
        Duration::from_micros(self.estimate_us.load(Ordering::Relaxed))
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
