//! The runtime's clock as [`Time`].

use citrongw_state::time::Time;
use tokio::time::Instant;

/// Clock of this process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_at: Instant,
}

/// Starts a clock.
pub fn open() -> Clock {
    Clock { started_at: Instant::now() }
}

impl Clock {
    /// Now.
    pub fn now(self) -> Time {
        Time(self.started_at.elapsed())
    }

    /// The runtime's instant of a point in time.
    pub fn instant(self, time: Time) -> Instant {
        self.started_at + time.0
    }
}
