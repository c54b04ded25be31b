//! Nodes over a simulated network and key-value service, on simulated time:
//! what the bench `spread` and the history checks drive.
//!
//! The nodes run the product's step function; only the sockets, the clock and
//! the service are stood in for.

pub mod check;
pub mod faults;
pub mod fleet;
pub mod measure;
mod service;
pub mod setup;
