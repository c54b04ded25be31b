//! Counters of the claims of one node.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters, shared by the shards.
#[derive(Debug, Default)]
pub struct ClaimCounters {
    reads: AtomicU64,
    writes: AtomicU64,
    conflicts: AtomicU64,
    failures: AtomicU64,
    won: AtomicU64,
    settled: AtomicU64,
    unavailable: AtomicU64,
    full: AtomicU64,
}

/// What the counters say.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClaimCounts {
    /// Reads of a shard.
    pub reads: u64,
    /// Writes of a shard, conflicts among them.
    pub writes: u64,
    /// Writes that met another node's.
    pub conflicts: u64,
    /// Calls to the service that failed.
    pub failures: u64,
    /// Claims won.
    pub won: u64,
    /// Settlements written.
    pub settled: u64,
    /// Claims given up at their deadline.
    pub unavailable: u64,
    /// Claims refused because their shard was full.
    pub full: u64,
}

/// What is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Counted {
    /// A read of a shard.
    Read,
    /// A write of a shard.
    Write,
    /// A write that met another node's.
    Conflict,
    /// A call to the service that failed.
    Failure,
    /// A claim won.
    Won,
    /// A settlement written.
    Settled,
    /// A claim given up at its deadline.
    Unavailable,
    /// A claim refused because its shard was full.
    Full,
}

impl ClaimCounters {
    /// Counts one.
    pub fn add(&self, counted: Counted) {
        let counter = match counted {
            Counted::Read => &self.reads,
            Counted::Write => &self.writes,
            Counted::Conflict => &self.conflicts,
            Counted::Failure => &self.failures,
            Counted::Won => &self.won,
            Counted::Settled => &self.settled,
            Counted::Unavailable => &self.unavailable,
            Counted::Full => &self.full,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// What the counters say.
    pub fn snapshot(&self) -> ClaimCounts {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        ClaimCounts {
            reads: load(&self.reads),
            writes: load(&self.writes),
            conflicts: load(&self.conflicts),
            failures: load(&self.failures),
            won: load(&self.won),
            settled: load(&self.settled),
            unavailable: load(&self.unavailable),
            full: load(&self.full),
        }
    }
}
