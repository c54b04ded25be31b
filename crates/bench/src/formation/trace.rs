//! The failure trace kept in the repository: four hours in which members die,
//! pause, restart, leave and slow down, two racks lose power, a domain goes
//! dark, the key-value service is down, slow and loses replies, and a node dies.

use serde::{Deserialize, Serialize};

use crate::control_world::fault::Fault;

const TRACE: &str = include_str!("../../traces/formation.jsonl");

/// One line of the trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceEvent {
    /// Time since the beginning of the trace.
    pub at_ms: u64,
    /// What happens.
    pub fault: Fault,
}

/// Reads the trace.
///
/// # Panics
///
/// If a line of the file is not a fault.
pub fn read() -> Vec<TraceEvent> {
    TRACE.lines().map(|line| serde_json::from_str(line).expect("line of the trace")).collect()
}
