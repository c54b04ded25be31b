//! Bytes that a node may send to its peers.
//!
//! Probes and their answers always go; what they pass on fills what is left.
//! Urgent news may overdraw, and what follows waits until that is made good.

use std::time::Duration;

use citrongw_state::time::Time;

/// Rate of bytes, headers of lower layers among them.
pub const RATE_BYTES_PER_S: u64 = 1600;
/// Bytes that may gather while little is sent.
const BURST_BYTES: i64 = 6000;
/// Bytes that urgent news may overdraw.
const OVERDRAFT_BYTES: i64 = 6000;

/// Budget of one node.
#[derive(Debug)]
pub struct Budget {
    left_bytes: i64,
    filled_at: Time,
}

/// Opens a full budget.
pub fn open() -> Budget {
    Budget { left_bytes: BURST_BYTES, filled_at: Time::START }
}

impl Budget {
    /// Adds what has gathered.
    pub fn fill(&mut self, now: Time) {
        let passed = now.since(self.filled_at);
        let bytes = passed.as_micros() * u128::from(RATE_BYTES_PER_S) / 1_000_000;
        if bytes == 0 {
            return;
        }
        let bytes = i64::try_from(bytes).unwrap_or(BURST_BYTES);
        self.left_bytes = (self.left_bytes + bytes).min(BURST_BYTES);
        self.filled_at = now;
    }

    /// Takes what was sent.
    pub fn spend(&mut self, bytes: usize) {
        self.left_bytes -= i64::try_from(bytes).unwrap_or(i64::MAX);
    }

    /// Bytes that may be passed on.
    pub fn left(&self) -> usize {
        usize::try_from(self.left_bytes).unwrap_or(0)
    }

    /// Whether urgent news may go.
    pub fn may_push(&self) -> bool {
        -OVERDRAFT_BYTES < self.left_bytes
    }

    /// Time in which `bytes` gather.
    pub fn time_for(bytes: u64) -> Duration {
        Duration::from_micros(bytes * 1_000_000 / RATE_BYTES_PER_S)
    }
}
