//! HTTP client of the weight store.

use std::{net::SocketAddr, time::Duration};

use citrongw_protocol::{
    store::StoreError,
    weight_store::{WeightInfo, WeightStore},
};
use citrongw_state::id::{ModelId, ModelVersion};
use futures::{FutureExt, future::BoxFuture};

use crate::http_client::{self, HttpClient};

/// Client of the weight store.
#[derive(Debug, Clone)]
pub struct WeightStoreClient {
    http: HttpClient,
    addr: SocketAddr,
    timeout: Duration,
}

/// Creates a client. Each call times out after `timeout`.
pub fn open(addr: SocketAddr, timeout: Duration) -> WeightStoreClient {
    WeightStoreClient { http: http_client::open(), addr, timeout }
}

impl WeightStore for WeightStoreClient {
    fn info(
        &self,
        model: ModelId,
        version: ModelVersion,
    ) -> BoxFuture<'_, Result<WeightInfo, StoreError>> {
        async move {
            let path = format!("/weights/{model}/{version}");
            let res = self.http.get_json(self.addr, &path, self.timeout).await;
            res.map_err(|_| StoreError::NoResponse)
        }
        .boxed()
    }
}
