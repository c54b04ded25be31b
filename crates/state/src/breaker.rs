//! Circuit breaker of one backend server.
//!
//! After consecutive failures the server gets no requests for a pause, then
//! single probes until one succeeds. The pause doubles with each failed probe.
//! A node calls [`Breaker::state`] at selection (read-only),
//! [`Breaker::try_acquire`] right before sending, and
//! [`Breaker::record_result`] with the result. Only failures of the server
//! count: a stalled connection is closed without recording a failure if new
//! connections work.

use std::{
    sync::atomic::{AtomicU32, AtomicU64, Ordering},
    time::Duration,
};

use crate::time::Time;

/// Consecutive failures that open the breaker.
const FAILURES_TO_OPEN: u32 = 5;
/// Pause after the breaker opens, before the first probe.
const FIRST_PAUSE_MS: u64 = 500;
/// Longest pause between probes.
const MAX_PAUSE_MS: u64 = 16_000;
/// Time after which a probe without a result is abandoned.
const PROBE_TIMEOUT_MS: u64 = 10_000;

/// State of the breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerState {
    /// All requests are allowed.
    Closed,
    /// One request is allowed, to test whether the server has recovered.
    Probe,
    /// No request is allowed until a time.
    Open {
        /// Time at which a probe is allowed.
        until: Time,
    },
}

/// Circuit breaker of one backend server.
#[derive(Debug, Default)]
pub struct Breaker {
    failures: AtomicU32,
    /// Time at which the next probe is allowed, in milliseconds.
    probe_at_ms: AtomicU64,
}

impl Breaker {
    /// State at `now`, without acquiring the probe.
    pub fn state(&self, now: Time) -> BreakerState {
        if self.failures.load(Ordering::Relaxed) < FAILURES_TO_OPEN {
            return BreakerState::Closed;
        }
        let probe_at_ms = self.probe_at_ms.load(Ordering::Relaxed);
        if millis(now) < probe_at_ms {
            return BreakerState::Open { until: Time::from_millis(probe_at_ms) };
        }
        BreakerState::Probe
    }

    /// Requests permission to send. Of several concurrent calls one gets the
    /// probe.
    pub fn try_acquire(&self, now: Time) -> BreakerState {
        let state = self.state(now);
        if state != BreakerState::Probe {
            return state;
        }
        let old_ms = self.probe_at_ms.load(Ordering::Relaxed);
        let next_ms = millis(now) + PROBE_TIMEOUT_MS;
        let taken = millis(now) < old_ms
            || self
                .probe_at_ms
                .compare_exchange(old_ms, next_ms, Ordering::Relaxed, Ordering::Relaxed)
                .is_err();
        if taken {
            BreakerState::Open { until: Time::from_millis(next_ms) }
        } else {
            BreakerState::Probe
        }
    }

    /// Closes the breaker and forgets the failures.
    pub fn reset(&self) {
        self.failures.store(0, Ordering::Relaxed);
        self.probe_at_ms.store(0, Ordering::Relaxed);
    }

    /// Records the result of a request. Returns true if it opened the breaker.
    pub fn record_result(&self, now: Time, succeeded: bool) -> bool {
        if succeeded {
            self.failures.store(0, Ordering::Relaxed);
            return false;
        }
        let failures = self.failures.fetch_add(1, Ordering::Relaxed).saturating_add(1);
        if failures < FAILURES_TO_OPEN {
            return false;
        }
        let pause = pause(failures - FAILURES_TO_OPEN);
        self.probe_at_ms.store(millis(now + pause), Ordering::Relaxed);
        failures == FAILURES_TO_OPEN
    }
}

fn pause(failed_probes: u32) -> Duration {
    let pause_ms = FIRST_PAUSE_MS.saturating_mul(1 << failed_probes.min(16));
    Duration::from_millis(pause_ms.min(MAX_PAUSE_MS))
}

fn millis(time: Time) -> u64 {
    u64::try_from(time.0.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
