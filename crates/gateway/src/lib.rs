//! The gateway of citrongw: requests pass through it to backend servers with
//! method, path, headers and body intact, and it keeps the replicas of models
//! formed on the instances that the platform lists.
//!
//! What a platform calls things is no matter of this package: an
//! [`adapter::Adapter`] decodes the platform's records and headers into the
//! types here and carries out orders.

pub mod adapter;
pub mod announced_replicas;
pub mod choose;
pub mod control;
pub mod feed;
pub mod fleet;
pub mod gateway_config;
pub mod instance;
pub mod instance_table;
pub mod listing;
pub mod log;
pub mod metered_store;
pub mod metrics;
pub mod node;
pub mod peer_loads;
pub mod peers;
pub mod relay;
#[cfg(test)]
mod testing;
