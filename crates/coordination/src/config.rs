//! Configuration: editing it, distributing it to nodes, and the rules for when a
//! node may act on the version that it holds.

pub mod document;
pub mod edit;
pub mod gate;
pub mod held_config;
pub mod holders;
pub mod rules;
pub mod watch;

use arc_swap::ArcSwapOption;
use citrongw_state::{config::Config, id::Revision};

/// Configuration with its revision.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionedConfig {
    /// Revision of the key-value service at which it was committed.
    pub revision: Revision,
    /// Content.
    pub config: Config,
}

/// Configuration in force. Empty until the node has one.
pub type ConfigCell = ArcSwapOption<VersionedConfig>;
