//! Servers that have just started: while cold, a server tolerates few requests a second
//! and crashes well above that.
//!
//! Designed for many gateways that each send a small part of the requests, and that learn
//! of a server at different times. [`tracker`] decides which servers are cold, from what
//! one gateway knows. [`permits`] limits the requests of all gateways together: the
//! granter of the server grants most of what it tolerates, a substitute a small part, and
//! gateways that reach neither use shares that need no messages.

pub mod permits;
pub mod tracker;

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::unit::RequestsPerSecond;

/// Part of what a cold server tolerates that its granter grants.
const GRANTER_PART: f64 = 0.9;
/// Part that a substitute grants while some gateways may still reach the granter.
const SUBSTITUTE_PART: f64 = 0.2;
/// Requests that the bound allows in a second for each that is granted on average. A
/// service whose bound is closer to what its servers tolerate gets fewer.
const MIN_HEADROOM: f64 = 1.7;
/// Capacity of a bucket, as the time that it takes to fill: little more than the
/// differences between the times from permits to requests.
const CAPACITY: Duration = Duration::from_millis(100);
/// Requests of the granter that reach the server in one second for each that it grants
/// in one: gateways with little of a core send some later than others.
const COMPRESSION: f64 = 1.1;
/// Standard deviations between the mean and the bound of the requests that gateways send
/// by shares, whose times are independent.
const SHARE_DEVIATIONS: f64 = 4.5;
/// Part of the gateways that may be cut off while the granter is in use. If more are, it
/// gets fewer requests.
const CUT_OFF_PART: f64 = 0.5;

/// Cold phase of a service's servers, from the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Display)]
#[display("{per_s} for {duration:?}")]
pub struct ColdStart {
    /// Time from the start of a server until it is warm.
    pub duration: Duration,
    /// Requests that a cold server tolerates.
    pub per_s: RequestsPerSecond,
}

impl ColdStart {
    /// Cold phase with these figures; none if one of them is not above zero.
    pub fn from_figures(duration_s: f64, per_s: f64) -> Option<Self> {
        let duration = Duration::try_from_secs_f64(duration_s).ok()?;
        let is_limited = !duration.is_zero() && per_s.is_finite() && 0.0 < per_s;
        is_limited.then_some(Self { duration, per_s: RequestsPerSecond(per_s) })
    }
}

/// How far the requests of one second may exceed what a cold server tolerates, from the
/// settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Factor.
    pub overage: f64,
    /// Requests in addition.
    pub slack: f64,
}

/// Limit of a cold server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdLimit {
    /// Requests that the server tolerates.
    pub per_s: RequestsPerSecond,
    /// Bound of the requests in any one second.
    pub max_in_1s: f64,
}

impl ColdLimit {
    /// Limit of a server with this cold phase.
    pub fn new(start: ColdStart, bounds: ColdBounds) -> Self {
        let max_in_1s = start.per_s.0 * bounds.overage + bounds.slack;
        Self { per_s: start.per_s, max_in_1s }
    }

    /// Rate that is divided between granter and substitute.
    fn divided_rate(&self) -> f64 {
        self.per_s.0.min(self.max_in_1s / MIN_HEADROOM).max(0.0)
    }

    /// Rate of the shares of all gateways together, so that the requests of those that
    /// are cut off stay with high probability within what granter and substitute leave of
    /// the bound.
    pub fn share_rate(&self) -> f64 {
        let max_granted = |part: f64| {
            let rate = permits::rate(self.divided_rate() * part);
            rate.per_s + rate.capacity
        };
        let granted = max_granted(GRANTER_PART) * COMPRESSION + max_granted(SUBSTITUTE_PART);
        let left = (self.max_in_1s - granted).max(0.0);
        // Largest mean whose sum with the deviations is `left`.
        let root = ((SHARE_DEVIATIONS.powi(2) + 4.0 * left).sqrt() - SHARE_DEVIATIONS) / 2.0;
        (root.powi(2) / CUT_OFF_PART).min(self.divided_rate())
    }
}

#[cfg(test)]
mod tests;
