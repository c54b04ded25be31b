//! Delays between attempts of a call that fails on all gateways at once, as during
//! an outage of the store: each gateway calls less often the longer it lasts.

use std::time::Duration;

/// Delays that double up to a limit.
#[derive(Debug, Clone)]
pub(crate) struct Backoff {
    first: Duration,
    max: Duration,
    next: Duration,
}

/// Creates a sequence of delays from `first` to `max`.
pub(crate) fn open(first: Duration, max: Duration) -> Backoff {
    Backoff { first, max, next: first }
}

impl Backoff {
    /// Delay before the next attempt, less a random part of up to a quarter, so
    /// that the gateways do not call at the same time.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(self.max);
        delay.mul_f64(1.0 - 0.25 * rand::random::<f64>())
    }

    /// Starts over after a success.
    pub(crate) fn reset(&mut self) {
        self.next = self.first;
    }
}

#[cfg(test)]
mod tests;
