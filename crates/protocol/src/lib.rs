//! Messages, result codes and the narrow interfaces to the systems around
//! citrongw.
//!
//! The traits here are all that decisions and drivers know of the platform and
//! of the engines; `transport` holds the clients behind them.

pub mod admin;
pub mod admin_config;
pub mod caller;
pub mod claim;
pub mod code;
pub mod config_delta;
pub mod config_record;
pub mod decision;
pub mod engine;
pub mod instance_list;
pub mod news;
pub mod node_record;
pub mod peer;
pub mod record;
pub mod status;
pub mod store;
pub mod weight_store;
