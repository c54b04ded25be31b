//! Small models of what stands behind the decisions: a replica that batches
//! continuously, and callers' requests.

pub mod replica;
pub mod workload;

use std::time::Duration;

use citrongw_state::time::Time;

/// Point of simulated time, from seconds.
pub fn time_of(seconds: f64) -> Time {
    Time(Duration::from_secs_f64(seconds.max(0.0)))
}

/// Simulated time in seconds.
pub fn seconds(time: Time) -> f64 {
    time.0.as_secs_f64()
}
