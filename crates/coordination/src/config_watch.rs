//! The configuration in force, under the name by which readers know it.

pub use crate::config::{ConfigCell, VersionedConfig};
