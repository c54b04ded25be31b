//! End-to-end tests of a caller's request through a node process to fake engines.

mod common;

use std::net::SocketAddr;

use citrongw::demo;
use citrongw_fakes::engine::FakeEngine;
use citrongw_transport::http_client::{self, HttpClient};
use http::{Method, StatusCode};

use common::start_node;

const PROMPT: &str = "climb and cut";
const TOKENS: u32 = 8;

async fn post(http: &HttpClient, addr: SocketAddr, stream: bool) -> (StatusCode, String) {
    let body = serde_json::json!({
        "model": "plans", "prompt": PROMPT, "max_tokens": TOKENS, "stream": stream,
    });
    let builder = common::request(Method::POST, addr, "/v1/completions");
    common::send(http, builder, &body.to_string()).await
}

/// Retries until the node has its configuration and replicas.
async fn post_when_ready(http: &HttpClient, addr: SocketAddr) -> String {
    loop {
        let (status, body) = post(http, addr, false).await;
        if status != StatusCode::SERVICE_UNAVAILABLE {
            assert_eq!(status, StatusCode::OK, "{body}");
            return body;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn whole_answers_with_and_without_streaming() {
    let fakes = demo::start_fakes().await.unwrap();
    let node = start_node(&fakes);
    let http = http_client::open();
    let expected = FakeEngine::completion(PROMPT, TOKENS).concat();

    let body: serde_json::Value =
        serde_json::from_str(&post_when_ready(&http, node.addr).await).unwrap();
    assert_eq!(body["choices"][0]["text"], expected);

    // Every stream breaks once midway and is resumed.
    for engine in &fakes.engines {
        engine.break_next_stream_after(Some(3));
    }
    let (status, body) = post(&http, node.addr, true).await;
    assert_eq!(status, StatusCode::OK);
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
    let text: String = body
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
        .filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned))
        .collect();
    assert_eq!(text, expected);
}

#[tokio::test]
async fn no_replica_serves_while_a_member_is_missing() {
    let fakes = demo::start_fakes().await.unwrap();
    let node = start_node(&fakes);
    let http = http_client::open();
    post_when_ready(&http, node.addr).await;
    // The last member of each replica restarts with its old address.
    for engine in fakes.engines.iter().skip(3).step_by(4) {
        engine.set_report(|report| report.incarnation.0 += 1000);
    }
    loop {
        let (status, body) = post(&http, node.addr, false).await;
        if status == StatusCode::SERVICE_UNAVAILABLE {
            assert!(body.contains("\"outcome\":\"not_run\""), "{body}");
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}
