//! Circuit breaker of one backend server.
//!
//! After a run of failures the server takes no requests for a while, then one
//! at a time until one succeeds. The pause doubles with each failed probe. How
//! a node drives it: [`Breaker::check`] at selection (reads only),
//! [`Breaker::enter`] right before sending, [`Breaker::add`] with the result.
//! Only failures of the server count: a connection that went silent while new
//! ones work is retired without telling the breaker.

use std::{
    sync::atomic::{AtomicU32, AtomicU64, Ordering},
    time::Duration,
};

use crate::time::Time;

/// Failures in a row that open the breaker.
const FAILURES_TO_OPEN: u32 = 5;
/// First pause.
const FIRST_PAUSE_MS: u64 = 500;
/// Longest pause.
const MAX_PAUSE_MS: u64 = 16_000;
/// Time after which a probe without a result is given up.
const PROBE_TIMEOUT_MS: u64 = 10_000;

/// What the breaker lets through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerState {
    /// Everything.
    Closed,
    /// One request, to see whether the server works again.
    Probe,
    /// Nothing until a time.
    Open {
        /// When a probe may go.
        until: Time,
    },
}

/// Breaker of one backend server.
#[derive(Debug, Default)]
pub struct Breaker {
    failures: AtomicU32,
    /// When a probe may go, in milliseconds.
    probe_at_ms: AtomicU64,
}

impl Breaker {
    /// What would be let through now.
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

    /// Takes the right to send. Of several that ask at once one gets the probe.
    pub fn try_acquire(&self, now: Time) -> BreakerState {
        let pass = self.state(now);
        if pass != BreakerState::Probe {
            return pass;
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

    /// Takes in the result of a request. True if it opened the breaker.
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
