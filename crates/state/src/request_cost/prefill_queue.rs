//! Prompt tokens that wait at a server, as one gateway follows them.
//!
//! Reports of other gateways are older than the time that a prompt waits. So each
//! gateway adds the prompts that began, its own at once and those of others as reported,
//! and lets the queue shrink at the rate at which the engine prefills. Errors do not add
//! up, because the queue is empty again and again.

use std::time::Duration;

use crate::time::Time;

/// Time over which the rate of prompt tokens is averaged: many prompts at the rates of
/// one replica, and short against a change of the load.
const RATE_TIME: Duration = Duration::from_millis(1_500);
/// Longest time that a queue is assumed to take, so that one wrong report does not keep
/// a server without requests.
const MAX_QUEUE_TIME_S: f64 = 2.0;

/// Queue of prompt tokens at one server.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PrefillQueue {
    tokens: f64,
    /// Prompt tokens in a second, averaged.
    rate: f64,
    /// The part of the rate that is known from sums of other zones only.
    remote_rate: f64,
    updated_at: Time,
    /// Prompt tokens that the server prefills in a second, once known.
    prefill_rate: Option<f64>,
}

impl PrefillQueue {
    /// Sets the prompt tokens that the server prefills in a second.
    pub fn set_prefill_rate(&mut self, tokens_per_s: f64) {
        self.prefill_rate = Some(tokens_per_s);
    }

    /// Adds prompts that began between `covers` before `now` and `now`.
    pub fn add(&mut self, tokens: f64, covers: Duration, now: Time) {
        // They began in the middle of the time on average, and shrank since.
        self.advance(now - covers / 2);
        self.tokens += tokens;
        self.rate += tokens / RATE_TIME.as_secs_f64();
        self.advance(now);
    }

    /// Adds prompts that are known from a sum over a longer time only. They raise the
    /// rate, and take their part of the engine's time, but are in no queue.
    pub fn add_remote(&mut self, tokens: f64, now: Time) {
        self.advance(now);
        self.rate += tokens / RATE_TIME.as_secs_f64();
        self.remote_rate += tokens / RATE_TIME.as_secs_f64();
    }

    /// Lets the queue shrink until `now`.
    pub fn advance(&mut self, now: Time) {
        let passed = now.since(self.updated_at).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        self.updated_at = now;
        if let Some(prefill_rate) = self.prefill_rate {
            let rate = (prefill_rate - self.remote_rate).max(prefill_rate / 4.0);
            let most = prefill_rate * MAX_QUEUE_TIME_S;
            self.tokens = (self.tokens.min(most) - rate * passed).max(0.0);
        } else {
            // Without a known rate nothing is predicted from the queue.
            self.tokens = 0.0;
        }
        let kept = (-passed / RATE_TIME.as_secs_f64()).exp();
        self.rate *= kept;
        self.remote_rate *= kept;
    }

    /// Prompt tokens in the queue when it last changed.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Prompt tokens that arrive in a second.
    pub fn tokens_per_s(&self) -> f64 {
        self.rate
    }

    /// Whether nothing has arrived for so long that the queue can be forgotten.
    pub fn is_idle(&self, now: Time) -> bool {
        RATE_TIME * 8 < now.since(self.updated_at)
    }
}

#[cfg(test)]
mod tests;
