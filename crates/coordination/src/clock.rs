//! The runtime's monotonic clock as [`Time`].

use citrongw_state::time::Time;
use tokio::time::Instant;

/// Clock that counts from the start of this process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_at: Instant,
}

/// Starts a clock at [`Time::START`].
pub fn open() -> Clock {
    Clock { started_at: Instant::now() }
}

impl Clock {
    /// Time since the clock was started.
    pub fn now(self) -> Time {
        Time(self.started_at.elapsed())
    }

    /// Converts a time to an instant of the runtime.
    pub fn instant(self, time: Time) -> Instant {
        self.started_at + time.0
    }
}
