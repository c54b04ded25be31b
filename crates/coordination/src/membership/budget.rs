//! Token buckets for the bytes that a node sends to its peers.
//!
//! Probes and acks are always sent; the gossip on them uses the rest of the base
//! rate. Urgent gossip items and changes of member state have a separate
//! priority rate with a large burst, so that other traffic cannot starve them.

use citrongw_state::time::Time;

/// Base rate, including headers of lower layers.
pub const BASE_BYTES_PER_S: u32 = 1500;
/// Additional rate for priority items.
pub const PRIORITY_BYTES_PER_S: u32 = 300;
/// Capacity of the base bucket.
const BASE_BURST_BYTES: f64 = 6000.0;
/// Capacity of the priority bucket.
const PRIORITY_BURST_BYTES: f64 = 12_000.0;
/// Bytes by which probes and acks may overdraw the base bucket; usage beyond
/// that is not charged.
const MAX_DEBT_BYTES: f64 = 1500.0;

/// Send budget of one node.
#[derive(Debug)]
pub struct Budget {
    base_bytes: f64,
    priority_bytes: f64,
    refilled_at: Time,
}

/// Creates a budget with full buckets.
pub fn open() -> Budget {
    Budget {
        base_bytes: BASE_BURST_BYTES,
        priority_bytes: PRIORITY_BURST_BYTES,
        refilled_at: Time::START,
    }
}

impl Budget {
    /// Refills both buckets for the time since the last refill.
    pub fn refill(&mut self, now: Time) {
        let elapsed_s = now.since(self.refilled_at).as_secs_f64();
        let refill = |rate: u32| f64::from(rate) * elapsed_s;
        self.base_bytes = (self.base_bytes + refill(BASE_BYTES_PER_S)).min(BASE_BURST_BYTES);
        self.priority_bytes =
            (self.priority_bytes + refill(PRIORITY_BYTES_PER_S)).min(PRIORITY_BURST_BYTES);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Charges bytes to the base bucket.
    pub fn spend_base(&mut self, bytes: usize) {
        self.base_bytes = (self.base_bytes - bytes as f64).max(-MAX_DEBT_BYTES);
    }

    /// Charges bytes to the priority bucket.
    pub fn spend_priority(&mut self, bytes: usize) {
        self.priority_bytes -= bytes as f64;
    }

    /// Bytes available in the base bucket.
    pub fn available_base(&self) -> usize {
        self.base_bytes.max(0.0) as usize
    }

    /// Bytes available in the priority bucket.
    pub fn available_priority(&self) -> usize {
        self.priority_bytes.max(0.0) as usize
    }
}
