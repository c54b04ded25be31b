//! Engines that are late or never answer, connections that go silent, and
//! callers that leave.

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
async fn engine_that_accepts_and_never_answers_costs_its_deadline_and_is_cancelled() {
    for (retries, attempts) in [(0, 1), (2, 2)] {
        let rig = rig::open(options(), |profile| {
            profile.retries = retries;
            profile.first_token_ms = 1_000;
            profile.deadline_ms = 1_000;
        })
        .await;
        set_silent(&rig, true);
        for answer in [rig.whole().await, rig.stream().await.read_all().await] {
            assert_eq!(answer.status, 504, "{answer:?}");
            assert_eq!(answer.error(), Some((3001, "unknown".to_owned())));
        }
        assert_eq!(rig.generated(), 2 * attempts);
        wait_for("cancellation", || rig.cancelled() == 2 * attempts).await;
    }
}

#[tokio::test]
async fn silent_engine_is_passed_over_within_the_deadline() {
    let rig = rig::open(options(), |profile| {
        profile.retries = 2;
        profile.first_token_ms = 1_200;
    })
    .await;
    rig.heads()[0].set_unresponsive(true);
    for _ in 0..4 {
        let answer = rig.whole().await;
        assert_eq!((answer.status, answer.text()), (200, expected(PROMPT)), "{answer:?}");
    }
}

#[tokio::test]
async fn answer_after_its_deadline_reaches_nobody() {
    let mut options = options();
    options.engine.first_token = Duration::from_millis(600);
    let rig = rig::open(options, |profile| {
        profile.retries = 0;
        profile.first_token_ms = 300;
        profile.deadline_ms = 300;
    })
    .await;
    for idx in 0..4 {
        let answer = rig::ask(rig.addr(), &rig::body(&format!("late {idx}"), false)).await;
        assert_eq!(answer.read_all().await.error(), Some((3001, "unknown".to_owned())));
    }
    wait_for("cancellation", || rig.cancelled() == 4).await;
}

#[tokio::test]
async fn whole_deadline_ends_a_stream_that_still_flows() {
    let mut options = options();
    options.engine.between_tokens = Duration::from_millis(100);
    let rig = rig::open(options, |profile| {
        profile.first_token_ms = 300;
        profile.deadline_ms = 300;
    })
    .await;
    let answer = rig.stream().await.read_all().await;
    assert_eq!(answer.error(), Some((3001, "unknown".to_owned())), "{answer:?}");
    assert!(!answer.is_done() && !answer.is_whole);
    assert!(expected(PROMPT).starts_with(&answer.text()) && !answer.text().is_empty());
    wait_for("cancellation", || rig.cancelled() == 1).await;
}

#[tokio::test]
async fn caller_that_leaves_cancels_once() {
    let mut options = options();
    options.engine.between_tokens = Duration::from_secs(30);
    let rig = rig::open(options, |_| {}).await;
    let mut exchange = rig.stream().await;
    exchange.read_until("climb0").await;
    drop(exchange);
    wait_for("cancellation", || rig.cancelled() == 1).await;

    set_silent(&rig, true);
    let before_head = rig::ask(rig.addr(), &rig::body(PROMPT, false)).await;
    wait_for("request", || rig.generated() == 2).await;
    drop(before_head);
    wait_for("cancellation", || rig.cancelled() == 2).await;

    let shared = rig.node.shared();
    wait_for("free replicas", || shared.replicas.entries().iter().all(|it| it.in_flight() == 0))
        .await;
    assert_eq!((rig.generated(), rig.cancelled()), (2, 2));
}

#[tokio::test]
async fn forgotten_connections_are_retired_while_new_ones_work() {
    let mut options = options();
    options.middleboxes = true;
    let rig = rig::open(options, |profile| {
        profile.retries = 2;
        profile.first_token_ms = 1_000;
        profile.between_tokens_ms = 1_000;
    })
    .await;
    let warm = futures::future::join_all((0..8).map(|_| rig.whole())).await;
    assert!(warm.iter().all(|it| it.status == 200));
    for middlebox in &rig.surroundings.middleboxes {
        middlebox.discard_connection_state();
    }
    let answers = futures::future::join_all((0..8).map(|_| rig.whole())).await;
    for answer in &answers {
        assert_eq!((answer.status, answer.text()), (200, expected(PROMPT)), "{answer:?}");
    }
}

#[tokio::test]
async fn connection_forgotten_midway_is_resumed_over_another() {
    let mut options = options();
    options.middleboxes = true;
    options.engine.between_tokens = Duration::from_millis(100);
    let rig = rig::open(options, |profile| {
        profile.retries = 2;
        profile.between_tokens_ms = 1_000;
    })
    .await;
    let mut exchange = rig.stream().await;
    exchange.read_until("climb0").await;
    for middlebox in &rig.surroundings.middleboxes {
        middlebox.discard_connection_state();
    }
    let answer = exchange.read_all().await;
    assert_eq!(answer.text(), expected(PROMPT), "{answer:?}");
    assert!(answer.is_done() && answer.is_whole);
    assert_eq!((rig.generated(), rig.cancelled()), (1, 0));
}

#[tokio::test]
async fn error_of_a_later_attempt_does_not_deny_an_earlier_one() {
    let mut rig = rig::open(options(), |profile| {
        profile.retries = 3;
        profile.first_token_ms = 1_500;
    })
    .await;
    // The first attempt is lost midway; by then no engine can be reached.
    for engine in rig.heads() {
        engine.set_stream_fault(StreamFault::Hang(0));
    }
    let exchange = rig::ask(rig.addr(), &rig::body(PROMPT, false)).await;
    wait_for("request", || rig.generated() == 1).await;
    for server in rig.surroundings.servers.drain(..8) {
        server.abort();
    }
    let answer = exchange.read_all().await;
    let (code, outcome) = answer.error().unwrap();
    assert_eq!(outcome, "unknown", "{code} {answer:?}");
    let request = answer.json()["error"]["request_id"].as_str().unwrap().parse().unwrap();
    assert!(!rig.node.shared().decisions.about(Subject::Request(request)).is_empty());

    let answer = rig.whole().await;
    assert_eq!(answer.error().unwrap().1, "not_run", "{answer:?}");
}
