//! Configuration: how it is changed, how it spreads and when a node may act on
//! what it holds.

pub mod document;
pub mod edit;
pub mod gate;
pub mod held_config;
pub mod holders;
pub mod rules;
pub mod watch;

use arc_swap::ArcSwapOption;
use citrongw_state::{config::Config, id::Revision};

/// Configuration with the revision that wrote it.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionedConfig {
    /// Revision of the service.
    pub revision: Revision,
    /// The document.
    pub config: Config,
}

/// Configuration in force. Empty until one has been read.
pub type ConfigCell = ArcSwapOption<VersionedConfig>;
