//! HTTP client of the platform's instance list.

use std::{net::SocketAddr, time::Duration};

use citrongw_protocol::{
    instance_list::{InstanceList, ListedInstance},
    store::StoreError,
};
use futures::{FutureExt, future::BoxFuture};

use crate::http_client::{self, HttpClient};

/// Client of the instance list.
#[derive(Debug, Clone)]
pub struct InstanceListClient {
    http: HttpClient,
    addr: SocketAddr,
    timeout: Duration,
}

/// Creates a client. Each call times out after `timeout`.
pub fn open(addr: SocketAddr, timeout: Duration) -> InstanceListClient {
    InstanceListClient { http: http_client::open(), addr, timeout }
}

impl InstanceList for InstanceListClient {
    fn list(&self) -> BoxFuture<'_, Result<Vec<ListedInstance>, StoreError>> {
        async move {
            let res = self.http.get_json(self.addr, "/instances", self.timeout).await;
            res.map_err(|_| StoreError::NoResponse)
        }
        .boxed()
    }
}
