//! Token bucket that limits the weight loads of one domain.
//!
//! The owners share the weight store's rate without communicating: each domain
//! gets an equal part of it.

use std::time::Duration;

use citrongw_state::time::Time;

/// Capacity of the bucket: loads that may begin at once after an idle time.
const BURST: f64 = 2.0;

/// Token bucket of the loads that a domain may begin.
#[derive(Debug)]
pub struct WeightLoadBudget {
    loads_per_s: f64,
    tokens: f64,
    filled_at: Time,
    unlimited: bool,
}

impl WeightLoadBudget {
    /// Opens a full bucket with the domain's part of the store's rate, in loads
    /// per second.
    pub fn open(now: Time, loads_per_s: f64) -> Self {
        Self { loads_per_s, tokens: BURST, filled_at: now, unlimited: false }
    }

    /// Adds the tokens for the time since the last call. Loads are unlimited
    /// until the first request arrives, because nobody waits for the weight store
    /// until then.
    pub fn refill(&mut self, now: Time, loads_per_s: f64, unlimited: bool) {
        let elapsed: Duration = now.since(self.filled_at);
        self.loads_per_s = loads_per_s;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.loads_per_s).min(BURST);
        self.filled_at = now;
        self.unlimited = unlimited;
    }

    /// Whether loads are not limited because no request has arrived yet.
    pub fn is_unlimited(&self) -> bool {
        self.unlimited
    }

    /// Whether a load may begin.
    pub fn has_capacity(&self) -> bool {
        self.unlimited || 1.0 <= self.tokens
    }

    /// Takes a token for a load that begins.
    pub fn take_token(&mut self) {
        if !self.unlimited {
            self.tokens -= 1.0;
        }
    }
}
