//! Rate of calls: each takes its turn, and a few may go at once after a pause.

use std::time::Duration;

use citrongw_state::time::Time;

/// Time whose calls may go at once.
const BURST: Duration = Duration::from_secs(2);

/// Rate of one kind of call.
#[derive(Debug, Default)]
pub(super) struct Rate {
    /// Turn of the next call, were there no burst.
    next_at: Time,
}

impl Rate {
    /// Takes the next turn. Returns the time until it. A turn that is too far
    /// is not taken.
    pub(super) fn reserve(&mut self, per_s: f64, now: Time) -> Duration {
        let earliest = self.next_at.max(now);
        let wait = earliest.since(now).saturating_sub(BURST);
        if wait <= super::MAX_WAIT {
            self.next_at = earliest + Duration::from_secs_f64(1.0 / per_s);
        }
        wait
    }
}
