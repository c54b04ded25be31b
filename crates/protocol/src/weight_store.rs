//! The weight store. Engines load from it; its rate is limited.

use citrongw_state::{
    id::{ModelId, ModelVersion},
    unit::Bytes,
};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::store::StoreError;

/// Weights of one model version.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WeightInfo {
    /// Size of the weights that one instance loads.
    pub instance_bytes: Bytes,
    /// Bytes a second that the store gives to all readers together.
    pub rate_bytes_per_s: f64,
}

/// Client of the weight store.
pub trait WeightStore: Send + Sync {
    /// Asks for the size of a model version's weights and the store's rate.
    fn info(
        &self,
        model: ModelId,
        version: ModelVersion,
    ) -> BoxFuture<'_, Result<WeightInfo, StoreError>>;
}
