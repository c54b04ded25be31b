use std::{collections::BTreeMap, net::SocketAddr};

use citrongw_coordination::clock;
use citrongw_fakes::kv::mem;
use citrongw_protocol::store::Store;
use citrongw_state::{server_limit::statements::STATEMENT_EXPIRY, unit::RequestsPerSecond};

use tokio::task::JoinHandle;

use super::*;
use crate::{
    peers::{self, ListedGateway},
    testing,
};

pub(super) const SELF: NodeId = NodeId(1);
pub(super) const OTHER: NodeId = NodeId(2);
const LIMIT: RequestsPerSecond = RequestsPerSecond(4.0);

pub(super) fn backend() -> Backend {
    testing::backend("h0")
}

/// Limits of a gateway in a list of these gateways. No message leaves it.
pub(super) fn open_listed(nodes: &[NodeId]) -> Arc<ServerLimits> {
    let clock = clock::open();
    let peers = Arc::new(peers::open(SELF, "a".into(), clock));
    let addr = SocketAddr::from(([127, 0, 0, 1], 9));
    let listed = nodes.iter().map(|it| (*it, ListedGateway { addr, zone: "a".into() }));
    let nodes: BTreeMap<NodeId, ListedGateway> = listed.collect();
    peers.set_cluster(ClusterView { nodes, ..ClusterView::default() });
    Arc::new(open(&peers, ColdMetrics::default(), clock))
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

/// Server that this gateway is the first substitute for, after a silent granter.
fn server_of_other(limits: &ServerLimits) -> Backend {
    let cluster = limits.peers.cluster();
    let mut servers = (0..).map(|it| testing::backend(&format!("h{it}")));
    let is_of_other =
        |it: &Backend| choose_granters(&it.server(), &it.zone, &cluster).granter() == Some(OTHER);
    servers.find(is_of_other).unwrap()
}

#[tokio::test(start_paused = true)]
async fn substitute_grants_the_whole_limit_once_the_granter_is_lost() {
    let limits = open_listed(&[SELF, OTHER]);
    let server = server_of_other(&limits);
    limits.record_response(&server, StatedLimit::Rate(LIMIT), limits.clock.now());
    let granted = async || {
        let mut granted = 0;
        for _ in 0..400 {
            sleep(Duration::from_millis(10)).await;
            granted += usize::from(limits.acquire(&server).await == Permit::Granted);
        }
        granted
    };
    // It still hears of the granter, which does not reply.
    let hearing = async {
        loop {
            lock(&limits.silent).record_message(OTHER, limits.clock.now());
            lock(&limits.silent).record_timeout(OTHER, limits.clock.now());
            lock(&limits.silent).record_timeout(OTHER, limits.clock.now());
            sleep(Duration::from_millis(500)).await;
        }
    };
    let as_substitute = tokio::select! {
        granted = granted() => granted,
        () = hearing => unreachable!(),
    };
    assert!((3..=4).contains(&as_substitute), "{as_substitute} in four seconds");
    sleep(Duration::from_secs(5)).await;
    let in_place = granted().await;
    assert!((15..=20).contains(&in_place), "{in_place} in four seconds");
}

#[tokio::test(start_paused = true)]
async fn server_in_a_zone_without_gateways_has_a_granter_in_another() {
    let limits = open_listed(&[SELF, OTHER]);
    let server = Backend { zone: "b".into(), ..backend() };
    let granters = choose_granters(&server.server(), &server.zone, &limits.peers.cluster());
    assert_eq!(granters.in_order().count(), 2);
}

/// Two gateways that reach each other, and a server that the second one grants for.
pub(super) async fn open_connected() -> ([Arc<ServerLimits>; 2], Backend, Vec<JoinHandle<()>>) {
    let store: Arc<dyn Store> = Arc::new(mem::open());
    let clock = clock::open();
    let gateways = [SELF, OTHER].map(|node| {
        let peers = Arc::new(peers::open(node, "a".into(), clock));
        Arc::new(open(&peers, ColdMetrics::default(), clock))
    });
    let (mut nodes, mut tasks) = (BTreeMap::new(), Vec::new());
    for limits in &gateways {
        let receiver = Arc::clone(limits);
        let on_message = move |from, message| match message {
            PeerMessage::ServerLimit { server, statement } => {
                receiver.apply_report(&server, statement);
            }
            PeerMessage::PermitRequest(request) => receiver.apply_request(from, request),
            PeerMessage::PermitReply(reply) => receiver.apply_reply(&reply),
            PeerMessage::ColdPermitRequest(request) => receiver.apply_cold_request(from, request),
            _ => {}
        };
        let (addr, task) = peers::tests::spawn_receiver(&limits.peers, &store, on_message).await;
        nodes.insert(limits.peers.node(), ListedGateway { addr, zone: "a".into() });
        tasks.push(task);
    }
    for limits in &gateways {
        limits.peers.set_cluster(ClusterView { nodes: nodes.clone(), ..ClusterView::default() });
    }
    let cluster = gateways[0].peers.cluster();
    let is_granted_by_other =
        |it: &Backend| choose_granters(&it.server(), &it.zone, &cluster).granter() == Some(OTHER);
    let mut servers = (0..).map(|it| testing::backend(&format!("h{it}")));
    let server = servers.find(is_granted_by_other).unwrap();
    (gateways, server, tasks)
}

fn stated_at(limits: &ServerLimits, server: &Backend) -> Option<Time> {
    lock(&limits.statements).newest(&server.server()).map(|it| it.stated_at)
}

#[tokio::test]
async fn limit_reaches_the_other_gateways_and_later_statements_their_granter() {
    let ([first, granter], server, tasks) = open_connected().await;
    let state = || {
        let now = first.clock.now();
        first.record_response(&server, StatedLimit::Rate(LIMIT), now);
    };
    state();
    while !granter.is_limited(&server) {
        sleep(Duration::from_millis(1)).await;
    }
    let before = stated_at(&granter, &server);
    while stated_at(&granter, &server) == before {
        sleep(Duration::from_millis(100)).await;
        state();
    }
    let permit = first.acquire(&server).await;
    assert!(matches!(permit, Permit::Denied { .. }), "the bucket of the granter is empty");
    tasks.iter().for_each(JoinHandle::abort);
}
