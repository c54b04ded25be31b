//! What nodes agree on and know of each other and of replicas: decisions as
//! step functions, and the small drivers that feed them.

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
