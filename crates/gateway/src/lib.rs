//! The gateway of citrongw. It forwards requests to backend servers with method,
//! path, headers and body intact, and keeps the replicas of models running on the
//! instances that the platform lists.
//!
//! This package does not depend on the names that a platform uses: an
//! [`adapter::Adapter`] decodes the platform's records and headers into the types
//! here and carries out orders.

pub mod adapter;
pub mod announced_replicas;
mod backoff;
pub mod choose;
pub mod cold_watch;
pub mod control;
pub mod cost;
mod crash_watch;
mod early_rejection;
pub mod feed;
pub mod fleet;
pub mod gateway_config;
pub mod instance;
pub mod instance_table;
mod leased_key;
mod leaving_servers;
mod links;
pub mod listing;
mod lock;
pub mod log;
mod machine_limits;
pub mod metered_store;
pub mod metrics;
pub mod node;
pub mod peer_loads;
pub mod peers;
pub mod relay;
mod server_limits;
mod server_pauses;
pub mod store_era;
#[cfg(test)]
mod testing;
