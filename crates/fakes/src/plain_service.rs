//! Fake plain service: counts the runs of each call, and can delay or lose its
//! replies.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use citrongw_transport::http_server::{self, HttpServer};
use futures::stream;
use serde_json::json;
use viz::{Body, Request, RequestExt, Response, Router, StatusCode};

use crate::http;

/// Recorded runs by request body, and the behaviour of the service. Clones share
/// both with the server.
#[derive(Debug, Clone, Default)]
pub struct CallRecorder {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    counts: BTreeMap<String, u64>,
    keys: Vec<String>,
    latency: Duration,
    replies_to_lose: u32,
}

impl CallRecorder {
    /// Number of runs of calls with this body.
    pub fn run_count(&self, body: &str) -> u64 {
        self.lock().counts.get(body).copied().unwrap_or_default()
    }

    /// Number of runs of all calls.
    pub fn total(&self) -> u64 {
        self.lock().counts.values().sum()
    }

    /// Idempotency keys of the received calls, in order of arrival.
    pub fn keys(&self) -> Vec<String> {
        self.lock().keys.clone()
    }

    /// Sets the delay between the run of a call and its reply.
    pub fn set_latency(&self, latency: Duration) {
        self.lock().latency = latency;
    }

    /// Interrupts the replies to the next `count` calls; the calls still run.
    pub fn lose_replies(&self, count: u32) {
        self.lock().replies_to_lose = count;
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self, body: String, key: Option<String>) -> Run {
        let mut shared = self.lock();
        shared.keys.extend(key);
        let reply_lost = 0 < shared.replies_to_lose;
        shared.replies_to_lose = shared.replies_to_lose.saturating_sub(1);
        let latency = shared.latency;
        let count = shared.counts.entry(body).or_default();
        *count += 1;
        Run { count: *count, latency, reply_lost }
    }
}

struct Run {
    count: u64,
    latency: Duration,
    reply_lost: bool,
}

/// Serves any method and path on `addr`.
pub async fn bind(addr: SocketAddr, recorder: CallRecorder) -> io::Result<HttpServer> {
    let router = Router::new().any("/*", move |req| run(recorder.clone(), req));
    http_server::bind(addr, router).await
}

async fn run(recorder: CallRecorder, mut req: Request) -> viz::Result<Response> {
    let body = req.text().await?;
    let path = req.path().to_owned();
    let run = recorder.record(body.clone(), req.header("idempotency-key"));
    tokio::time::sleep(run.latency).await;
    if run.reply_lost {
        let broken = stream::iter([Err::<bytes::Bytes, _>(io::Error::other("reply is lost"))]);
        return Ok(Response::new(Body::from_stream(broken)));
    }
    Ok(http::json(StatusCode::OK, &json!({ "path": path, "body": body, "runs": run.count })))
}
