//! Counters of the claims of one node.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of one node, shared by its shards.
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

/// Snapshot of the counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClaimCounts {
    /// Reads of a shard.
    pub reads: u64,
    /// Writes of a shard, including conflicts.
    pub writes: u64,
    /// Writes that conflicted with another node's write.
    pub conflicts: u64,
    /// Calls to the service that failed.
    pub failures: u64,
    /// Claims won.
    pub won: u64,
    /// Settlements written.
    pub settled: u64,
    /// Claims abandoned at their deadline.
    pub unavailable: u64,
    /// Claims refused because their shard was full.
    pub full: u64,
}

/// Counted event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Counted {
    /// A read of a shard.
    Read,
    /// A write of a shard.
    Write,
    /// A write that conflicted with another node's write.
    Conflict,
    /// A call to the service that failed.
    Failure,
    /// A claim won.
    Won,
    /// A settlement written.
    Settled,
    /// A claim abandoned at its deadline.
    Unavailable,
    /// A claim refused because its shard was full.
    Full,
}

impl ClaimCounters {
    /// Increments one counter.
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

    /// Returns the current values.
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
