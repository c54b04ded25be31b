//! Whether this process ran all the while.

use std::time::{Duration, SystemTime};

use citrongw_state::time::Time;

/// Delay of a step, or step of the time of day, from which on this process is
/// taken to have slept.
const SLEPT: Duration = Duration::from_millis(600);

/// Tells whether this process did not run for a while: its steps come late, or
/// the time of day went on without its clock.
pub(super) struct SuspensionDetector {
    stepped_at: Time,
    time_of_day: SystemTime,
}

impl SuspensionDetector {
    pub(super) fn new(now: Time) -> Self {
        Self { stepped_at: now, time_of_day: SystemTime::now() }
    }

    /// Whether it slept since the last look, when looks are `expected` apart.
    pub(super) fn was_suspended(&mut self, now: Time, expected: Duration) -> bool {
        let passed = now.since(self.stepped_at);
        let time_of_day = SystemTime::now();
        // A time of day that was set back says nothing of sleep.
        let passed_of_day = time_of_day.duration_since(self.time_of_day).unwrap_or(passed);
        (self.stepped_at, self.time_of_day) = (now, time_of_day);
        expected + SLEPT <= passed || passed + SLEPT <= passed_of_day
    }
}

#[cfg(test)]
mod tests;
