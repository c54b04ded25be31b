//! The configuration as it stands in the key-value service.
//!
//! A small head, changed by compare-and-swap, names an immutable body. Watching
//! nodes read the head alone, often; a body is read once. A document that an
//! operator put there by hand, without head, is taken as it is.

use citrongw_state::{config::Config, id::ChangeId};
use serde::{Deserialize, Serialize};

use crate::{admin_config::ChangeRecord, store::Key};

/// Prefix of the bodies.
pub const BODY_PREFIX: &str = "citrongw/body/";
/// Changes that the history keeps.
pub const MAX_HISTORY: usize = 64;

/// Key of a change's body.
pub fn body_key(change: ChangeId) -> Key {
    format!("{BODY_PREFIX}{change}").into()
}

/// Digest of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct ConfigDigest(pub [u8; 32]);

impl ConfigDigest {
    /// Digest of `config`.
    pub fn of(config: &Config) -> Self {
        Self(*blake3::hash(&serde_json::to_vec(config).unwrap_or_default()).as_bytes())
    }
}

/// Value of the configuration key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigHead {
    /// The change that made this version; names the body.
    pub made: ChangeRecord,
    /// Digest of the document, in hexadecimal.
    pub digest: String,
}

/// Document with its history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigBody {
    /// The document.
    pub config: Config,
    /// Changes before this one, oldest first.
    pub history: Vec<ChangeRecord>,
}

/// What the configuration key holds.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigValue {
    /// A head.
    Head(ConfigHead),
    /// A document put there by hand.
    Plain(Box<Config>),
}

impl ConfigValue {
    /// Reads the value of the key.
    pub fn parse(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        if let Ok(head) = serde_json::from_slice(bytes) {
            return Ok(Self::Head(head));
        }
        serde_json::from_slice(bytes).map(Self::Plain)
    }
}

impl ConfigHead {
    /// Whether `config` is the document of this head.
    pub fn fits(&self, config: &Config) -> bool {
        digest_text(config) == self.digest
    }
}

/// Digest of a document as heads carry it.
pub fn digest_text(config: &Config) -> String {
    blake3::Hash::from_bytes(ConfigDigest::of(config).0).to_hex().to_string()
}

#[cfg(test)]
mod tests;
