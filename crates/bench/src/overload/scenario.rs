//! Parameters of a run of the overload bench.

use crate::model::{replica::ReplicaSettings, workload::WorkloadSettings};

/// Parameters of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Scenario {
    /// Number of replicas.
    pub replicas: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of organisations; the first is the large one.
    pub organisations: usize,
    /// Offered load as a fraction of the capacity.
    pub load: f64,
    /// Fraction of the requests that the large organisation sends.
    pub large_share: f64,
    /// Deadline of the first token, in seconds after arrival.
    pub first_token_deadline_s: f64,
    /// Deadline of the complete response, in seconds after arrival.
    pub response_deadline_s: f64,
    /// Target time to first token of the concurrency limits, in seconds.
    pub target_s: f64,
    /// Warm-up time before measurement starts, in seconds.
    pub warm_up_s: f64,
    /// Length of the measured period, in seconds.
    pub measured_s: f64,
    /// Speed and capacity of each replica.
    pub replica: ReplicaSettings,
    /// Shape of the requests; the rate is derived from `load`.
    pub workload: WorkloadSettings,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            replicas: 24,
            nodes: 10,
            organisations: 10,
            load: 1.0,
            large_share: 0.9,
            first_token_deadline_s: 2.0,
            response_deadline_s: 30.0,
            target_s: 0.52,
            warm_up_s: 60.0,
            measured_s: 40.0,
            replica: ReplicaSettings::default(),
            workload: WorkloadSettings { prefixes: 2000, ..WorkloadSettings::default() },
        }
    }
}

impl Scenario {
    /// Requests per second that full batches serve.
    pub fn capacity_per_s(&self) -> f64 {
        self.replicas as f64 * self.replica.capacity_per_s(self.workload.mean_tokens)
    }

    pub(super) fn end_s(&self) -> f64 {
        self.warm_up_s + self.measured_s
    }
}
