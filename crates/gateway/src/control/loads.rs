//! The part of the weight store's rate that one domain may use.
//!
//! All owners share the rate without asking each other: each domain has an even
//! part of it.

use std::time::Duration;

use citrongw_state::time::Time;

/// Loads that may begin at once after a pause.
const BURST: f64 = 2.0;

/// Loads that a domain may begin.
#[derive(Debug)]
pub struct LoadBudget {
    per_s: f64,
    left: f64,
    filled_at: Time,
    unlimited: bool,
}

impl LoadBudget {
    /// Opens a budget with its part of the store's rate.
    pub fn open(now: Time, per_s: f64) -> Self {
        Self { per_s, left: BURST, filled_at: now, unlimited: false }
    }

    /// Adds what the time since the last call brings. Loads are unlimited until
    /// the first request has come, when nobody waits for the weight store.
    pub fn refill(&mut self, now: Time, per_s: f64, unlimited: bool) {
        let passed: Duration = now.since(self.filled_at);
        self.per_s = per_s;
        self.left = (self.left + passed.as_secs_f64() * self.per_s).min(BURST);
        self.filled_at = now;
        self.unlimited = unlimited;
    }

    /// Whether loads are few and short, as nobody has sent a request yet.
    pub fn is_unlimited(&self) -> bool {
        self.unlimited
    }

    /// Whether a load may begin.
    pub fn has_capacity(&self) -> bool {
        self.unlimited || 1.0 <= self.left
    }

    /// Counts a load that begins.
    pub fn take(&mut self) {
        if !self.unlimited {
            self.left -= 1.0;
        }
    }
}
