//! Whether a failed attempt is made again.
//!
//! All retries and hedges of a node are paid from one budget that grows with
//! its successes, so that they stay a share of the traffic however much fails.
//! How a node drives it: [`RetryBudget::add_success`] at the end of each
//! request that succeeded, [`RetryBudget::tick`] about once a second, and
//! [`decide`] when an attempt has failed. An attempt that a node makes is
//! marked with its number; a layer that receives a marked attempt answers its
//! failure back and leaves the retry to the first one.

pub mod window;

use std::{
    sync::atomic::{AtomicI64, Ordering},
    time::Duration,
};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{config::CallClass, time::Time};

/// What one retry costs, in thousandths.
const RETRY_COST_MILLI: i64 = 1000;
/// What one success earns: a tenth of a retry.
const SUCCESS_EARNS_MILLI: i64 = 100;
/// What a second earns, so that a node with little traffic can retry at all.
const SECOND_EARNS_MILLI: i64 = 1000;
/// What the seconds alone can earn.
const SECONDS_CAP_MILLI: i64 = 10 * RETRY_COST_MILLI;
/// Most that is kept.
const BALANCE_CAP_MILLI: i64 = 100 * RETRY_COST_MILLI;
/// Pause before the first retry.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause between attempts.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Budget of one node.
#[derive(Debug)]
pub struct RetryBudget {
    balance_milli: AtomicI64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance_milli: AtomicI64::new(SECONDS_CAP_MILLI) }
    }
}

impl RetryBudget {
    /// Counts a request that succeeded.
    pub fn add_success(&self) {
        self.add(SUCCESS_EARNS_MILLI, BALANCE_CAP_MILLI);
    }

    /// Counts `passed` since the last call.
    pub fn tick(&self, passed: Duration) {
        let millis = i64::try_from(passed.as_millis()).unwrap_or(i64::MAX);
        let earned = millis.saturating_mul(SECOND_EARNS_MILLI) / 1000;
        self.add(earned, SECONDS_CAP_MILLI);
    }

    /// Pays for one attempt, if there is enough.
    pub fn try_take(&self) -> bool {
        let paid = self.balance_milli.fetch_sub(RETRY_COST_MILLI, Ordering::Relaxed);
        if RETRY_COST_MILLI <= paid {
            return true;
        }
        self.balance_milli.fetch_add(RETRY_COST_MILLI, Ordering::Relaxed);
        false
    }

    /// Attempts that could be paid now.
    pub fn attempts_left(&self) -> u64 {
        let balance = self.balance_milli.load(Ordering::Relaxed);
        u64::try_from(balance / RETRY_COST_MILLI).unwrap_or_default()
    }

    fn add(&self, earned_milli: i64, cap_milli: i64) {
        let balance = self.balance_milli.load(Ordering::Relaxed);
        // Racing additions can pass the cap by one step each.
        if balance < cap_milli {
            let earned = earned_milli.min(cap_milli - balance);
            self.balance_milli.fetch_add(earned, Ordering::Relaxed);
        }
    }
}

/// Budget that retries are paid from.
pub trait RetryCharge {
    /// Pays for one attempt, if there is enough.
    fn try_charge(&self) -> bool;
}

impl RetryCharge for RetryBudget {
    fn try_charge(&self) -> bool {
        self.try_take()
    }
}

/// How far a failed attempt came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptProgress {
    /// No byte can have reached a backend server, or it refused before running.
    NotRun,
    /// It may have run; nothing of its answer was passed on.
    MayHaveRun,
    /// Part of its answer was passed on to the caller.
    ResponseStarted,
}

/// A failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Class of the call.
    pub class: CallClass,
    /// How far it came.
    pub reached: AttemptProgress,
    /// Attempts made so far, this one among them.
    pub attempts: u32,
    /// Retries that the profile allows.
    pub max_retries: u32,
    /// Whether the request came as a marked attempt of another node.
    pub from_node: bool,
    /// Time that an attempt usually needs until it is of use.
    pub expected: Duration,
    /// Deadline of the request.
    pub deadline: Time,
}

/// Why there is no retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum NoRetry {
    /// It may have run, and must not run twice.
    #[display("an at-most-once call may have run")]
    MayHaveRun,
    /// The caller has part of an answer.
    #[display("part of the answer was passed on")]
    Answering,
    /// The node that sent it decides.
    #[display("the node that made the attempt decides")]
    FromNode,
    /// The profile allows no more.
    #[display("the profile allows no more attempts")]
    NoAttemptsLeft,
    /// It could not end before the deadline.
    #[display("another attempt could not end before the deadline")]
    DeadlineTooNear,
    /// The node's budget is spent.
    #[display("the node's retry budget is spent")]
    BudgetSpent,
}

/// Decides on a retry; the budget is charged if it is granted. Gives the pause
/// to make first. `random` spreads the pauses.
pub fn decide(
    failed: &FailedAttempt,
    budget: &impl RetryCharge,
    now: Time,
    random: u64,
) -> Result<Duration, NoRetry> {
    match (failed.reached, failed.class) {
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

/// Pause after so many attempts: doubles, with its second half at random.
fn pause(attempts: u32, random: u64) -> Duration {
    let longest = FIRST_PAUSE * (1 << attempts.saturating_sub(1).min(8));
    let longest = longest.min(MAX_PAUSE);
    let part = u32::try_from(random % 1000).unwrap_or_default();
    longest / 2 + longest / 2 * part / 1000
}

#[cfg(test)]
mod tests;
