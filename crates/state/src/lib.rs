//! Identifiers, units, the configuration document, the life cycle of a replica
//! and the decision functions of citrongw.
//!
//! Nothing here performs I/O or reads a clock. Every decision is a function of
//! state, event and time, so that a benchmark can run the decisions of
//! thousands of nodes without sockets.

pub mod admission;
pub mod breaker;
pub mod claim;
pub mod cold_server;
pub mod concurrency;
pub mod config;
pub mod crash_suspicion;
pub mod early_rejection;
pub mod evacuation;
pub mod hash;
pub mod hedge;
pub mod home;
pub mod id;
pub mod leaving_servers;
pub mod lifecycle;
pub mod limit;
pub mod objective;
pub mod ownership;
pub mod placement;
pub mod repair;
pub mod replica;
pub mod request_cost;
pub mod retry;
pub mod routing;
pub mod self_suspicion;
pub mod server_limit;
pub mod server_links;
pub mod server_pause;
pub mod slow_members;
pub mod straggler;
pub mod time;
pub mod unit;
pub mod weight_load_order;
