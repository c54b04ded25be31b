//! Stand-in for the instance list and the weight store.

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

/// Size of the weights of every model here.
const INSTANCE_WEIGHT_BYTES: u64 = 20_000_000_000;
/// Rate of the weight store.
const WEIGHT_RATE_BYTES_PER_S: f64 = 10e9;

/// The list, shared with the server.
#[derive(Debug, Clone, Default)]
pub struct Platform {
    instances: Arc<Mutex<Vec<ListedInstance>>>,
}

impl Platform {
    /// Adds an instance, or replaces what is said of it.
    pub fn put(&self, instance: ListedInstance) {
        let mut instances = self.instances.lock().unwrap_or_else(PoisonError::into_inner);
        instances.retain(|it| it.id != instance.id);
        instances.push(instance);
    }

    /// Marks an instance.
    pub fn set_state(&self, id: &InstanceId, state: InstanceState) {
        let mut instances = self.instances.lock().unwrap_or_else(PoisonError::into_inner);
        for instance in instances.iter_mut().filter(|it| it.id == *id) {
            instance.state = state;
        }
    }

    /// Takes an instance off the list.
    pub fn remove(&self, id: &InstanceId) {
        let mut instances = self.instances.lock().unwrap_or_else(PoisonError::into_inner);
        instances.retain(|it| it.id != *id);
    }

    /// What the list says.
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
