//! Simulation of nodes over a simulated network and key-value store in
//! simulated time, used by the bench `spread` and by the history checks.
//!
//! The nodes run the production step function; only the sockets, the clock and
//! the store are simulated.

pub mod check;
pub mod faults;
pub mod fleet;
pub mod measure;
mod service;
pub mod setup;
