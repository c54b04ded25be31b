//! Plain services and the repeat semantics of their calls.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::id::PlainServiceId;

/// Service that is not a model engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainService {
    /// Name, as in the path `/services/NAME/`.
    pub id: PlainServiceId,
    /// Addresses of its backend servers.
    pub addrs: Vec<SocketAddr>,
    /// Rules of the calls that the service accepts. The first match applies.
    pub calls: Vec<CallRule>,
}

/// Whether a call may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallClass {
    /// Running the call several times has the same effect as running it once.
    Idempotent,
    /// The call must never run twice.
    AtMostOnce,
}

/// Class of the calls with one method and path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// HTTP method, in capitals.
    pub method: String,
    /// Prefix of the path after `/services/NAME`.
    pub path: String,
    /// Class of the call.
    pub class: CallClass,
    /// Whether the idempotency key is passed to the backend server, which
    /// handles it itself.
    #[serde(default)]
    pub passes_key: bool,
    /// Whether an at-most-once call without an idempotency key is rejected.
    #[serde(default = "default_key_required")]
    pub key_required: bool,
    /// Largest response of an at-most-once call, in bytes, that is stored for
    /// resends.
    #[serde(default = "default_answer_bytes")]
    pub answer_bytes: u32,
    /// Time after the end of an at-most-once call in which resends get its
    /// response, in milliseconds.
    #[serde(default = "default_retention_ms")]
    pub retention_ms: u64,
}

impl CallRule {
    /// Whether the rule applies to a call.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        self.method == method && path.starts_with(&self.path)
    }

    /// Time after the end of a call in which resends get its response.
    pub fn retention(&self) -> Duration {
        Duration::from_millis(self.retention_ms)
    }
}

impl PlainService {
    /// Rule of a call; `None` if the service does not accept it.
    pub fn rule(&self, method: &str, path: &str) -> Option<&CallRule> {
        self.calls.iter().find(|it| it.matches(method, path))
    }
}

fn default_key_required() -> bool {
    true
}

fn default_answer_bytes() -> u32 {
    4096
}

fn default_retention_ms() -> u64 {
    3_600_000
}
