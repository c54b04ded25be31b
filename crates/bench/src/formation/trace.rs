//! The failure trace in the repository: four hours in which members die, pause,
//! restart, leave and slow down, two racks lose power, a whole domain fails,
//! the key-value store is down, slow and loses replies, and a node dies.

use serde::{Deserialize, Serialize};

use crate::control_world::fault::Fault;

const TRACE: &str = include_str!("../../traces/formation.jsonl");

/// One line of the trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceEvent {
    /// Time since the start of the trace, in milliseconds.
    pub at_ms: u64,
    /// Fault that begins or ends.
    pub fault: Fault,
}

/// Reads the trace.
///
/// # Panics
///
/// Panics if a line of the file is not a valid event.
pub fn read() -> Vec<TraceEvent> {
    TRACE
        .lines()
        .map(|line| serde_json::from_str(line).expect("trace line is a valid event"))
        .collect()
}
