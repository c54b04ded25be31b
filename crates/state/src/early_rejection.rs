//! Admission of requests while the servers of a model or service are full.
//!
//! Designed for many gateways that each send a few requests a second to a pool, and
//! that learn of each other's requests up to half a second late. A queue at a gateway
//! would order next to nothing, and a common threshold would make all gateways reject
//! and admit together. So a first try is rejected with a probability that rises with
//! the wait that the load of the whole pool implies. Requests that are late already are
//! not judged.

mod service_times;

use std::time::Duration;

pub use self::service_times::{Estimates, ServiceTimes};

/// Wait of the pool at which all requests of a sole priority would be rejected. The
/// probability rises to that from an empty queue. The queue is known up to 0.5 s late;
/// with a steeper rise the gateways correct the same excess several times and the queue
/// oscillates.
const RAMP: Duration = Duration::from_millis(400);
/// Lower bound of a priority's share in the requests for its part of the ramp, so that
/// a few requests of one priority are not rejected all at once.
const MIN_RAMP_SHARE: f64 = 0.2;
/// Lower bound of the ramp, as a part of the wait that still allows a response in time.
const MIN_RAMP_OF_PERMISSIBLE: f64 = 0.3;
/// Highest probability of a rejection. No class of requests is cut off altogether, and
/// what the servers' waits are remains known.
const MAX_PROBABILITY: f64 = 0.95;
/// Part of its remaining time for which a caller waits before it returns.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;
/// Shortest `Retry-After`, as a multiple of the target latency. A caller that returns
/// after more than the target latency is recognised as late and is not judged again
/// as a first try.
const MIN_RETRY_TARGETS: f64 = 1.5;
/// Largest random extension of `Retry-After`, as a part of it.
const RETRY_SPREAD: f64 = 1.0;
/// Load of all usable servers of a request as its gateway estimates it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PoolLoad {
    /// Requests running or waiting.
    pub requests: f64,
    /// Requests that can run at once.
    pub slots: f64,
}

impl PoolLoad {
    /// Expected wait for a slot of a request that arrives now.
    pub fn wait(&self, hold: Duration) -> Duration {
        if self.slots <= 0.0 {
            return Duration::ZERO;
        }
        hold.mul_f64((self.requests - self.slots).max(0.0) / self.slots)
    }
}

/// Caller's first try of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FirstTry {
    /// Time to the first event that users expect.
    pub target_latency: Duration,
    /// Time that the caller still waits.
    pub remaining: Duration,
}

/// Why and how a first try is rejected or admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Judgement {
    /// Expected time to the first event.
    pub estimate: Duration,
    /// Probability with which such a request is rejected.
    pub probability: f64,
    /// Delay after which the caller may return; none if the request is admitted.
    pub retry_after: Option<Duration>,
}

/// Decides on a first try. `random` and `spread` are from 0 to 1.
pub fn judge(
    request: &FirstTry,
    pool: &PoolLoad,
    times: &Estimates,
    random: f64,
    spread: f64,
) -> Judgement {
    let wait = times.wait(pool.wait(times.hold));
    let permissible = request.target_latency.saturating_sub(times.first_event);
    let ramp = RAMP
        .mul_f64(times.wait_factor * times.share.max(MIN_RAMP_SHARE))
        .max(permissible.mul_f64(MIN_RAMP_OF_PERMISSIBLE));
    let probability = (wait.as_secs_f64() / ramp.as_secs_f64()).min(MAX_PROBABILITY);
    let retry_after = (random < probability).then(|| retry_after(request, wait, spread));
    Judgement { estimate: wait + times.first_event, probability, retry_after }
}

fn retry_after(request: &FirstTry, wait: Duration, spread: f64) -> Duration {
    let shortest = request.target_latency.mul_f64(MIN_RETRY_TARGETS);
    let longest = request.remaining.mul_f64(MAX_RETRY_SHARE);
    let drained = wait.max(shortest).mul_f64(1.0 + RETRY_SPREAD * spread);
    drained.min(longest)
}

#[cfg(test)]
mod tests;
