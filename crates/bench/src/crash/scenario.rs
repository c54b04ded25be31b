//! Parameters and results of a run of the crash bench.

/// Parameters of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Scenario {
    /// Number of replicas.
    pub replicas: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Innocent requests per second.
    pub requests_per_s: f64,
    /// Fraction of the innocent requests that have the same digest.
    pub common_share: f64,
    /// Mean duration of an innocent request, in seconds.
    pub service_s: f64,
    /// Number of copies of the crashing request, which arrive within
    /// `max_crash_delay_s`.
    pub copies: usize,
    /// Upper bound on the time from a replica starting the crashing request to
    /// the crash, in seconds.
    pub max_crash_delay_s: f64,
    /// Upper bound on the time for a gossip item to reach a node, in seconds.
    pub max_propagation_delay_s: f64,
    /// Time from a crash until the replica serves again, in seconds.
    pub restart_s: f64,
    /// Mean interval between deaths for other reasons, in seconds, or none
    /// without such deaths.
    pub other_death_every_s: Option<f64>,
    /// Number of replicas in a domain that fails as a whole during the run.
    pub outage_replicas: usize,
    /// Maximum time that a request waits at a node, in seconds.
    pub max_wait_s: f64,
    /// Time at which the crashing request first arrives, in seconds.
    pub poison_at_s: f64,
    /// Time at which arrivals end, in seconds.
    pub end_s: f64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            replicas: 70,
            nodes: 18,
            requests_per_s: 120.0,
            common_share: 0.05,
            service_s: 4.0,
            copies: 6,
            max_crash_delay_s: 2.0,
            max_propagation_delay_s: 3.0,
            restart_s: 25.0,
            other_death_every_s: Some(60.0),
            outage_replicas: 0,
            max_wait_s: 10.0,
            poison_at_s: 10.0,
            end_s: 60.0,
        }
    }
}

/// Results of a run.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Outcome {
    /// Replicas that the crashing request killed.
    pub killed: u64,
    /// Innocent requests that were refused or waited too long.
    pub innocents_refused: u64,
    /// Innocent requests that completed.
    pub innocents_done: u64,
    /// Innocent requests that waited for gossip items.
    pub innocents_waited: u64,
    /// Number of times the crashing request was refused.
    pub poison_refused: u64,
}
