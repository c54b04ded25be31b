//! Breaker: when calls have failed in a row for some time, none is sent for a
//! while; then one is, and its end decides. A short fault opens no breaker, so
//! that nothing is turned away after it.

use std::time::Duration;

use citrongw_state::time::Time;
use rand::Rng;

/// Failures in a row that open the breaker, if they took [`FAILING`].
const MAX_FAILURES: u32 = 5;
/// Time of failures after which the breaker opens.
const FAILING: Duration = Duration::from_secs(3);
/// First pause without calls.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause without calls.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Time after which a trial that has not ended counts as failed.
const TRIAL_LOST: Duration = Duration::from_secs(10);

/// Leave to make a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Permit {
    /// The breaker is closed.
    Normal,
    /// The call tries whether the service answers again.
    Trial,
}

/// Breaker of one service.
#[derive(Debug, Default)]
pub(super) struct Breaker {
    failures: u32,
    failing_since: Option<Time>,
    open: bool,
    pauses: u32,
    closed_at: Time,
    trial_since: Option<Time>,
}

impl Breaker {
    /// Asks to make a call.
    pub(super) fn acquire(&mut self, now: Time) -> Option<Permit> {
        if !self.open {
            return Some(Permit::Normal);
        }
        let trying = self.trial_since.is_some_and(|at| now.since(at) < TRIAL_LOST);
        if now < self.closed_at || trying {
            return None;
        }
        self.trial_since = Some(now);
        Some(Permit::Trial)
    }

    /// Gives back a permit that was not used.
    pub(super) fn release(&mut self, permit: Permit) {
        if permit == Permit::Trial {
            self.trial_since = None;
        }
    }

    /// Notes how a call ended.
    pub(super) fn record(&mut self, permit: Permit, answered: bool, now: Time) {
        self.release(permit);
        if answered {
            *self = Self::default();
            return;
        }
        self.failures = self.failures.saturating_add(1);
        let failing = now.since(*self.failing_since.get_or_insert(now));
        let opens = !self.open && MAX_FAILURES <= self.failures && FAILING <= failing;
        if opens || permit == Permit::Trial {
            self.open = true;
            let pause = (FIRST_PAUSE * 2u32.saturating_pow(self.pauses)).min(MAX_PAUSE);
            self.pauses = (self.pauses + 1).min(8);
            self.closed_at = now + pause.mul_f64(rand::rng().random_range(0.75..1.25));
        }
    }
}
