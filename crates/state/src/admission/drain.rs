//! Rate at which a queue drains, measured while it is not empty.

use std::time::Duration;

use crate::{time::Time, unit::Tokens};

/// Time after which the weight of a measurement has halved.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Minimum measured time before the rate is used.
const MIN_MEASURED: Duration = Duration::from_millis(200);

/// Rate at which requests leave the queue, in cost per second.
#[derive(Debug, Default)]
pub(super) struct DrainRate {
    cost: f64,
    measured_s: f64,
    last_at: Time,
}

impl DrainRate {
    /// Starts a measurement when the queue becomes non-empty.
    pub(super) fn start(&mut self, now: Time) {
        self.last_at = now;
    }

    /// Records a request that left the queue.
    pub(super) fn add(&mut self, cost: Tokens, now: Time) {
        self.advance(now);
        self.cost += cost.0 as f64;
    }

    /// Reverts [`DrainRate::add`] for a request that was returned to the queue.
    pub(super) fn revert(&mut self, cost: Tokens, now: Time) {
        self.advance(now);
        self.cost = (self.cost - cost.0 as f64).max(0.0);
    }

    /// Time in which `cost` leaves the queue. The measured cost is assumed to
    /// be at least `least`, because a queue that nothing has left yet need not
    /// have a rate of zero.
    pub(super) fn time_for(&self, cost: Tokens, least: Tokens, now: Time) -> Duration {
        let measured_s = self.measured_s + now.since(self.last_at).as_secs_f64();
        if cost.0 == 0 || measured_s < MIN_MEASURED.as_secs_f64() {
            return Duration::ZERO;
        }
        let wait_s = cost.0 as f64 * measured_s / self.cost.max(least.0 as f64).max(1.0);
        Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX)
    }

    fn advance(&mut self, now: Time) {
        let passed_s = now.since(self.last_at).as_secs_f64();
        let keep = 0.5_f64.powf(passed_s / HALF_LIFE.as_secs_f64());
        self.cost *= keep;
        self.measured_s = self.measured_s * keep + passed_s;
        self.last_at = now;
    }
}
