//! Fake instance list and weight store.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use citrongw_protocol::{
    instance_list::{InstanceState, ListedInstance},
    weight_store::WeightInfo,
};
use citrongw_state::{id::InstanceId, unit::Bytes};
use citrongw_transport::http_server::{self, HttpServer};
use viz::{Request, Response, Router, StatusCode};

use crate::http;

/// Size of the weights that one instance loads, equal for every model.
const INSTANCE_WEIGHT_BYTES: u64 = 20_000_000_000;
/// Transfer rate of the weight store.
const WEIGHT_RATE_BYTES_PER_S: f64 = 10e9;

/// Instance list. Clones share it with the server.
#[derive(Debug, Clone, Default)]
pub struct Platform {
    instances: Arc<Mutex<Vec<ListedInstance>>>,
}

impl Platform {
    /// Adds an instance, or replaces its entry.
    pub fn put(&self, instance: ListedInstance) {
        let mut instances = self.instances.lock().unwrap_or_else(PoisonError::into_inner);
        instances.retain(|it| it.id != instance.id);
        instances.push(instance);
    }

    /// Sets the state of an instance, if it is listed.
    pub fn set_state(&self, id: &InstanceId, state: InstanceState) {
        let mut instances = self.instances.lock().unwrap_or_else(PoisonError::into_inner);
        for instance in instances.iter_mut().filter(|it| it.id == *id) {
            instance.state = state;
        }
    }

    /// Removes an instance from the list.
    pub fn remove(&self, id: &InstanceId) {
        let mut instances = self.instances.lock().unwrap_or_else(PoisonError::into_inner);
        instances.retain(|it| it.id != *id);
    }

    /// Current entries of the list.
    pub fn instances(&self) -> Vec<ListedInstance> {
        self.instances.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Serves `platform` on `addr`.
pub async fn bind(addr: SocketAddr, platform: Platform) -> io::Result<HttpServer> {
    let router = Router::new()
        .get("/instances", move |_: Request| {
            let instances = platform.instances();
            async move { Ok::<Response, viz::Error>(http::json(StatusCode::OK, &instances)) }
        })
        .get("/weights/:model/:version", |_: Request| async move {
            let info = WeightInfo {
                instance_bytes: Bytes(INSTANCE_WEIGHT_BYTES),
                rate_bytes_per_s: WEIGHT_RATE_BYTES_PER_S,
            };
            Ok::<Response, viz::Error>(http::json(StatusCode::OK, &info))
        });
    http_server::bind(addr, router).await
}
