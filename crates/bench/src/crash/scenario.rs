//! What a run of the crash bench is made of, and what it gives.

/// What a run is made of.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Scenario {
    /// Replicas.
    pub replicas: usize,
    /// Nodes.
    pub nodes: usize,
    /// Innocent requests a second.
    pub requests_per_s: f64,
    /// Part of them that are alike.
    pub common_part: f64,
    /// Time that an innocent request runs, on average.
    pub service_s: f64,
    /// Copies of the crashing request that arrive at once.
    pub copies: usize,
    /// Longest time until it crashes a replica.
    pub fuse_s: f64,
    /// Longest time until news reaches a node.
    pub news_delay_s: f64,
    /// Time that a replica needs to serve again.
    pub restart_s: f64,
    /// Time between deaths for other reasons; none if there are none.
    pub other_death_every_s: Option<f64>,
    /// Replicas of a domain that goes dark at the same time.
    pub dark_replicas: usize,
    /// Longest time that a request may wait at a node.
    pub wait_s: f64,
    /// When the crashing request first arrives.
    pub poison_at_s: f64,
    /// When arrivals end.
    pub end_s: f64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            replicas: 70,
            nodes: 18,
            requests_per_s: 120.0,
            common_part: 0.05,
            service_s: 4.0,
            copies: 6,
            fuse_s: 2.0,
            news_delay_s: 3.0,
            restart_s: 25.0,
            other_death_every_s: Some(60.0),
            dark_replicas: 0,
            wait_s: 10.0,
            poison_at_s: 10.0,
            end_s: 60.0,
        }
    }
}

/// What a run gave.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Outcome {
    /// Replicas that the crashing request killed.
    pub killed: u64,
    /// Innocent requests refused, or that waited too long.
    pub innocents_refused: u64,
    /// Innocent requests that ended well.
    pub innocents_done: u64,
    /// Innocent requests that waited for news at all.
    pub innocents_waited: u64,
    /// Times that the crashing request was refused.
    pub poison_refused: u64,
}
