//! Tests of several nodes that discover each other and share state.

use std::{net::SocketAddr, time::Duration};

use citrongw::{
    demo::{self, Fakes},
    node::{self, Node},
};
use citrongw_coordination::config::edit;
use citrongw_fakes::kv::mem::Fault;
use citrongw_protocol::{
    admin_config::{EditRequest, EditResult},
    gossip_item::{GossipItem, LeavingInstance},
};
use citrongw_state::id::{ChangeId, Incarnation, Revision};

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const MAX_POLLS: u32 = 5_000;
const SECRET: &str = "a secret of the tests";

async fn start(fakes: &Fakes, seeds: &[&Node], secret: &str) -> Node {
    let mut settings = demo::settings(fakes, LOOPBACK);
    settings.seeds = seeds.iter().map(|it| it.peer_addr()).collect();
    settings.peer_secrets = vec![secret.to_owned()];
    node::spawn(settings).await.unwrap()
}

async fn start_three(fakes: &Fakes) -> Vec<Node> {
    let mut nodes = vec![start(fakes, &[], SECRET).await];
    for _ in 0..2 {
        let node = start(fakes, &[&nodes[0]], SECRET).await;
        nodes.push(node);
    }
    wait_for(|| nodes.iter().all(|it| it.shared().nodes.alive().len() == 3)).await;
    nodes
}

async fn wait_for(mut done: impl FnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if done() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("condition was not reached in time");
}

fn held(node: &Node) -> Option<Revision> {
    node.shared().config.load().as_ref().map(|it| it.revision)
}

fn may_serve(node: &Node) -> bool {
    node.shared().gate.may_serve(node.shared().clock.now())
}

fn request(from: &Node) -> EditRequest {
    let base = from.shared().config.load_full().unwrap();
    let mut config = base.config.clone();
    config.organisations[0].weight += 1;
    EditRequest {
        change: ChangeId(7),
        from: Some(base.revision),
        operator: "maria".into(),
        at_unix_ms: 0,
        config,
        replaces_lost: None,
    }
}

#[tokio::test]
async fn an_edit_is_accepted_and_in_force_on_every_node() {
    let fakes = demo::start_fakes().await.unwrap();
    let nodes = start_three(&fakes).await;
    wait_for(|| nodes.iter().all(|it| held(it).is_some())).await;
    let shared = nodes[2].shared();
    let result = edit::propose(shared.store.as_ref(), None, request(&nodes[2])).await;
    let EditResult::Committed { revision } = result else { panic!("{result:?}") };
    shared.gate.request_refresh();
    wait_for(|| nodes.iter().all(|it| held(it) == Some(revision))).await;
    wait_for(|| shared.gate.acceptance(revision).accepted).await;
    wait_for(|| shared.gate.acceptance(revision).holding == 3).await;
    let acceptance = shared.gate.acceptance(revision);
    assert_eq!((acceptance.recorded, acceptance.missing.len()), (3, 0));
    assert!(nodes.iter().all(may_serve));
}

#[tokio::test]
async fn a_node_starts_and_another_stops_while_the_service_is_down() {
    let fakes = demo::start_fakes().await.unwrap();
    let mut nodes = start_three(&fakes).await;
    let settled = |node: &Node| {
        let status = node.shared().gate.status();
        status.acceptance.as_ref().is_some_and(|it| it.recorded == 3 && it.accepted)
    };
    wait_for(|| nodes.iter().all(|it| settled(it) && !it.shared().replicas.entries().is_empty()))
        .await;
    fakes.store.set_fault(Fault::Down);
    let late = start(&fakes, &[&nodes[0]], SECRET).await;
    wait_for(|| held(&late) == held(&nodes[0])).await;
    assert_eq!(late.shared().replicas.entries().len(), nodes[0].shared().replicas.entries().len());
    // All nodes, including the late one, serve for longer than the maximum age of a
    // confirmation.
    tokio::time::sleep(Duration::from_secs(6)).await;
    wait_for(|| nodes.iter().chain([&late]).all(may_serve)).await;
    let gone = nodes.remove(1);
    let id = gone.shared().node;
    gone.stop().await;
    let knows = |node: &Node| node.shared().nodes.alive().iter().any(|it| it.id == id);
    wait_for(|| !nodes.iter().chain([&late]).any(knows)).await;
}

#[tokio::test]
async fn a_node_that_is_cut_off_refuses() {
    let fakes = demo::start_fakes().await.unwrap();
    let nodes = start_three(&fakes).await;
    let recorded = |node: &Node| {
        let status = node.shared().gate.status();
        status.acceptance.as_ref().is_some_and(|it| it.recorded == 3)
    };
    wait_for(|| nodes.iter().all(|it| recorded(it) && may_serve(it))).await;
    // The remaining node loses the key-value service and the two other nodes.
    fakes.store.set_fault(Fault::Down);
    let mut nodes = nodes.into_iter();
    let left = nodes.next().unwrap();
    nodes.for_each(drop);
    wait_for(|| !may_serve(&left)).await;
}

#[tokio::test]
async fn gossip_reaches_the_others_and_strangers_are_rejected() {
    let fakes = demo::start_fakes().await.unwrap();
    let nodes = start_three(&fakes).await;
    let stranger = start(&fakes, &[&nodes[0]], "another secret of tests").await;
    let mut receivers: Vec<_> = nodes.iter().map(|it| it.shared().gossip.subscribe()).collect();
    let leaving = LeavingInstance { instance: "instance-1".into(), incarnation: Incarnation(1) };
    nodes[0].shared().gossip.publish(GossipItem::Leaving(leaving.clone()));
    for gossip_rx in &mut receivers {
        while gossip_rx.recv().await.unwrap() != GossipItem::Leaving(leaving.clone()) {}
    }
    wait_for(|| 0 < nodes[0].shared().peer_counters.snapshot().unauthenticated).await;
    assert_eq!(nodes[0].shared().nodes.alive().len(), 3);
    assert_eq!(stranger.shared().nodes.alive().len(), 1);
}
