//! Messages, result codes and the interfaces to the systems around citrongw.
//!
//! Decision logic and drivers use the platform and the engines only through
//! these traits; the `transport` crate implements them.

pub mod admin;
pub mod admin_config;
pub mod caller;
pub mod claim;
pub mod code;
pub mod config_delta;
pub mod config_record;
pub mod decision;
pub mod engine;
pub mod gossip_item;
pub mod instance_list;
pub mod node_record;
pub mod peer;
pub mod record;
pub mod replica_report;
pub mod store;
pub mod weight_store;
