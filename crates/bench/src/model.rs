//! Simplified models of the systems around the routing decisions: a replica
//! with continuous batching, and the request workload.

pub mod replica;
pub mod workload;

use std::time::Duration;

use citrongw_state::time::Time;

/// Converts seconds to simulated time.
pub fn time_of(seconds: f64) -> Time {
    Time(Duration::from_secs_f64(seconds.max(0.0)))
}

/// Converts simulated time to seconds.
pub fn seconds(time: Time) -> f64 {
    time.0.as_secs_f64()
}
