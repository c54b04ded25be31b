//! Parameters of a fleet, and counters of the bytes its nodes sent.

use std::time::Duration;

use citrongw_coordination::config::rules::Rules;

/// Parameters of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of zones; nodes are assigned round-robin.
    pub zones: usize,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// One-way network latency within a zone.
    pub latency: Duration,
    /// Round-trip time of a store call.
    pub service_latency: Duration,
    /// Interval between two ticks of a node.
    pub tick: Duration,
    /// Configuration rules of the nodes.
    pub rules: Rules,
    /// Deliberate defects of a broken variant.
    pub broken: Broken,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Deliberate defects, used to verify that the checks detect violations.
#[derive(Debug, Clone, Copy, Default)]
pub struct Broken {
    /// Edits overwrite the current version unconditionally.
    pub edits_overwrite: bool,
    /// A partitioned node rejoins with the version that it had at its start.
    pub rejoins_with_old: bool,
    /// Changes of the recorded nodes take effect at once.
    pub records_at_once: bool,
    /// Gossip items are not forwarded.
    pub gossip_dropped: bool,
}

/// Bytes sent by kind, including headers of lower layers.
#[derive(Debug, Clone, Copy, Default)]
pub struct SentBytes {
    /// Ping datagrams.
    pub pings: u64,
    /// Replies to pings.
    pub acks: u64,
    /// All other datagrams.
    pub others: u64,
    /// Exchanges over TCP.
    pub exchanges: u64,
}

impl SentBytes {
    /// Sum over all kinds.
    pub fn total(&self) -> u64 {
        self.pings + self.acks + self.others + self.exchanges
    }
}
