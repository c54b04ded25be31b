//! Configuration: how it is changed, how it spreads and when a node may act on
//! what it holds.

pub mod document;
pub mod edit;
pub mod gate;
pub mod holders;
pub mod holding;

pub use crate::config_watch::{ConfigCell, VersionedConfig};
