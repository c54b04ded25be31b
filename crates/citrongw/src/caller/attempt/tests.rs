//! Tests of one attempt, in a node with fake backends.

use citrongw_fakes::engine::FakeEngine;
use citrongw_protocol::engine::EngineError;
use citrongw_state::{id::RequestId, replica::ReceivedReport, routing::PrefixHash};

use super::*;
use crate::{
    caller::{
        body::BodyBudget,
        route::{self, RouteCriteria},
    },
    demo::{self, DEMO_KEY, Demo},
};

const POLL_INTERVAL: Duration = Duration::from_millis(5);

async fn open() -> Demo {
    let any_port = "127.0.0.1:0".parse().unwrap();
    demo::spawn(any_port, any_port).await.unwrap()
}

fn work(shared: &Shared) -> Option<Work> {
    let config = shared.config.load_full()?;
    let callers = &shared.callers;
    let caller = callers.directory.find(&config, &callers.limits, DEMO_KEY)?;
    Some(Work {
        request: RequestId(7),
        _profile_permit: caller.profile.try_acquire()?,
        caller,
        prompt: "climb".to_owned(),
        max_tokens: 1,
        arrived_at: shared.clock.now(),
        _share: BodyBudget::default().open_share(),
    })
}

fn criteria(work: &Work) -> RouteCriteria {
    RouteCriteria {
        request: work.request,
        profile: Arc::clone(&work.caller.profile),
        fingerprint: route::fingerprint(&work.caller.profile, &work.prompt, work.max_tokens),
        prefix: PrefixHash::of(&work.prompt),
        prompt_tokens: 1,
        tried: Vec::new(),
    }
}

/// Waits until a replica can be acquired.
async fn acquire(demo: &Demo) -> (Work, ReplicaPermit) {
    let shared = demo.node.shared();
    loop {
        if let Some(work) = work(shared)
            && let Ok(permit) = route::acquire_replica(shared, &criteria(&work))
        {
            return (work, permit);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn generated(demo: &Demo) -> u64 {
    demo.fakes.engines.iter().map(FakeEngine::generated).sum()
}

#[tokio::test]
async fn nothing_is_sent_to_a_replica_that_lost_a_member_since_it_was_chosen() {
    let demo = open().await;
    let shared = demo.node.shared();
    let (work, permit) = acquire(&demo).await;
    let replica = Arc::clone(&permit.replica);
    let mut attempt = Attempt::new(shared, &work, permit, 1);
    let mut report = replica.entry.member_reports()[3].unwrap().report;
    report.incarnation.0 += 1000;
    replica.entry.set_report(3, ReceivedReport { report, requested_at: shared.clock.now() });
    let refused = attempt.next(&work).await.unwrap().unwrap_err();
    assert!(matches!(refused, EngineError::Refused { .. }), "{refused}");
    assert!(!attempt.may_have_run());
    drop(attempt);
    assert_eq!((generated(&demo), replica.entry.in_flight()), (0, 0));
}

#[tokio::test]
async fn permit_is_released_however_the_attempt_ends() {
    let demo = open().await;
    let (work, permit) = acquire(&demo).await;
    let replica = Arc::clone(&permit.replica);
    assert_eq!(replica.entry.in_flight(), 1);
    drop(permit);
    assert_eq!(replica.entry.in_flight(), 0);
    let (_, permit) = acquire(&demo).await;
    let replica = Arc::clone(&permit.replica);
    let mut attempt = Attempt::new(demo.node.shared(), &work, permit, 2);
    assert!(matches!(attempt.next(&work).await, Some(Ok(Chunk::Token { .. }))));
    assert!(attempt.may_have_run());
    assert!(matches!(attempt.next(&work).await, Some(Ok(Chunk::End { .. }))));
    assert_eq!(replica.entry.in_flight(), 1);
    drop(attempt);
    assert_eq!(replica.entry.in_flight(), 0);
}
