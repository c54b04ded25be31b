//! Tests of streams that break, hang, skip tokens or get lost, and of members that
//! die midway.

use crate::rig::{self, PROMPT, Rig, TOKENS, expected, options};
use citrongw_fakes::engine::StreamFault;
use citrongw_protocol::decision::{Decision, Subject};

const HALF: u64 = 3;

async fn open() -> Rig {
    rig::open(options(), |profile| {
        profile.retries = 2;
        profile.first_token_ms = 600;
        profile.between_tokens_ms = 600;
        profile.deadline_ms = 30_000;
    })
    .await
}

fn set_fault(rig: &Rig, fault: StreamFault) {
    for engine in rig.heads() {
        engine.set_stream_fault(fault);
    }
}

#[tokio::test]
async fn responses_are_complete_despite_a_fault_of_one_connection() {
    let rig = open().await;
    for fault in [
        StreamFault::Break(0),
        StreamFault::Break(HALF),
        StreamFault::Break(u64::from(TOKENS)),
        StreamFault::Hang(0),
        StreamFault::Hang(HALF),
        StreamFault::Skip(0),
        StreamFault::Skip(HALF),
        StreamFault::Skip(u64::from(TOKENS) - 1),
        StreamFault::Skip(u64::from(TOKENS)),
    ] {
        set_fault(&rig, fault);
        let response = rig.get_buffered().await;
        assert_eq!((response.status, response.text()), (200, expected(PROMPT)), "{fault:?}");
        set_fault(&rig, fault);
        let response = rig.get_stream().await.read_all().await;
        assert_eq!(response.text(), expected(PROMPT), "{fault:?} {response:?}");
        assert!(response.is_done() && response.is_complete, "{fault:?} {response:?}");
    }
}

#[tokio::test]
async fn lost_stream_runs_again_unless_a_part_was_sent_to_the_caller() {
    let rig = open().await;
    set_fault(&rig, StreamFault::Lose(HALF));
    let response = rig.get_buffered().await;
    assert_eq!((response.status, response.text()), (200, expected(PROMPT)));

    set_fault(&rig, StreamFault::Lose(0));
    let response = rig.get_stream().await.read_all().await;
    assert_eq!(response.text(), expected(PROMPT));
    assert!(response.is_done());

    set_fault(&rig, StreamFault::Lose(HALF));
    let response = rig.get_stream().await.read_all().await;
    assert_eq!(response.error(), Some((3002, "unknown".to_owned())), "{response:?}");
    assert!(!response.is_done() && !response.is_complete, "{response:?}");
    assert!(expected(PROMPT).starts_with(&response.text()));
}

#[tokio::test]
async fn dead_member_ends_a_stream_with_an_error_and_reruns_a_buffered_response() {
    let mut options = options();
    options.engine.between_tokens = std::time::Duration::from_millis(20);
    let mut rig = rig::open(options, |profile| profile.retries = 2).await;
    let mut exchange = rig.get_stream().await;
    exchange.read_until("climb0").await;
    let dead = usize::from(rig.heads()[0].generated() == 0) * 4;
    rig.fakes.servers.remove(dead).abort();
    let response = exchange.read_all().await;
    let (code, outcome) = response.error().unwrap();
    assert_eq!((code, outcome.as_str()), (3002, "unknown"), "{response:?}");
    assert!(!response.is_done() && !response.is_complete, "{response:?}");

    for _ in 0..4 {
        let response = rig.get_buffered().await;
        assert_eq!((response.status, response.text()), (200, expected(PROMPT)));
    }
}

#[tokio::test]
async fn resumed_stream_is_explained() {
    let rig = open().await;
    set_fault(&rig, StreamFault::Break(HALF));
    let response = rig.get_stream().await.read_all().await;
    let request = response.events()[0]["id"].as_str().unwrap().parse().unwrap();
    let decisions = rig.node.shared().decisions.about(Subject::Request(request));
    let resumed = |it: &Decision| matches!(it, Decision::Resumed { offset: HALF, .. });
    assert!(decisions.iter().any(|it| resumed(&it.decision)), "{decisions:?}");
}
