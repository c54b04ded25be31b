//! Rate limiter that reserves a time slot for each call and allows a burst after
//! an idle period.

use std::time::Duration;

use citrongw_state::time::Time;

/// Idle time that is credited to a burst of calls.
const BURST: Duration = Duration::from_secs(2);

/// Rate limiter for one kind of call.
#[derive(Debug, Default)]
pub(super) struct Rate {
    /// Slot of the next call, before the burst allowance is applied.
    next_at: Time,
}

impl Rate {
    /// Reserves the next slot and returns the time until it. A slot beyond
    /// `MAX_WAIT` is not reserved.
    pub(super) fn reserve(&mut self, per_s: f64, now: Time) -> Duration {
        let earliest = self.next_at.max(now);
        let wait = earliest.since(now).saturating_sub(BURST);
        if wait <= super::MAX_WAIT {
            self.next_at = earliest + Duration::from_secs_f64(1.0 / per_s);
        }
        wait
    }
}
