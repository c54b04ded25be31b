//! Who may call and who may operate: organisations, services and operators.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::REDACTED;
use crate::id::{OperatorId, OrganisationId, ProfileId, ServiceId};

/// Organisation with its share and limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub id: OrganisationId,
    /// Weight in fair sharing.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limit over all nodes, requests a second; none if absent.
    #[serde(default)]
    pub limit_requests_per_s: Option<f64>,
}

/// Service of an organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub id: ServiceId,
    /// Organisation that it belongs to.
    pub organisation: OrganisationId,
    /// Profile that it runs under.
    pub profile: ProfileId,
    /// Digests of its API keys, see [`KeyDigest::of`].
    pub key_digests: Vec<KeyDigest>,
}

impl Service {
    /// Digests that are not shown tell nothing.
    pub(super) fn shares_key_with(&self, other: &Self) -> bool {
        let mut shown = self.key_digests.iter().filter(|it| it.0 != REDACTED);
        shown.any(|it| other.key_digests.contains(it))
    }
}

/// Digest of an API key or of an operator's token.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(transparent)]
pub struct KeyDigest(pub String);

impl KeyDigest {
    /// BLAKE3 digest of `secret`, in hexadecimal.
    pub fn of(secret: &str) -> Self {
        Self(blake3::hash(secret.as_bytes()).to_hex().to_string())
    }
}

/// Role of an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// May look.
    Read,
    /// May look and change.
    Operate,
}

/// Operator with its token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name, for the record of changes.
    pub id: OperatorId,
    /// Role.
    pub role: Role,
    /// Digest of the token.
    pub token_digest: KeyDigest,
}

fn default_weight() -> u32 {
    1
}
