//! Retry budget that all nodes share without communicating.
//!
//! For each service and any window, the retries of a node are limited to a
//! ratio of the requests that it received in the last window, plus an even part
//! of a constant slack. Summed over all nodes the retries stay within the same
//! ratio and slack. Unused budget does not accumulate during quiet periods.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use super::RetryCharge;
use crate::{id::PlainServiceId, time::Time};

/// Fraction of the budget that is used. The rest covers windows that begin
/// within a second, and starting nodes that know no others yet.
const USED_FRACTION: f64 = 0.8;
/// Width of the time steps in which requests are counted.
const STEP: Duration = Duration::from_secs(1);

/// Limits of the budget of all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition, per window.
    pub slack: f64,
    /// Length of the sliding window in which requests and retries are counted.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Step {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Retry budgets of one node, by service.
#[derive(Debug)]
pub struct RetryWindows {
    limits: RetryLimits,
    services: Mutex<HashMap<PlainServiceId, VecDeque<Step>>>,
}

/// Creates budgets without recorded requests.
pub fn open(limits: RetryLimits) -> RetryWindows {
    RetryWindows { limits, services: Mutex::default() }
}

impl RetryWindows {
    /// Counts a request for a service.
    pub fn add_request(&self, service: &PlainServiceId, now: Time) {
        self.step(service, now, |step| step.requests += 1);
    }

    /// Budget of a service at `now`, on one of `nodes` nodes.
    pub fn service_budget<'a>(
        &'a self,
        service: &'a PlainServiceId,
        nodes: usize,
        now: Time,
    ) -> ServiceBudget<'a> {
        ServiceBudget { windows: self, service, nodes, now }
    }

    /// Retries that the budget allows now.
    fn remaining(&self, service: &PlainServiceId, nodes: usize, now: Time) -> f64 {
        let (mut requests, mut retries) = (0.0, 0.0);
        let oldest = step_number(now.0.saturating_sub(self.limits.window + STEP));
        if let Some(steps) = self.lock().get(service) {
            for step in steps.iter().filter(|it| oldest <= it.number) {
                requests += f64::from(step.requests);
                retries += f64::from(step.retries);
            }
        }
        let slack = self.limits.slack / nodes.max(1) as f64;
        (requests * self.limits.ratio + slack) * USED_FRACTION - retries
    }

    fn step(&self, service: &PlainServiceId, now: Time, change: impl FnOnce(&mut Step)) {
        let number = step_number(now.0);
        let oldest = step_number(now.0.saturating_sub(self.limits.window + STEP));
        let mut services = self.lock();
        let steps = services.entry(service.clone()).or_default();
        while steps.front().is_some_and(|it| it.number < oldest) {
            steps.pop_front();
        }
        if steps.back().is_none_or(|it| it.number < number) {
            steps.push_back(Step { number, ..Step::default() });
        }
        if let Some(step) = steps.back_mut() {
            change(step);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<PlainServiceId, VecDeque<Step>>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn step_number(since_start: Duration) -> u64 {
    since_start.as_secs() / STEP.as_secs()
}

/// Budget of one service at a point in time.
#[derive(Debug, Clone, Copy)]
pub struct ServiceBudget<'a> {
    windows: &'a RetryWindows,
    service: &'a PlainServiceId,
    nodes: usize,
    now: Time,
}

impl ServiceBudget<'_> {
    /// Number of retries that the budget allows.
    pub fn retries_left(&self) -> u64 {
        // The value is negative if the budget is overdrawn.
        self.windows.remaining(self.service, self.nodes, self.now).max(0.0) as u64
    }
}

impl RetryCharge for ServiceBudget<'_> {
    fn try_charge(&self) -> bool {
        let is_allowed = 1.0 <= self.windows.remaining(self.service, self.nodes, self.now);
        if is_allowed {
            self.windows.step(self.service, self.now, |step| step.retries += 1);
        }
        is_allowed
    }
}

#[cfg(test)]
mod tests;
