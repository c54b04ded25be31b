//! Circuit breaker: opens after consecutive failures over some time. While it is
//! open no call is sent, until a trial call after a pause determines whether it
//! closes. A short fault does not open it, so that no call is rejected afterwards.

use std::time::Duration;

use citrongw_state::time::Time;
use rand::Rng;

/// Consecutive failures that open the breaker, if they lasted for
/// [`MIN_FAILING_TIME`].
const MAX_FAILURES: u32 = 5;
/// Minimum duration of consecutive failures before the breaker opens.
const MIN_FAILING_TIME: Duration = Duration::from_secs(3);
/// Initial pause before a trial call.
const INITIAL_PAUSE: Duration = Duration::from_millis(500);
/// Maximum pause before a trial call.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Time after which a trial call without a result counts as failed.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Permission to make a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Permit {
    /// The breaker is closed.
    Normal,
    /// The call tests whether the service has recovered.
    Trial,
}

/// Circuit breaker for one service.
#[derive(Debug, Default)]
pub(super) struct Breaker {
    failures: u32,
    failing_since: Option<Time>,
    open: bool,
    pause_count: u32,
    retry_at: Time,
    trial_since: Option<Time>,
}

impl Breaker {
    /// Returns a permit for a call, or `None` while calls are rejected.
    pub(super) fn acquire(&mut self, now: Time) -> Option<Permit> {
        if !self.open {
            return Some(Permit::Normal);
        }
        let in_trial = self.trial_since.is_some_and(|at| now.since(at) < TRIAL_TIMEOUT);
        if now < self.retry_at || in_trial {
            return None;
        }
        self.trial_since = Some(now);
        Some(Permit::Trial)
    }

    /// Returns an unused permit.
    pub(super) fn release(&mut self, permit: Permit) {
        if permit == Permit::Trial {
            self.trial_since = None;
        }
    }

    /// Records whether the service responded to a call.
    pub(super) fn record(&mut self, permit: Permit, responded: bool, now: Time) {
        self.release(permit);
        if responded {
            *self = Self::default();
            return;
        }
        self.failures = self.failures.saturating_add(1);
        let failing = now.since(*self.failing_since.get_or_insert(now));
        let opens = !self.open && MAX_FAILURES <= self.failures && MIN_FAILING_TIME <= failing;
        if opens || permit == Permit::Trial {
            self.open = true;
            let pause = (INITIAL_PAUSE * 2u32.saturating_pow(self.pause_count)).min(MAX_PAUSE);
            self.pause_count = (self.pause_count + 1).min(8);
            self.retry_at = now + pause.mul_f64(rand::rng().random_range(0.75..1.25));
        }
    }
}
