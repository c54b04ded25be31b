//! Ids, sizes, rates, the configuration document, the life cycle of a replica
//! and the pure decisions of citrongw.
//!
//! Nothing here does I/O or reads a clock: every decision is a function of
//! state, event and time, so that a bench can drive thousands of nodes' worth
//! of them without sockets.

pub mod claim;
pub mod config;
pub mod id;
pub mod lifecycle;
pub mod ownership;
pub mod replica;
pub mod time;
pub mod unit;
