//! Retry decisions.
//!
//! All retries and hedges of a node are charged to one budget that grows with
//! its successes, so that they stay a fraction of the traffic at any failure
//! rate. A node calls [`RetryBudget::add_success`] at the end of each
//! successful request, [`RetryBudget::tick`] about once a second, and
//! [`decide`] when an attempt has failed. Each attempt that a node sends
//! carries its number; a node that receives a numbered attempt returns the
//! failure and leaves the retry to the sender.

pub mod window;

use std::{
    sync::atomic::{AtomicI64, Ordering},
    time::Duration,
};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{config::CallClass, time::Time};

/// Cost of one retry, in thousandths.
const RETRY_COST_MILLI: i64 = 1000;
/// Credit per success: a tenth of a retry.
const SUCCESS_CREDIT_MILLI: i64 = 100;
/// Credit per second, so that a node with little traffic can retry at all.
const SECOND_CREDIT_MILLI: i64 = 1000;
/// Highest balance that the credit per second can reach.
const TIME_CREDIT_CAP_MILLI: i64 = 10 * RETRY_COST_MILLI;
/// Highest balance.
const BALANCE_CAP_MILLI: i64 = 100 * RETRY_COST_MILLI;
/// Longest pause before the first retry; it doubles with each attempt.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause between attempts.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Retry budget of one node.
#[derive(Debug)]
pub struct RetryBudget {
    balance_milli: AtomicI64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance_milli: AtomicI64::new(TIME_CREDIT_CAP_MILLI) }
    }
}

impl RetryBudget {
    /// Credits a request that succeeded.
    pub fn add_success(&self) {
        self.add(SUCCESS_CREDIT_MILLI, BALANCE_CAP_MILLI);
    }

    /// Credits the time `passed` since the last call.
    pub fn tick(&self, passed: Duration) {
        let millis = i64::try_from(passed.as_millis()).unwrap_or(i64::MAX);
        let credit = millis.saturating_mul(SECOND_CREDIT_MILLI) / 1000;
        self.add(credit, TIME_CREDIT_CAP_MILLI);
    }

    /// Charges one attempt; returns false if the balance is too low.
    pub fn try_take(&self) -> bool {
        let balance = self.balance_milli.fetch_sub(RETRY_COST_MILLI, Ordering::Relaxed);
        if RETRY_COST_MILLI <= balance {
            return true;
        }
        self.balance_milli.fetch_add(RETRY_COST_MILLI, Ordering::Relaxed);
        false
    }

    /// Number of attempts that the balance covers.
    pub fn attempts_left(&self) -> u64 {
        let balance = self.balance_milli.load(Ordering::Relaxed);
        u64::try_from(balance / RETRY_COST_MILLI).unwrap_or_default()
    }

    fn add(&self, credit_milli: i64, cap_milli: i64) {
        let balance = self.balance_milli.load(Ordering::Relaxed);
        // Concurrent additions can exceed the cap by one credit each.
        if balance < cap_milli {
            let credit = credit_milli.min(cap_milli - balance);
            self.balance_milli.fetch_add(credit, Ordering::Relaxed);
        }
    }
}

/// Budget to which retries are charged.
pub trait RetryCharge {
    /// Charges one attempt; returns false if the balance is too low.
    fn try_charge(&self) -> bool;
}

impl RetryCharge for RetryBudget {
    fn try_charge(&self) -> bool {
        self.try_take()
    }
}

/// Progress of an attempt at the time of its failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptProgress {
    /// No byte reached a backend server, or it rejected the request before
    /// running it.
    NotRun,
    /// The request may have run; no part of the response was passed on.
    MayHaveRun,
    /// Part of the response was passed on to the caller.
    ResponseStarted,
}

/// Failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Class of the call.
    pub class: CallClass,
    /// Progress at the time of the failure.
    pub progress: AttemptProgress,
    /// Attempts made so far, including this one.
    pub attempts: u32,
    /// Retries that the profile allows.
    pub max_retries: u32,
    /// Whether another node sent the request as a numbered attempt.
    pub from_node: bool,
    /// Time that an attempt usually needs to give a useful result.
    pub expected: Duration,
    /// Deadline of the request.
    pub deadline: Time,
}

/// Reason for which an attempt is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum NoRetry {
    /// The call may have run and must not run twice.
    #[display("an at-most-once call may have run")]
    MayHaveRun,
    /// The caller has received part of the response.
    #[display("part of the answer was passed on")]
    Answering,
    /// The node that sent the attempt decides on the retry.
    #[display("the node that made the attempt decides")]
    FromNode,
    /// The attempts that the profile allows are used up.
    #[display("the profile allows no more attempts")]
    NoAttemptsLeft,
    /// Another attempt could not end before the deadline.
    #[display("another attempt could not end before the deadline")]
    DeadlineTooNear,
    /// The node's retry budget is exhausted.
    #[display("the node's retry budget is spent")]
    BudgetSpent,
}

/// Decides on a retry and charges the budget if the retry is granted. Returns
/// the pause before the retry. `random` adds jitter to the pause.
pub fn decide(
    failed: &FailedAttempt,
    budget: &impl RetryCharge,
    now: Time,
    random: u64,
) -> Result<Duration, NoRetry> {
    match (failed.progress, failed.class) {
        (AttemptProgress::ResponseStarted, _) => return Err(NoRetry::Answering),
        (AttemptProgress::MayHaveRun, CallClass::AtMostOnce) => return Err(NoRetry::MayHaveRun),
        (AttemptProgress::MayHaveRun, CallClass::Idempotent) | (AttemptProgress::NotRun, _) => {}
    }
    if failed.from_node {
        return Err(NoRetry::FromNode);
    }
    if failed.max_retries < failed.attempts {
        return Err(NoRetry::NoAttemptsLeft);
    }
    let pause = pause(failed.attempts, random);
    if failed.deadline <= now + pause + failed.expected {
        return Err(NoRetry::DeadlineTooNear);
    }
    if !budget.try_charge() {
        return Err(NoRetry::BudgetSpent);
    }
    Ok(pause)
}

/// Pause after a number of attempts: exponential backoff with jitter on the
/// upper half.
fn pause(attempts: u32, random: u64) -> Duration {
    let longest = FIRST_PAUSE * (1 << attempts.saturating_sub(1).min(8));
    let longest = longest.min(MAX_PAUSE);
    let part = u32::try_from(random % 1000).unwrap_or_default();
    longest / 2 + longest / 2 * part / 1000
}

#[cfg(test)]
mod tests;
