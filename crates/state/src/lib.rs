//! Ids, sizes, rates, the configuration document, the life cycle of a replica
//! and the pure decisions of citrongw.
//!
//! Nothing here does I/O or reads a clock: every decision is a function of
//! state, event and time, so that a bench can drive thousands of nodes' worth
//! of them without sockets.

pub mod admission;
pub mod breaker;
pub mod claim;
pub mod concurrency;
pub mod config;
pub mod crash_suspicion;
pub mod hash;
pub mod hedge;
pub mod id;
pub mod lifecycle;
pub mod limit;
pub mod objective;
pub mod ownership;
pub mod placement;
pub mod repair;
pub mod replica;
pub mod retry;
pub mod routing;
pub mod self_suspicion;
pub mod slow_members;
pub mod straggler;
pub mod time;
pub mod unit;
pub mod weight_load_order;
