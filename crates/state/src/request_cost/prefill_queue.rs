//! Prompt tokens that wait at a server, as one gateway follows them.
//!
//! Reports of other gateways are older than the time that a prompt waits. So each
//! gateway adds the prompts that began, its own at once and those of others as reported,
//! and lets the queue shrink as the engine prefills it. Errors do not add up, because the
//! queue is empty again and again.

use std::time::Duration;

use crate::time::Time;

/// Time over which the rate of prompt tokens is averaged: many prompts at the rates of
/// one replica, and short against a change of the load.
const RATE_TIME: Duration = Duration::from_millis(1_500);
/// Longest time that a queue is assumed to take, so that one wrong report does not keep
/// a server without requests.
const MAX_QUEUE_TIME_S: f64 = 2.0;

/// How fast a server works on its queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueSpeed {
    /// Prompt tokens prefilled in a second.
    pub prefill_rate: f64,
    /// Time of a pass without prompts, in seconds.
    pub pass_s: f64,
}

/// Queue of prompt tokens at one server.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PrefillQueue {
    tokens: f64,
    /// Prompt tokens in a second, averaged.
    rate: f64,
    /// The part of the rate that is known from sums of other zones only.
    remote_rate: f64,
    updated_at: Time,
    /// Speed of the server, once known.
    speed: Option<QueueSpeed>,
}

impl PrefillQueue {
    /// Sets the speed of the server.
    pub fn set_speed(&mut self, speed: QueueSpeed) {
        self.speed = Some(speed);
    }

    /// Adds prompts that began `age` before `now`.
    pub fn add(&mut self, tokens: f64, age: Duration, now: Time) {
        self.advance(now);
        self.tokens += self.shrink(tokens, age.as_secs_f64());
        self.rate += tokens / RATE_TIME.as_secs_f64();
    }

    /// Adds prompts that are known from a sum over a longer time only. They raise the
    /// rate, but are in no queue.
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
        self.tokens = self.shrink(self.tokens, passed);
        let kept = (-passed / RATE_TIME.as_secs_f64()).exp();
        self.rate *= kept;
        self.remote_rate *= kept;
    }

    /// What is left of prompts after `passed` seconds.
    ///
    /// A prompt delays the requests after it until the end of the pass in which it is
    /// prefilled. How long ago the present pass began is not known, so on average the
    /// delay shrinks evenly over a pass. A long queue makes the pass longer.
    fn shrink(&self, tokens: f64, passed: f64) -> f64 {
        // Without a known speed nothing is predicted from the queue.
        let Some(speed) = self.speed else { return 0.0 };
        let tokens = tokens.min(speed.prefill_rate * MAX_QUEUE_TIME_S);
        let half = |tokens: f64| {
            let pass = speed.pass_s + tokens / speed.prefill_rate;
            tokens * (-passed / 2.0 / pass).exp()
        };
        half(half(tokens))
    }

    /// Prompt tokens in the queue when it last changed.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Prompt tokens that arrive in a second.
    pub fn tokens_per_s(&self) -> f64 {
        self.rate
    }

    /// Prompt tokens that arrive in a second and are in no queue.
    pub fn remote_tokens_per_s(&self) -> f64 {
        self.remote_rate
    }

    /// Whether nothing has arrived for so long that the queue can be forgotten.
    pub fn is_idle(&self, now: Time) -> bool {
        RATE_TIME * 8 < now.since(self.updated_at)
    }
}

#[cfg(test)]
mod tests;
