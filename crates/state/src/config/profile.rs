//! Profiles: how classes of traffic are treated.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{AdapterId, ModelId, ModelVersion, ProfileId};

/// Priority class of requests.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Served before all others.
    High,
    /// The usual class.
    #[default]
    Normal,
    /// Served with what is left.
    Low,
}

/// How a class of traffic is treated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Its name.
    pub id: ProfileId,
    /// Model that requests go to.
    pub model: ModelId,
    /// Version, if one is asked for.
    #[serde(default)]
    pub version: Option<ModelVersion>,
    /// Adapter, if any.
    #[serde(default)]
    pub adapter: Option<AdapterId>,
    /// Priority class.
    #[serde(default)]
    pub priority: Priority,
    /// Longest time from arrival to the end of the answer.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Longest time until the first token.
    #[serde(default = "default_first_token_ms")]
    pub first_token_ms: u64,
    /// Longest time between tokens.
    #[serde(default = "default_between_tokens_ms")]
    pub between_tokens_ms: u64,
    /// Attempts beyond the first, at most.
    #[serde(default = "default_retries")]
    pub retries: u32,
    /// Whether a second attempt may run beside a slow first one.
    #[serde(default)]
    pub hedge: bool,
    /// Requests at once over one node, at most; none if absent.
    #[serde(default)]
    pub limit_in_flight: Option<u32>,
    /// Replicas that a planned change keeps serving.
    #[serde(default = "default_min_serving")]
    pub min_serving: u32,
}

impl Profile {
    /// Longest time from arrival to the end of the answer.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Longest time until the first token.
    pub fn first_token(&self) -> Duration {
        Duration::from_millis(self.first_token_ms)
    }

    /// Longest time between tokens.
    pub fn between_tokens(&self) -> Duration {
        Duration::from_millis(self.between_tokens_ms)
    }
}

fn default_deadline_ms() -> u64 {
    60_000
}

fn default_first_token_ms() -> u64 {
    10_000
}

fn default_between_tokens_ms() -> u64 {
    5_000
}

fn default_retries() -> u32 {
    2
}

fn default_min_serving() -> u32 {
    1
}
