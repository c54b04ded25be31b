//! Deployments: what replicas hold, and how many there are.

use serde::{Deserialize, Serialize};

use crate::id::{AdapterId, DeploymentId, ModelId, ModelVersion};

/// Model version served by a number of replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Its name.
    pub id: DeploymentId,
    /// Model.
    pub model: ModelId,
    /// Version.
    pub version: ModelVersion,
    /// Adapters to load.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
    /// Replicas wanted.
    pub replicas: u32,
    /// Instances of each replica.
    pub instances_per_replica: u32,
    /// Whether its engines refuse an order of an older epoch.
    #[serde(default)]
    pub honours_fencing: bool,
}
