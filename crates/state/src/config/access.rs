//! Access control: organisations, services and operators.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::REDACTED;
use crate::id::{OperatorId, OrganisationId, ProfileId, ServiceId};

/// Organisation with its weight and limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Unique name.
    pub id: OrganisationId,
    /// Weight in fair sharing.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limit over all nodes, in requests per second; unlimited if absent.
    #[serde(default)]
    pub limit_requests_per_s: Option<f64>,
}

/// Service of an organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub id: ServiceId,
    /// Organisation that it belongs to.
    pub organisation: OrganisationId,
    /// Profile that it runs under.
    pub profile: ProfileId,
    /// Digests of its API keys, see [`KeyDigest::of`].
    pub key_digests: Vec<KeyDigest>,
}

impl Service {
    /// Whether the two services have a key in common. Redacted digests are
    /// ignored.
    pub(super) fn shares_key_with(&self, other: &Self) -> bool {
        let mut unredacted = self.key_digests.iter().filter(|it| it.0 != REDACTED);
        unredacted.any(|it| other.key_digests.contains(it))
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
    /// May read the configuration and state.
    Read,
    /// May read and change the configuration and state.
    Operate,
}

/// Operator with its token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name, recorded with each change that the operator makes.
    pub id: OperatorId,
    /// Permissions of the operator.
    pub role: Role,
    /// Digest of the token, see [`KeyDigest::of`].
    pub token_digest: KeyDigest,
}

fn default_weight() -> u32 {
    1
}
