//! Bytes that a node may send to its peers.
//!
//! Probes and their answers always go; what they pass on fills what is left of
//! the usual rate. Urgent news and lost members have a rate of their own
//! beside, with a large burst, so that nothing can starve them.

use citrongw_state::time::Time;

/// Usual rate, headers of lower layers among them.
pub const BASE_BYTES_PER_S: u32 = 1500;
/// Rate of what presses.
pub const PRIORITY_BYTES_PER_S: u32 = 300;
/// Bytes that may gather while little is sent.
const USUAL_BURST_BYTES: f64 = 6000.0;
/// The same of what presses.
const PRESSING_BURST_BYTES: f64 = 12_000.0;
/// Bytes by which probes and answers may overdraw the usual rate; what they
/// need beyond is not made good.
const MAX_DEBT_BYTES: f64 = 1500.0;

/// Budget of one node.
#[derive(Debug)]
pub struct Budget {
    usual_bytes: f64,
    pressing_bytes: f64,
    filled_at: Time,
}

/// Opens a full budget.
pub fn open() -> Budget {
    Budget {
        usual_bytes: USUAL_BURST_BYTES,
        pressing_bytes: PRESSING_BURST_BYTES,
        filled_at: Time::START,
    }
}

impl Budget {
    /// Adds what has gathered.
    pub fn refill(&mut self, now: Time) {
        let passed_s = now.since(self.filled_at).as_secs_f64();
        let gathered = |rate: u32| f64::from(rate) * passed_s;
        self.usual_bytes = (self.usual_bytes + gathered(BASE_BYTES_PER_S)).min(USUAL_BURST_BYTES);
        self.pressing_bytes =
            (self.pressing_bytes + gathered(PRIORITY_BYTES_PER_S)).min(PRESSING_BURST_BYTES);
        self.filled_at = self.filled_at.max(now);
    }

    /// Takes what was sent at the usual rate.
    pub fn spend_base(&mut self, bytes: usize) {
        self.usual_bytes = (self.usual_bytes - bytes as f64).max(-MAX_DEBT_BYTES);
    }

    /// Takes what pressed.
    pub fn spend_priority(&mut self, bytes: usize) {
        self.pressing_bytes -= bytes as f64;
    }

    /// Bytes of anything that may be passed on.
    pub fn available_base(&self) -> usize {
        self.usual_bytes.max(0.0) as usize
    }

    /// Bytes of what presses that may be passed on.
    pub fn available_priority(&self) -> usize {
        self.pressing_bytes.max(0.0) as usize
    }
}
