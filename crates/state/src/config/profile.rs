//! Profiles: the model, priority and limits of a class of traffic.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{AdapterId, ModelId, ModelVersion, ProfileId};

/// Priority class of requests.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Served before the other classes.
    High,
    /// Default class.
    #[default]
    Normal,
    /// Served only while the other classes are empty.
    Low,
}

/// Model, priority and limits of a class of traffic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Unique name.
    pub id: ProfileId,
    /// Model that requests go to.
    pub model: ModelId,
    /// Version of the model; any version if absent.
    #[serde(default)]
    pub version: Option<ModelVersion>,
    /// Adapter on top of the model; none if absent.
    #[serde(default)]
    pub adapter: Option<AdapterId>,
    /// Priority class of the requests.
    #[serde(default)]
    pub priority: Priority,
    /// Longest time from arrival to the end of the response, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Longest time until the first token, in milliseconds.
    #[serde(default = "default_first_token_ms")]
    pub first_token_ms: u64,
    /// Longest time between tokens, in milliseconds.
    #[serde(default = "default_between_tokens_ms")]
    pub between_tokens_ms: u64,
    /// Maximum number of attempts after the first.
    #[serde(default = "default_retries")]
    pub retries: u32,
    /// Whether a second attempt may run in parallel with a slow first one.
    #[serde(default)]
    pub hedge: bool,
    /// Maximum number of concurrent requests per node; unlimited if absent.
    #[serde(default)]
    pub limit_in_flight: Option<u32>,
    /// Minimum number of replicas that serve during a planned change.
    #[serde(default = "default_min_serving")]
    pub min_serving: u32,
}

impl Profile {
    /// Longest time from arrival to the end of the response.
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
