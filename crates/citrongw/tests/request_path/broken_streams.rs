//! Streams that break, hang, skip or get lost, and members that die midway.

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
async fn answers_are_whole_whatever_befalls_one_connection() {
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
        let answer = rig.whole().await;
        assert_eq!((answer.status, answer.text()), (200, expected(PROMPT)), "{fault:?}");
        set_fault(&rig, fault);
        let answer = rig.stream().await.read_all().await;
        assert_eq!(answer.text(), expected(PROMPT), "{fault:?} {answer:?}");
        assert!(answer.is_done() && answer.is_whole, "{fault:?} {answer:?}");
    }
}

#[tokio::test]
async fn lost_stream_runs_again_unless_the_caller_has_a_part() {
    let rig = open().await;
    set_fault(&rig, StreamFault::Lose(HALF));
    let answer = rig.whole().await;
    assert_eq!((answer.status, answer.text()), (200, expected(PROMPT)));

    set_fault(&rig, StreamFault::Lose(0));
    let answer = rig.stream().await.read_all().await;
    assert_eq!(answer.text(), expected(PROMPT));
    assert!(answer.is_done());

    set_fault(&rig, StreamFault::Lose(HALF));
    let answer = rig.stream().await.read_all().await;
    assert_eq!(answer.error(), Some((3002, "unknown".to_owned())), "{answer:?}");
    assert!(!answer.is_done() && !answer.is_whole, "{answer:?}");
    assert!(expected(PROMPT).starts_with(&answer.text()));
}

#[tokio::test]
async fn dead_member_cuts_a_stream_with_an_error_and_reruns_a_whole_answer() {
    let mut options = options();
    options.engine.between_tokens = std::time::Duration::from_millis(20);
    let mut rig = rig::open(options, |profile| profile.retries = 2).await;
    let mut exchange = rig.stream().await;
    exchange.read_until("climb0").await;
    let dead = usize::from(rig.heads()[0].generated() == 0) * 4;
    rig.surroundings.servers.remove(dead).abort();
    let answer = exchange.read_all().await;
    let (code, outcome) = answer.error().unwrap();
    assert_eq!((code, outcome.as_str()), (3002, "unknown"), "{answer:?}");
    assert!(!answer.is_done() && !answer.is_whole, "{answer:?}");

    for _ in 0..4 {
        let answer = rig.whole().await;
        assert_eq!((answer.status, answer.text()), (200, expected(PROMPT)));
    }
}

#[tokio::test]
async fn resumed_stream_is_explained() {
    let rig = open().await;
    set_fault(&rig, StreamFault::Break(HALF));
    let answer = rig.stream().await.read_all().await;
    let request = answer.events()[0]["id"].as_str().unwrap().parse().unwrap();
    let decisions = rig.node.shared().decisions.about(Subject::Request(request));
    let resumed = |it: &Decision| matches!(it, Decision::Resumed { offset: HALF, .. });
    assert!(decisions.iter().any(|it| resumed(&it.decision)), "{decisions:?}");
}
