//! How fast a queue drains, measured while something waits.

use std::time::Duration;

use crate::{time::Time, unit::Tokens};

/// Time after which a measurement counts half.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Time that must have been measured before the rate is believed.
const MIN_MEASURED: Duration = Duration::from_millis(200);

/// Rate at which requests leave.
#[derive(Debug, Default)]
pub(super) struct DrainRate {
    cost: f64,
    measured_s: f64,
    last_at: Time,
}

impl DrainRate {
    /// The queue was empty and is no longer.
    pub(super) fn start(&mut self, now: Time) {
        self.last_at = now;
    }

    /// A request left.
    pub(super) fn add(&mut self, cost: Tokens, now: Time) {
        self.pass(now);
        self.cost += cost.0 as f64;
    }

    /// A request that had left came back.
    pub(super) fn take_back(&mut self, cost: Tokens, now: Time) {
        self.pass(now);
        self.cost = (self.cost - cost.0 as f64).max(0.0);
    }

    /// Time in which `cost` leaves. What was measured is taken to have held at
    /// least `least`: that nothing has left yet says little of the rate.
    pub(super) fn time_for(&self, cost: Tokens, least: Tokens, now: Time) -> Duration {
        let measured_s = self.measured_s + now.since(self.last_at).as_secs_f64();
        if cost.0 == 0 || measured_s < MIN_MEASURED.as_secs_f64() {
            return Duration::ZERO;
        }
        let wait_s = cost.0 as f64 * measured_s / self.cost.max(least.0 as f64).max(1.0);
        Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX)
    }

    fn pass(&mut self, now: Time) {
        let passed_s = now.since(self.last_at).as_secs_f64();
        let keep = 0.5_f64.powf(passed_s / HALF_LIFE.as_secs_f64());
        self.cost *= keep;
        self.measured_s = self.measured_s * keep + passed_s;
        self.last_at = now;
    }
}
