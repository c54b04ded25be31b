//! Stand-in for a plain service: counts the runs of each call.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use citrongw_transport::http_server::{self, HttpServer};
use serde_json::json;
use viz::{Request, RequestExt, Response, Router, StatusCode};

use crate::http;

/// Runs by body, shared with the server.
#[derive(Debug, Clone, Default)]
pub struct Runs {
    counts: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Runs {
    /// How often a call with this body ran.
    pub fn of(&self, body: &str) -> u64 {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.get(body).copied().unwrap_or_default()
    }

    /// How many calls ran.
    pub fn total(&self) -> u64 {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).values().sum()
    }

    fn add(&self, body: String) -> u64 {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(body).or_default();
        *count += 1;
        *count
    }
}

/// Serves any call on `addr`.
pub async fn bind(addr: SocketAddr, runs: Runs) -> io::Result<HttpServer> {
    let router = Router::new().any("/*path", move |req| run(runs.clone(), req));
    http_server::bind(addr, router).await
}

async fn run(runs: Runs, mut req: Request) -> viz::Result<Response> {
    let body = req.text().await?;
    let path = req.path().to_owned();
    let count = runs.add(body.clone());
    Ok(http::json(StatusCode::OK, &json!({ "path": path, "body": body, "runs": count })))
}
