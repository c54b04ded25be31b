//! What a fleet is like, and what its nodes sent.

use std::time::Duration;

use citrongw_coordination::config::rules::Rules;

/// What a fleet is like.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Nodes.
    pub nodes: usize,
    /// Zones, filled in turn.
    pub zones: usize,
    /// Share of datagrams lost.
    pub loss: f64,
    /// Time of a message on its way, inside a zone.
    pub latency: Duration,
    /// Time of a call to the service.
    pub service_latency: Duration,
    /// Pause between two ticks of a node.
    pub tick: Duration,
    /// Rules of the nodes.
    pub rules: Rules,
    /// Deliberate faults of a broken variant.
    pub broken: Broken,
    /// Seed.
    pub seed: u64,
}

/// Deliberate faults, for checks of the checks.
#[derive(Debug, Clone, Copy, Default)]
pub struct Broken {
    /// Edits overwrite whatever stands there.
    pub edits_overwrite: bool,
    /// A node that was cut off returns with what it held at its start.
    pub returns_with_old: bool,
    /// Changes of the recorded nodes count at once.
    pub records_at_once: bool,
    /// News are not passed on.
    pub news_dropped: bool,
}

/// Bytes sent by kind, headers of lower layers among them.
#[derive(Debug, Clone, Copy, Default)]
pub struct SentBytes {
    /// Pings.
    pub pings: u64,
    /// Answers to pings.
    pub acks: u64,
    /// All other datagrams.
    pub others: u64,
    /// Over TCP.
    pub exchanges: u64,
}

impl SentBytes {
    /// All bytes.
    pub fn total(&self) -> u64 {
        self.pings + self.acks + self.others + self.exchanges
    }
}
