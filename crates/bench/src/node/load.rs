//! Closed-loop load generator for engines and nodes: each worker sends its next
//! request once it has read the previous response.

use std::{net::SocketAddr, time::Duration};

use citrongw::demo::DEMO_KEY;
use citrongw_protocol::engine::GenerateRequest;
use citrongw_state::{
    config::Priority,
    id::{Epoch, Incarnation, ReplicaId, RequestId, StreamId},
};
use citrongw_transport::http_client::{self, HttpClient};
use hdrhistogram::Histogram;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use serde_json::json;
use tokio::time::Instant;

/// Significant digits of the latency histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Destination of a request.
#[derive(Debug, Clone, Copy)]
pub(super) enum Target {
    /// Directly to an engine.
    Engine {
        /// Address to which requests are sent.
        addr: SocketAddr,
        /// Replica that the engine serves.
        replica: ReplicaId,
        /// Epoch of the replica.
        epoch: Epoch,
        /// Incarnation of the engine process.
        incarnation: Incarnation,
    },
    /// Through a node's inference API.
    Node {
        /// Address to which requests are sent.
        addr: SocketAddr,
        /// Whether responses are streamed as server-sent events.
        stream: bool,
    },
}

/// Result of one load run.
pub(super) struct LoadResult {
    /// Requests with a complete response.
    pub(super) requests: u64,
    /// Wall-clock duration of the run.
    pub(super) elapsed: Duration,
    /// Request latencies in microseconds.
    pub(super) times_us: Histogram<u64>,
}

/// Runs `workers` concurrent workers for `duration`.
pub(super) async fn run(
    targets: &[Target],
    workers: usize,
    tokens: u32,
    duration: Duration,
) -> LoadResult {
    let http = http_client::open();
    let started_at = Instant::now();
    let until = started_at + duration;
    let work = (0..workers).map(|worker| {
        let (http, target) = (http.clone(), targets[worker % targets.len()]);
        tokio::spawn(run_worker(http, target, worker, tokens, until))
    });
    let mut times_us = Histogram::new(SIGNIFICANT_DIGITS).expect("histogram");
    for times in futures::future::join_all(work).await {
        times_us.add(times.expect("worker")).expect("times");
    }
    LoadResult { requests: times_us.len(), elapsed: started_at.elapsed(), times_us }
}

async fn run_worker(
    http: HttpClient,
    target: Target,
    worker: usize,
    tokens: u32,
    until: Instant,
) -> Histogram<u64> {
    let mut times_us = Histogram::new(SIGNIFICANT_DIGITS).expect("histogram");
    let mut number = 0;
    while Instant::now() < until {
        let sent_at = Instant::now();
        let prompt = format!("climb palm {worker} row {number}");
        send(&http, target, &prompt, tokens).await;
        let took_us = u64::try_from(sent_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        times_us.record(took_us.max(1)).expect("time");
        number += 1;
    }
    times_us
}

/// Sends one request and reads the complete response.
pub(super) async fn send(http: &HttpClient, target: Target, prompt: &str, tokens: u32) {
    let response = http.send(request(target, prompt, tokens)).await.expect("response");
    assert_eq!(response.status(), 200);
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        frame.expect("complete response");
    }
}

/// Builds a completion request for the target.
pub(super) fn request(target: Target, prompt: &str, tokens: u32) -> Request<Full<bytes::Bytes>> {
    let (uri, body) = match target {
        Target::Engine { addr, replica, epoch, incarnation } => {
            let id = RequestId(rand::random());
            let body = GenerateRequest {
                request: id,
                stream: StreamId::from(format!("{id}-1")),
                replica,
                epoch,
                incarnation,
                model: "plans".into(),
                adapter: None,
                priority: Priority::Normal,
                prompt: prompt.to_owned(),
                max_tokens: tokens,
            };
            let body = serde_json::to_string(&body).expect("body");
            (format!("http://{addr}/engine/generate"), body)
        }
        Target::Node { addr, stream } => {
            let body = json!({
                "model": "plans", "prompt": prompt, "max_tokens": tokens, "stream": stream,
            });
            (format!("http://{addr}/v1/completions"), body.to_string())
        }
    };
    Request::builder()
        .method(Method::POST)
        .uri(uri)
        .header("authorization", format!("Bearer {DEMO_KEY}"))
        .header("content-type", "application/json")
        .body(Full::from(body))
        .expect("request")
}
