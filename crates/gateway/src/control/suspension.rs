//! Detection of suspensions of this process.

use std::time::{Duration, SystemTime};

use citrongw_state::time::Time;

/// Delay of a step, or jump of the system time against the monotonic clock, from
/// which on the process counts as suspended.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(600);

/// Detects that this process was suspended: its steps are late, or the system
/// time advanced while its monotonic clock did not.
pub(super) struct SuspensionDetector {
    last_step_at: Time,
    system_time: SystemTime,
}

impl SuspensionDetector {
    pub(super) fn new(now: Time) -> Self {
        Self { last_step_at: now, system_time: SystemTime::now() }
    }

    /// Whether the process was suspended since the last call, when calls are
    /// expected every `expected`.
    pub(super) fn was_suspended(&mut self, now: Time, expected: Duration) -> bool {
        let elapsed = now.since(self.last_step_at);
        let system_time = SystemTime::now();
        // A system time that was set back does not indicate a suspension.
        let elapsed_system_time = system_time.duration_since(self.system_time).unwrap_or(elapsed);
        (self.last_step_at, self.system_time) = (now, system_time);
        expected + SUSPENSION_THRESHOLD <= elapsed
            || elapsed + SUSPENSION_THRESHOLD <= elapsed_system_time
    }
}

#[cfg(test)]
mod tests;
