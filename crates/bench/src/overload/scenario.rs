//! What a run of the overload bench is made of.

use crate::model::{replica::ReplicaSettings, workload::WorkloadSettings};

/// What a run is made of.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Scenario {
    /// Replicas.
    pub replicas: usize,
    /// Nodes.
    pub nodes: usize,
    /// Organisations; the first is the large one.
    pub organisations: usize,
    /// Offered load as a share of the capacity.
    pub load: f64,
    /// Part of the requests that the large organisation sends.
    pub large_part: f64,
    /// Deadline of the first token.
    pub first_token_s: f64,
    /// Deadline of the whole answer.
    pub whole_s: f64,
    /// Time to the first token that limits keep to.
    pub target_s: f64,
    /// Time before anything is measured.
    pub warm_up_s: f64,
    /// Time that is measured.
    pub measured_s: f64,
    /// Speed and size of the replicas.
    pub replica: ReplicaSettings,
    /// Requests; their rate follows from the load.
    pub workload: WorkloadSettings,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            replicas: 24,
            nodes: 10,
            organisations: 10,
            load: 1.0,
            large_part: 0.9,
            first_token_s: 2.0,
            whole_s: 30.0,
            target_s: 0.52,
            warm_up_s: 60.0,
            measured_s: 40.0,
            replica: ReplicaSettings::default(),
            workload: WorkloadSettings { prefixes: 2000, ..WorkloadSettings::default() },
        }
    }
}

impl Scenario {
    /// Requests a second that full batches serve.
    pub fn capacity_per_s(&self) -> f64 {
        self.replicas as f64 * self.replica.capacity_per_s(self.workload.mean_tokens)
    }

    pub(super) fn end_s(&self) -> f64 {
        self.warm_up_s + self.measured_s
    }
}
