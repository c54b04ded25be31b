use std::{collections::BTreeMap, net::SocketAddr};

use citrongw_coordination::clock;
use citrongw_state::{server_limit::statements::STATEMENT_EXPIRY, unit::RequestsPerSecond};

use super::*;
use crate::{
    peers::{self, ListedGateway},
    testing,
};

const SELF: NodeId = NodeId(1);
const LIMIT: RequestsPerSecond = RequestsPerSecond(4.0);

fn backend() -> Backend {
    testing::backend("h0")
}

/// Limits of a gateway in a list of these gateways. No message leaves it.
fn open_listed(nodes: &[NodeId]) -> Arc<ServerLimits> {
    let clock = clock::open();
    let peers = Arc::new(peers::open(SELF, "a".into(), clock));
    let addr = SocketAddr::from(([127, 0, 0, 1], 9));
    let listed = nodes.iter().map(|it| (*it, ListedGateway { addr, zone: "a".into() }));
    let nodes: BTreeMap<NodeId, ListedGateway> = listed.collect();
    peers.set_cluster(ClusterView { nodes, ..ClusterView::default() });
    Arc::new(open(&peers, clock))
}

fn respond(limits: &Arc<ServerLimits>, stated: StatedLimit) {
    limits.record_response(&backend(), stated, limits.clock.now());
}

/// Requests that get a permit, of one every ten milliseconds.
async fn granted(limits: &ServerLimits, requests: usize) -> usize {
    let mut granted = 0;
    for _ in 0..requests {
        sleep(Duration::from_millis(10)).await;
        granted += usize::from(limits.acquire(&backend()).await == Permit::Granted);
    }
    granted
}

#[tokio::test(start_paused = true)]
async fn server_without_a_limit_needs_no_permit() {
    let limits = open_listed(&[SELF]);
    respond(&limits, StatedLimit::None);
    assert_eq!(granted(&limits, 100).await, 100);
    respond(&limits, StatedLimit::Rate(LIMIT));
    respond(&limits, StatedLimit::None);
    assert_eq!(granted(&limits, 100).await, 100, "the limit ended");
}

#[tokio::test(start_paused = true)]
async fn lone_gateway_grants_the_whole_limit_itself() {
    let limits = open_listed(&[SELF]);
    respond(&limits, StatedLimit::Rate(LIMIT));
    assert!((39..=40).contains(&granted(&limits, 1_000).await));
}

#[tokio::test(start_paused = true)]
async fn gateway_that_reaches_no_granter_uses_its_even_share() {
    let others = (2..=20).map(NodeId);
    let nodes: Vec<NodeId> = std::iter::once(SELF).chain(others).collect();
    let limits = open_listed(&nodes);
    let granters = choose_granters(&backend().server(), &"a".into(), &limits.peers.cluster());
    assert!(granters.in_order().all(|it| it != SELF), "the case needs other granters");
    respond(&limits, StatedLimit::Rate(LIMIT));
    let started_at = limits.clock.now();
    let granted = granted(&limits, 1_000).await;
    let passed_s = limits.clock.now().since(started_at).as_secs_f64();
    let share = LIMIT.0 * passed_s / 20.0;
    assert!((share - 1.0..=share).contains(&(granted as f64)), "{granted} of {share}");
}

#[tokio::test(start_paused = true)]
async fn reply_of_the_granter_decides_and_says_that_a_limit_has_ended() {
    let granter = NodeId(2);
    let limits = open_listed(&[granter]);
    respond(&limits, StatedLimit::Rate(LIMIT));
    let reply = |id, permit, statement| {
        limits.record_message(granter);
        limits.apply_reply(&PermitReply { id, server: backend().server(), permit, statement });
    };
    let denied = Permit::Denied { wait: Duration::from_millis(250) };
    let backend = backend();
    let (permit, ()) = futures::join!(limits.acquire(&backend), async { reply(0, denied, None) });
    assert_eq!(permit, denied);
    sleep(Duration::from_millis(10)).await;
    let ended = Statement { limit: None, stated_at: limits.clock.now() };
    let ended = ReportedStatement::new(ended, limits.clock.now());
    let replied = async { reply(1, Permit::Granted, Some(ended)) };
    let (permit, ()) = futures::join!(limits.acquire(&backend), replied);
    assert_eq!(permit, Permit::Granted);
    assert!(!limits.is_limited(&backend));
}

#[tokio::test(start_paused = true)]
async fn limit_that_no_gateway_hears_of_ends_at_its_granter() {
    let limits = open_listed(&[SELF]);
    respond(&limits, StatedLimit::Rate(LIMIT));
    assert!((3..=4).contains(&granted(&limits, 100).await));
    sleep(STATEMENT_EXPIRY).await;
    assert_eq!(granted(&limits, 100).await, 100);
}

#[tokio::test(start_paused = true)]
async fn report_of_another_gateway_is_observed() {
    let limits = open_listed(&[SELF]);
    let statement = Statement { limit: Some(LIMIT), stated_at: limits.clock.now() };
    let reported = ReportedStatement::new(statement, limits.clock.now());
    sleep(Duration::from_millis(10)).await;
    limits.apply_report(&backend().server(), reported);
    assert!((39..=40).contains(&granted(&limits, 1_000).await));
}
