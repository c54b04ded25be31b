//! Configuration: how it is changed, how it spreads and when a node may act on
//! what it holds.

pub mod edit;
pub mod gate;

pub use crate::config_watch::{ConfigCell, VersionedConfig};
