//! Budget of retries that is shared by all nodes without a word between them.
//!
//! For each service, in any window, a node makes no more retries than a ratio of
//! the requests that it got for it in the last window, and its even part of a
//! slack. Summed over the nodes that stays within the same ratio and slack,
//! however long a calm was before: nothing is saved up.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use super::RetryCharge;
use crate::{id::PlainServiceId, time::Time};

/// Part of the budget that is used. The rest covers windows that begin within a
/// second, and nodes that start and know of no others yet.
const USED_SHARE: f64 = 0.8;
/// Width of the steps in which requests are counted.
const STEP: Duration = Duration::from_secs(1);

/// Limits of the budget, for all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beside that.
    pub slack: f64,
    /// Span in which both are counted.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Step {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Budgets of one node, by service.
#[derive(Debug)]
pub struct RetryWindows {
    limits: RetryLimits,
    services: Mutex<HashMap<PlainServiceId, VecDeque<Step>>>,
}

/// Opens budgets without any request.
pub fn open(limits: RetryLimits) -> RetryWindows {
    RetryWindows { limits, services: Mutex::default() }
}

impl RetryWindows {
    /// Counts a request for a service.
    pub fn add_request(&self, service: &PlainServiceId, now: Time) {
        self.step(service, now, |step| step.requests += 1);
    }

    /// Budget of a service now, on one of so many nodes.
    pub fn service_budget<'a>(
        &'a self,
        service: &'a PlainServiceId,
        nodes: usize,
        now: Time,
    ) -> ServiceBudget<'a> {
        ServiceBudget { windows: self, service, nodes, now }
    }

    /// Retries that could be paid now.
    fn left(&self, service: &PlainServiceId, nodes: usize, now: Time) -> f64 {
        let (mut requests, mut retries) = (0.0, 0.0);
        let oldest = step_number(now.0.saturating_sub(self.limits.window + STEP));
        if let Some(steps) = self.lock().get(service) {
            for step in steps.iter().filter(|it| oldest <= it.number) {
                requests += f64::from(step.requests);
                retries += f64::from(step.retries);
            }
        }
        let slack = self.limits.slack / nodes.max(1) as f64;
        (requests * self.limits.ratio + slack) * USED_SHARE - retries
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

/// Budget of one service at one time.
#[derive(Debug, Clone, Copy)]
pub struct ServiceBudget<'a> {
    windows: &'a RetryWindows,
    service: &'a PlainServiceId,
    nodes: usize,
    now: Time,
}

impl ServiceBudget<'_> {
    /// Retries that could be paid.
    pub fn retries_left(&self) -> u64 {
        // A budget that is overdrawn has none left.
        self.windows.left(self.service, self.nodes, self.now).max(0.0) as u64
    }
}

impl RetryCharge for ServiceBudget<'_> {
    fn try_charge(&self) -> bool {
        let can_pay = 1.0 <= self.windows.left(self.service, self.nodes, self.now);
        if can_pay {
            self.windows.step(self.service, self.now, |step| step.retries += 1);
        }
        can_pay
    }
}

#[cfg(test)]
mod tests;
