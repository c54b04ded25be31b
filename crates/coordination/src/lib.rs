//! Coordination between nodes: membership, configuration, claims, control and
//! replica status. Decisions are step functions; small drivers feed them events
//! and carry out their actions.

pub mod claims;
pub mod clock;
pub mod config;
pub mod control;
pub mod decision_log;
pub mod gossip_bus;
pub mod instance_watch;
pub mod membership;
pub mod node_view;
pub mod record_watch;
pub mod replica_table;
pub mod replica_watch;
pub mod shutdown_hooks;
pub mod store_guard;
