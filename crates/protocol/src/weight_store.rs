//! Client interface of the weight store, from which engines load model weights
//! at a limited rate.

use citrongw_state::{
    id::{ModelId, ModelVersion},
    unit::Bytes,
};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::store::StoreError;

/// Size of the weights of a model version and the rate of the store.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WeightInfo {
    /// Size of the weights that one instance loads, in bytes.
    pub instance_bytes: Bytes,
    /// Rate in bytes per second that all readers of the store share.
    pub rate_bytes_per_s: f64,
}

/// Client of the weight store.
pub trait WeightStore: Send + Sync {
    /// Returns the size of a model version's weights and the rate of the store.
    fn info(
        &self,
        model: ModelId,
        version: ModelVersion,
    ) -> BoxFuture<'_, Result<WeightInfo, StoreError>>;
}
