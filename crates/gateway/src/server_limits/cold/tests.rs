use std::time::Duration;

use citrongw_state::{
    cold_server::{ColdBounds, ColdStart},
    id::StoreEra,
    unit::RequestsPerSecond,
};
use tokio::time::{Instant, sleep};

use super::*;
use crate::{
    peers::ClusterView,
    server_limits::tests::{OTHER, SELF, backend, open_connected, open_listed},
};

const BOUND: usize = 44;

fn limit() -> ColdLimit {
    let start = ColdStart { duration: Duration::from_secs(3), per_s: RequestsPerSecond(26.0) };
    ColdLimit::new(start, ColdBounds { overage: 1.5, slack: 5.0 })
}

fn set_cold(limits: &ServerLimits, backend: &Backend, left: Duration) {
    backend.stats.cold.set(limit(), Some(limits.clock.now() + left));
}

/// Reads the same list of gateways again, as all gateways do that the key-value service
/// serves.
fn read_list(limits: &ServerLimits) {
    limits.peers.apply_read(StoreEra::default(), ClusterView::clone(&limits.peers.cluster()));
}

/// Requests that get a permit in a second, of one every two milliseconds.
async fn granted_in_1s(limits: &ServerLimits, backend: &Backend) -> usize {
    granted_in_1s_with(limits, backend, || read_list(limits)).await
}

async fn granted_in_1s_with(
    limits: &ServerLimits,
    backend: &Backend,
    before_each: impl Fn(),
) -> usize {
    let mut granted = 0;
    for _ in 0..500 {
        sleep(Duration::from_millis(2)).await;
        before_each();
        granted += usize::from(limits.acquire(backend).await == Permit::Granted);
    }
    granted
}

#[tokio::test(start_paused = true)]
async fn lone_gateway_grants_what_a_cold_server_tolerates_until_it_is_warm() {
    let limits = open_listed(&[SELF]);
    limits.record_cluster();
    sleep(Duration::from_secs(2)).await;
    let backend = backend();
    set_cold(&limits, &backend, Duration::from_secs(2));
    for _ in 0..2 {
        let granted = granted_in_1s(&limits, &backend).await;
        assert!((18..=26).contains(&granted), "{granted}");
    }
    assert_eq!(granted_in_1s(&limits, &backend).await, 500, "the server is warm");
}

/// Until all gateways have read a change of their list, some ask another granter.
#[tokio::test(start_paused = true)]
async fn gateway_that_has_just_become_the_granter_grants_the_part_of_a_substitute() {
    let limits = open_listed(&[SELF]);
    limits.record_cluster();
    let backend = backend();
    set_cold(&limits, &backend, Duration::from_secs(10));
    let granted = granted_in_1s(&limits, &backend).await;
    assert!((4..=6).contains(&granted), "{granted}");
    sleep(Duration::from_secs(1)).await;
    let granted = granted_in_1s(&limits, &backend).await;
    assert!((18..=26).contains(&granted), "{granted}");
}

/// A gateway that the key-value service refuses keeps its list, in which it may be the
/// granter although all others have another one.
#[tokio::test(start_paused = true)]
async fn gateway_with_an_old_list_grants_the_part_of_a_substitute() {
    let limits = open_listed(&[SELF]);
    limits.record_cluster();
    read_list(&limits);
    sleep(Duration::from_secs(3)).await;
    let backend = backend();
    set_cold(&limits, &backend, Duration::from_secs(10));
    let granted = granted_in_1s_with(&limits, &backend, || {}).await;
    assert!((4..=6).contains(&granted), "{granted}");
}

/// A request must not wait for each of the granters in turn.
#[tokio::test(start_paused = true)]
async fn request_waits_for_two_silent_granters_at_most() {
    let others = (2..=20).map(NodeId);
    let nodes: Vec<NodeId> = std::iter::once(SELF).chain(others).collect();
    let limits = open_listed(&nodes);
    let backend = backend();
    set_cold(&limits, &backend, Duration::from_secs(30));
    let mut granted = 0;
    for _ in 0..200 {
        let asked_at = Instant::now();
        granted += usize::from(limits.acquire(&backend).await == Permit::Granted);
        assert!(asked_at.elapsed() <= PERMIT_TIMEOUT * 2 + Duration::from_millis(2));
        sleep(Duration::from_millis(100)).await;
    }
    assert!((1..=12).contains(&granted), "{granted} by the share in 20 s");
}

#[tokio::test(start_paused = true)]
async fn denial_does_not_outlast_the_cold_phase() {
    let limits = open_listed(&[SELF]);
    let backend = backend();
    let left = Duration::from_millis(20);
    set_cold(&limits, &backend, left);
    let Permit::Denied { wait } = limits.acquire(&backend).await else {
        panic!("the bucket starts empty");
    };
    assert!(wait <= left, "{wait:?}");
}

/// The granter may not have read the list that shows the server.
#[tokio::test]
async fn granter_that_does_not_know_the_server_grants_permits_for_it() {
    let ([first, granter], server, tasks) = open_connected().await;
    set_cold(&first, &server, Duration::from_secs(30));
    assert!(!granter.is_limited(&backend()));
    let (mut granted, started_at) = (0, Instant::now());
    while started_at.elapsed() < Duration::from_secs(1) {
        granted += usize::from(first.acquire(&server).await == Permit::Granted);
        sleep(Duration::from_millis(2)).await;
    }
    assert!((1..=BOUND).contains(&granted), "{granted}");
    assert!(lock(&granter.cold.buckets).contains_key(&server.server()));
    assert_eq!(granter.peers.node(), OTHER);
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
}
