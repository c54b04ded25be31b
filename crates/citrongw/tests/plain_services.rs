//! Tests of calls of plain services through a node, with faults of the services and
//! of the key-value service.

mod common;

use std::time::Duration;

use citrongw::{
    demo::{self, Demo},
    node,
};
use citrongw_fakes::kv::mem::Fault;
use citrongw_protocol::{
    record::CONFIG_KEY,
    store::{Change, Expected, Store, Write},
};
use citrongw_state::config::Config;
use citrongw_transport::http_client::{self, HttpClient};
use http::{Method, StatusCode};

const PAUSE: Duration = Duration::from_millis(10);
const MAX_POLLS: usize = 1_000;

/// Starts a node with a changed configuration.
async fn open(change: impl FnOnce(&mut Config)) -> (Demo, HttpClient) {
    let fakes = demo::start_fakes().await.unwrap();
    let store = &fakes.store;
    let entry = store.get(CONFIG_KEY.into()).await.unwrap().into_entry().unwrap();
    let mut config: Config = serde_json::from_slice(&entry.value).unwrap();
    config.profiles[0].deadline_ms = 1_000;
    config.profiles[0].first_token_ms = 1_000;
    change(&mut config);
    let value = serde_json::to_vec(&config).unwrap().into();
    let expected = Expected::Revision(entry.revision);
    let write = Write { key: entry.key, expected, change: Change::Put(value), lease: None };
    store.compare_and_swap(write).await.unwrap();
    let listen = "127.0.0.1:0".parse().unwrap();
    let node = node::spawn(demo::settings(&fakes, listen)).await.unwrap();
    let (demo, http) = (Demo { node, fakes }, http_client::open());
    for _ in 0..MAX_POLLS {
        if read(&demo, &http).await.0 == StatusCode::OK {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
    (demo, http)
}

async fn read(demo: &Demo, http: &HttpClient) -> (StatusCode, String) {
    let addr = demo.node.caller_addr();
    common::send(http, common::request(Method::GET, addr, "/services/climbers/state"), "").await
}

async fn dispatch(
    demo: &Demo,
    http: &HttpClient,
    key: Option<&str>,
    body: &str,
) -> (StatusCode, String) {
    let addr = demo.node.caller_addr();
    let mut call = common::request(Method::POST, addr, "/services/climbers/dispatch");
    if let Some(key) = key {
        call = call.header("idempotency-key", key);
    }
    common::send(http, call, body).await
}

fn code_of(body: &str) -> u64 {
    let body: serde_json::Value = serde_json::from_str(body).unwrap();
    body["error"]["code"].as_u64().unwrap_or_default()
}

#[tokio::test]
async fn idempotent_calls_are_retried_after_lost_responses() {
    let (demo, http) = open(|_| {}).await;
    demo.fakes.runs.lose_replies(2);
    assert_eq!(read(&demo, &http).await.0, StatusCode::OK);
    demo.fakes.runs.lose_replies(100);
    let (_, body) = read(&demo, &http).await;
    assert_eq!(code_of(&body), 3002, "{body}");
}

#[tokio::test]
async fn a_key_runs_one_request_once() {
    let (demo, http) = open(|_| {}).await;
    let first = dispatch(&demo, &http, Some("k"), "a").await;
    assert_eq!(first.0, StatusCode::OK);
    assert_eq!(dispatch(&demo, &http, Some("k"), "a").await, first);
    let (_, body) = dispatch(&demo, &http, Some("k"), "b").await;
    assert_eq!(code_of(&body), 4002, "{body}");
    let (_, body) = dispatch(&demo, &http, None, "b").await;
    assert_eq!(code_of(&body), 4001, "{body}");
    let runs = &demo.fakes.runs;
    assert_eq!((runs.run_count("a"), runs.run_count("b")), (1, 0));
    assert!(runs.keys().is_empty());
}

#[tokio::test]
async fn a_lost_response_leaves_the_outcome_unknown() {
    let (demo, http) = open(|_| {}).await;
    demo.fakes.runs.lose_replies(1);
    let (_, body) = dispatch(&demo, &http, Some("k"), "a").await;
    assert_eq!(code_of(&body), 3002, "{body}");
    let (_, body) = dispatch(&demo, &http, Some("k"), "a").await;
    assert_eq!(code_of(&body), 4004, "{body}");
    assert_eq!(demo.fakes.runs.run_count("a"), 1);
}

#[tokio::test]
async fn a_call_is_retried_at_a_server_that_accepts_the_key() {
    let (demo, http) = open(|config| config.plain_services[0].calls[1].passes_key = true).await;
    demo.fakes.runs.lose_replies(1);
    let (status, body) = dispatch(&demo, &http, Some("k"), "a").await;
    assert_eq!(status, StatusCode::OK, "{body}");
    let keys = demo.fakes.runs.keys();
    assert_eq!(keys.len(), 2);
    assert_eq!(keys[0], keys[1]);
}

#[tokio::test]
async fn a_response_above_the_size_limit_is_not_stored() {
    let (demo, http) = open(|config| config.plain_services[0].calls[1].answer_bytes = 16).await;
    let (status, _) = dispatch(&demo, &http, Some("k"), "a").await;
    assert_eq!(status, StatusCode::OK);
    let (_, body) = dispatch(&demo, &http, Some("k"), "a").await;
    assert_eq!(code_of(&body), 4006, "{body}");
    assert_eq!(demo.fakes.runs.run_count("a"), 1);
}

#[tokio::test]
async fn a_response_after_the_deadline_is_stored_for_a_resend() {
    let (demo, http) = open(|config| config.profiles[0].deadline_ms = 1_000).await;
    demo.fakes.runs.set_latency(Duration::from_millis(1_300));
    let (_, body) = dispatch(&demo, &http, Some("k"), "a").await;
    assert_eq!(code_of(&body), 3001, "{body}");
    for _ in 0..MAX_POLLS {
        let (status, body) = dispatch(&demo, &http, Some("k"), "a").await;
        if status == StatusCode::OK {
            assert_eq!(demo.fakes.runs.run_count("a"), 1);
            return;
        }
        assert_eq!(code_of(&body), 4003, "{body}");
        tokio::time::sleep(PAUSE).await;
    }
    panic!("the response was not stored");
}

#[tokio::test]
async fn a_call_that_could_not_be_claimed_is_never_sent() {
    for fault in [Fault::Down, Fault::ReplyLost] {
        let (demo, http) = open(|_| {}).await;
        demo.fakes.store.set_fault(fault);
        let (_, body) = dispatch(&demo, &http, Some("k"), "a").await;
        assert_eq!(code_of(&body), 4005, "{fault:?} {body}");
        demo.fakes.store.set_fault(Fault::None);
        demo.node.shared().services.claims().drain().await;
        assert_eq!(demo.fakes.runs.run_count("a"), 0, "{fault:?}");
        // The withdrawn claim doesn't block a resend once the store guard permits
        // calls again.
        let (status, body) = resend_until_claimed(&demo, &http).await;
        assert_eq!(status, StatusCode::OK, "{fault:?} {body}");
        assert_eq!(demo.fakes.runs.run_count("a"), 1, "{fault:?}");
    }
}

async fn resend_until_claimed(demo: &Demo, http: &HttpClient) -> (StatusCode, String) {
    for _ in 0..MAX_POLLS {
        let (status, body) = dispatch(demo, http, Some("k"), "a").await;
        if status == StatusCode::OK || code_of(&body) != 4005 {
            return (status, body);
        }
        assert_eq!(demo.fakes.runs.run_count("a"), 0, "{body}");
        tokio::time::sleep(PAUSE).await;
    }
    panic!("no claim was made");
}
