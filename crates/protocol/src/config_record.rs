//! Representation of the configuration in the key-value service.
//!
//! The value of the configuration key is a small head that is written by
//! compare-and-swap and references an immutable body. Nodes that follow the
//! configuration read only the head, often; they read a body once. A document
//! that an operator stored by hand, without a head, is accepted as well.

use citrongw_state::{config::Config, id::ChangeId};
use serde::{Deserialize, Serialize};

use crate::{admin_config::ChangeRecord, store::Key};

/// Key prefix of the bodies.
pub const BODY_PREFIX: &str = "citrongw/body/";
/// Maximum number of changes in the history.
pub const MAX_HISTORY: usize = 64;

/// Returns the key of the body that a change produced.
pub fn body_key(change: ChangeId) -> Key {
    format!("{BODY_PREFIX}{change}").into()
}

/// BLAKE3 digest of a document in its JSON form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct ConfigDigest(pub [u8; 32]);

impl ConfigDigest {
    /// Computes the digest of `config`.
    pub fn of(config: &Config) -> Self {
        Self(*blake3::hash(&serde_json::to_vec(config).unwrap_or_default()).as_bytes())
    }
}

/// Value of the configuration key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigHead {
    /// Change that produced this revision. Its id is part of the body's key.
    pub made: ChangeRecord,
    /// Digest of the document, in hexadecimal.
    pub digest: String,
}

/// Document with its history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigBody {
    /// Configuration document.
    pub config: Config,
    /// Earlier changes, oldest first.
    pub history: Vec<ChangeRecord>,
}

/// Parsed value of the configuration key.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigValue {
    /// Head that references a body.
    Head(ConfigHead),
    /// Document that an operator stored by hand.
    HeadlessDocument(Box<Config>),
}

impl ConfigValue {
    /// Parses the value of the configuration key.
    pub fn parse(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        if let Ok(head) = serde_json::from_slice(bytes) {
            return Ok(Self::Head(head));
        }
        serde_json::from_slice(bytes).map(Self::HeadlessDocument)
    }
}

impl ConfigHead {
    /// Whether the digest of `config` equals the head's.
    pub fn matches(&self, config: &Config) -> bool {
        digest_hex(config) == self.digest
    }
}

/// Returns the hexadecimal digest of a document, as stored in heads.
pub fn digest_hex(config: &Config) -> String {
    blake3::Hash::from_bytes(ConfigDigest::of(config).0).to_hex().to_string()
}

#[cfg(test)]
mod tests;
