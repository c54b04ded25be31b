//! Loads of gateways and engines, the draws of their requests, and what callers got.

use std::{fmt, time::Duration};

use citrongw_state::request_cost::{EngineFigures, StatedCost};
use rand::{Rng, rngs::SmallRng};

/// Load to play.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) figures: EngineFigures,
    pub(crate) slots: usize,
    pub(crate) replicas_per_zone: usize,
    pub(crate) gateways_per_zone: usize,
    /// Requests per second of each zone.
    pub(crate) zone_requests_per_s: &'static [f64],
    /// Delay between zones, in one direction.
    pub(crate) zone_delay: Duration,
    /// Mean of the prompt tokens, whose logarithm is normal, and their limit.
    pub(crate) prompt_tokens: (f64, f64),
    /// Mean events of the two kinds of responses.
    pub(crate) events: (f64, f64),
    /// Share of the responses of the first kind.
    pub(crate) first_kind: f64,
    /// Time to the first event that callers expect.
    pub(crate) target: Duration,
    /// Every so many replicas one is slower by this factor; none if 0.
    pub(crate) slow_every: usize,
    pub(crate) slow_factor: f64,
    /// Standard deviation of the logarithm of an estimated output relative to its length.
    pub(crate) hint_error: f64,
    /// Share of the reports that are lost.
    pub(crate) lost_reports: f64,
    /// Every so many gateways one runs an older build; none if 0.
    pub(crate) older_every: usize,
    pub(crate) length: Duration,
    pub(crate) seed: u64,
}

impl Load {
    pub(crate) fn zones(&self) -> usize {
        self.zone_requests_per_s.len()
    }

    pub(crate) fn replicas(&self) -> usize {
        self.zones() * self.replicas_per_zone
    }

    pub(crate) fn delay(&self, from: usize, to: usize) -> Duration {
        if from == to { Duration::ZERO } else { self.zone_delay }
    }

    /// Prompt tokens, events and stated cost of a request.
    pub(crate) fn draw(&self, rng: &mut SmallRng) -> (f64, u32, StatedCost) {
        let is_first_kind = rng.random::<f64>() < self.first_kind;
        let mean = if is_first_kind { self.events.0 } else { self.events.1 };
        let events = (1.0 + exponential(mean - 0.5, rng)).min(mean * 10.0) as u32;
        let (mean, most) = self.prompt_tokens;
        // The mean of a lognormal value is above its median by this factor.
        let prompt_tokens = mean * (0.75 * normal(rng) - 0.75 * 0.75 / 2.0).exp();
        let prompt_tokens = prompt_tokens.clamp(40.0, most).round();
        let hint = f64::from(events) * self.figures.stride;
        let hint = hint * (self.hint_error * normal(rng)).exp();
        let stated = StatedCost {
            prompt_tokens: Some(prompt_tokens as u32),
            max_output_tokens: None,
            output_tokens: Some(hint as u32),
        };
        (prompt_tokens, events, stated)
    }

    pub(crate) fn is_older(&self, gateway: usize) -> bool {
        self.older_every != 0 && gateway % self.older_every == 0
    }
}

/// What callers got.
#[derive(Debug)]
pub(crate) struct Outcome {
    /// Share of the requests whose first event came in time.
    pub(crate) in_time: f64,
    pub(crate) p50: Duration,
    /// Time in which 9 in 10 callers got their first event.
    pub(crate) p90: Duration,
    pub(crate) p99: Duration,
    /// Share of the requests that another zone served.
    pub(crate) away: f64,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = [self.p50, self.p90, self.p99].map(|it| it.as_millis());
        write!(f, "in time {:.3}, p50 {} p90 {} p99 {} ms", self.in_time, ms[0], ms[1], ms[2])?;
        write!(f, ", away {:.2}", self.away)
    }
}

/// Exponentially distributed value.
fn exponential(mean: f64, rng: &mut SmallRng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Normally distributed value.
fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
