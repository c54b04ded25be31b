//! Running estimate of the 95th percentile of durations.
//!
//! Each sample moves the estimate up or down by a small fraction of its value. The
//! ratio of the steps makes it converge where one sample in twenty is above it.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Estimate before the first sample.
const INITIAL_ESTIMATE: Duration = Duration::from_millis(100);
/// Lower bound of the estimate.
const MIN_ESTIMATE_US: f64 = 100.0;
/// Step down for a sample below the estimate, as a fraction of the estimate.
const STEP_DOWN: f64 = 0.005;
/// Step up for a sample above the estimate: nineteen times the step down.
const STEP_UP: f64 = STEP_DOWN * 19.0;

/// Lock-free estimate that concurrent requests update.
#[derive(Debug)]
pub(super) struct P95 {
    estimate_us: AtomicU64,
}

impl Default for P95 {
    fn default() -> Self {
        Self { estimate_us: AtomicU64::new(micros(INITIAL_ESTIMATE)) }
    }
}

impl P95 {
    /// Adds a sample. One of two concurrent samples may be lost.
    pub(super) fn add(&self, sample: Duration) {
        let estimate = self.estimate_us.load(Ordering::Relaxed) as f64;
        let is_above = estimate < sample.as_micros() as f64;
        let factor = if is_above { 1.0 + STEP_UP } else { 1.0 - STEP_DOWN };
        let next = (estimate * factor).max(MIN_ESTIMATE_US);
        self.estimate_us.store(next as u64, Ordering::Relaxed);
    }

    /// Returns the current estimate.
    pub(super) fn get(&self) -> Duration {
        Duration::from_micros(self.estimate_us.load(Ordering::Relaxed))
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
