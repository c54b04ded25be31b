//! Tests of engines that are late or never respond, connections that stop delivering
//! data, and callers that disconnect.

use std::time::Duration;

use citrongw_fakes::engine::StreamFault;
use citrongw_protocol::decision::Subject;

use crate::rig::{self, PROMPT, Rig, expected, options, wait_for};

fn set_silent(rig: &Rig, silent: bool) {
    for engine in rig.heads() {
        engine.set_unresponsive(silent);
    }
}

#[tokio::test]
async fn request_to_an_engine_that_never_responds_ends_at_its_deadline_and_is_cancelled() {
    for (retries, attempts) in [(0, 1), (2, 2)] {
        let rig = rig::open(options(), |profile| {
            profile.retries = retries;
            profile.first_token_ms = 1_000;
            profile.deadline_ms = 1_000;
        })
        .await;
        set_silent(&rig, true);
        for response in [rig.get_buffered().await, rig.get_stream().await.read_all().await] {
            assert_eq!(response.status, 504, "{response:?}");
            assert_eq!(response.error(), Some((3001, "unknown".to_owned())));
        }
        assert_eq!(rig.generated(), 2 * attempts);
        wait_for("cancellation", || rig.cancelled() == 2 * attempts).await;
    }
}

#[tokio::test]
async fn unresponsive_engine_is_bypassed_within_the_deadline() {
    let rig = rig::open(options(), |profile| {
        profile.retries = 2;
        profile.first_token_ms = 1_200;
    })
    .await;
    rig.heads()[0].set_unresponsive(true);
    for _ in 0..4 {
        let response = rig.get_buffered().await;
        assert_eq!((response.status, response.text()), (200, expected(PROMPT)), "{response:?}");
    }
}

#[tokio::test]
async fn response_after_its_deadline_is_dropped() {
    let mut options = options();
    options.engine.first_token = Duration::from_millis(600);
    let rig = rig::open(options, |profile| {
        profile.retries = 0;
        profile.first_token_ms = 300;
        profile.deadline_ms = 300;
    })
    .await;
    for idx in 0..4 {
        let response =
            rig::post_completion(rig.addr(), &rig::body(&format!("late {idx}"), false)).await;
        assert_eq!(response.read_all().await.error(), Some((3001, "unknown".to_owned())));
    }
    wait_for("cancellation", || rig.cancelled() == 4).await;
}

#[tokio::test]
async fn response_deadline_ends_an_active_stream() {
    let mut options = options();
    options.engine.between_tokens = Duration::from_millis(100);
    let rig = rig::open(options, |profile| {
        profile.first_token_ms = 300;
        profile.deadline_ms = 300;
    })
    .await;
    let response = rig.get_stream().await.read_all().await;
    assert_eq!(response.error(), Some((3001, "unknown".to_owned())), "{response:?}");
    assert!(!response.is_done() && !response.is_complete);
    assert!(expected(PROMPT).starts_with(&response.text()) && !response.text().is_empty());
    wait_for("cancellation", || rig.cancelled() == 1).await;
}

#[tokio::test]
async fn disconnected_caller_cancels_once() {
    let mut options = options();
    options.engine.between_tokens = Duration::from_secs(30);
    let rig = rig::open(options, |_| {}).await;
    let mut exchange = rig.get_stream().await;
    exchange.read_until("climb0").await;
    drop(exchange);
    wait_for("cancellation", || rig.cancelled() == 1).await;

    set_silent(&rig, true);
    let before_head = rig::post_completion(rig.addr(), &rig::body(PROMPT, false)).await;
    wait_for("request", || rig.generated() == 2).await;
    drop(before_head);
    wait_for("cancellation", || rig.cancelled() == 2).await;

    let shared = rig.node.shared();
    wait_for("free replicas", || shared.replicas.entries().iter().all(|it| it.in_flight() == 0))
        .await;
    assert_eq!((rig.generated(), rig.cancelled()), (2, 2));
}

#[tokio::test]
async fn connections_dropped_by_a_middlebox_are_replaced() {
    let mut options = options();
    options.middleboxes = true;
    let rig = rig::open(options, |profile| {
        profile.retries = 2;
        profile.first_token_ms = 1_000;
        profile.between_tokens_ms = 1_000;
    })
    .await;
    let warm = futures::future::join_all((0..8).map(|_| rig.get_buffered())).await;
    assert!(warm.iter().all(|it| it.status == 200));
    for middlebox in &rig.fakes.middleboxes {
        middlebox.discard_connection_state();
    }
    let responses = futures::future::join_all((0..8).map(|_| rig.get_buffered())).await;
    for response in &responses {
        assert_eq!((response.status, response.text()), (200, expected(PROMPT)), "{response:?}");
    }
}

#[tokio::test]
async fn stream_is_resumed_when_a_middlebox_drops_its_connection() {
    let mut options = options();
    options.middleboxes = true;
    options.engine.between_tokens = Duration::from_millis(100);
    let rig = rig::open(options, |profile| {
        profile.retries = 2;
        profile.between_tokens_ms = 1_000;
    })
    .await;
    let mut exchange = rig.get_stream().await;
    exchange.read_until("climb0").await;
    for middlebox in &rig.fakes.middleboxes {
        middlebox.discard_connection_state();
    }
    let response = exchange.read_all().await;
    assert_eq!(response.text(), expected(PROMPT), "{response:?}");
    assert!(response.is_done() && response.is_complete);
    assert_eq!((rig.generated(), rig.cancelled()), (1, 0));
}

#[tokio::test]
async fn error_of_a_later_attempt_reports_that_an_earlier_one_may_have_run() {
    let mut rig = rig::open(options(), |profile| {
        profile.retries = 3;
        profile.first_token_ms = 1_500;
    })
    .await;
    // The first attempt is lost midway; after that no engine can be reached.
    for engine in rig.heads() {
        engine.set_stream_fault(StreamFault::Hang(0));
    }
    let exchange = rig::post_completion(rig.addr(), &rig::body(PROMPT, false)).await;
    wait_for("request", || rig.generated() == 1).await;
    for server in rig.fakes.servers.drain(..8) {
        server.abort();
    }
    let response = exchange.read_all().await;
    let (code, outcome) = response.error().unwrap();
    assert_eq!(outcome, "unknown", "{code} {response:?}");
    let request = response.json()["error"]["request_id"].as_str().unwrap().parse().unwrap();
    assert!(!rig.node.shared().decisions.about(Subject::Request(request)).is_empty());

    let response = rig.get_buffered().await;
    assert_eq!(response.error().unwrap().1, "not_run", "{response:?}");
}
