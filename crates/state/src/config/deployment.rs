//! Deployments: what replicas serve, and how many there are.

use serde::{Deserialize, Serialize};

use crate::id::{AdapterId, DeploymentId, ModelId, ModelVersion};

/// Model version served by a number of replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Unique name.
    pub id: DeploymentId,
    /// Model to serve.
    pub model: ModelId,
    /// Version of the model.
    pub version: ModelVersion,
    /// Adapters to load with the model.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
    /// Desired number of replicas.
    pub replicas: u32,
    /// Number of instances in each replica.
    pub instances_per_replica: u32,
    /// Whether its engines reject orders of an older epoch.
    #[serde(default)]
    pub honours_fencing: bool,
}
