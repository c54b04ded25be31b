//! Plain services and the classes of their calls.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::id::PlainServiceId;

/// Plain service beside the engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainService {
    /// Its name, as in `/services/NAME/`.
    pub id: PlainServiceId,
    /// Addresses of its backend servers.
    pub addrs: Vec<SocketAddr>,
    /// Calls that it takes. The first that matches decides.
    pub calls: Vec<CallRule>,
}

/// How a call may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallClass {
    /// Any number of runs is as good as one.
    Idempotent,
    /// Must never run twice.
    AtMostOnce,
}

/// Class of the calls of one method below one path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// Method, in capitals.
    pub method: String,
    /// Prefix of the path after `/services/NAME`.
    pub path: String,
    /// Class of the call.
    pub class: CallClass,
    /// Whether the backend server takes the idempotency key itself.
    #[serde(default)]
    pub passes_key: bool,
    /// Whether an at-most-once call without an idempotency key is refused.
    #[serde(default = "default_key_required")]
    pub key_required: bool,
    /// Largest answer of an at-most-once call that is stored for resends.
    #[serde(default = "default_answer_bytes")]
    pub answer_bytes: u32,
    /// Time after the end of an at-most-once call for which it answers resends.
    #[serde(default = "default_retention_ms")]
    pub retention_ms: u64,
}

impl CallRule {
    /// Whether the rule is for a call.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        self.method == method && path.starts_with(&self.path)
    }

    /// Time after the end of a call for which it answers resends.
    pub fn retention(&self) -> Duration {
        Duration::from_millis(self.retention_ms)
    }
}

impl PlainService {
    /// Rule of a call. None if the service doesn't take it.
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
