//! Behaviour of nodes over a simulated network when the store, a zone or
//! messages are lost.

use std::time::Duration;

use citrongw_bench::spread::{
    fleet::{self, Broken, Fleet},
    measure,
};
use citrongw_coordination::{
    config::rules::{IN_FORCE_WITHIN, MAX_CONFIRMATION_AGE},
    membership::Event,
};
use citrongw_protocol::gossip_item::{GossipItem, LeavingInstance, OrganisationDemand};
use citrongw_state::{id::Incarnation, time::Time};

const NODES: usize = 20;
const ZONES: usize = 3;
const WARM_UP: Duration = Duration::from_secs(15);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

fn open(seed: u64, broken: Broken) -> Fleet {
    let settings = fleet::FleetSettings { broken, ..measure::settings(NODES, ZONES, seed) };
    let mut fleet = fleet::open(settings);
    measure::seed_config(&mut fleet);
    advance(&mut fleet, WARM_UP);
    fleet
}

fn advance(fleet: &mut Fleet, span: Duration) {
    let end = fleet.now() + span;
    fleet.run_until(end, &mut |_, _| {});
}

fn serves(fleet: &Fleet, idx: usize) -> bool {
    fleet.nodes[idx].serve_until.is_some_and(|until| fleet.now() < until)
}

#[test]
fn nodes_keep_serving_during_a_store_outage() {
    let mut fleet = open(1, Broken::default());
    fleet.service_up = false;
    for _ in 0..120 {
        advance(&mut fleet, SAMPLE_INTERVAL);
        let refusing: Vec<usize> = (0..NODES).filter(|it| !serves(&fleet, *it)).collect();
        assert!(refusing.is_empty(), "{refusing:?} at {}", fleet.now());
    }
}

#[test]
fn a_partitioned_zone_refuses_and_the_others_keep_serving() {
    let mut fleet = open(2, Broken::default());
    let is_partitioned = |idx: &usize| idx % ZONES == 0;
    for idx in (0..NODES).filter(is_partitioned) {
        fleet.nodes[idx].side = 1;
        fleet.nodes[idx].reaches_service = false;
    }
    advance(&mut fleet, MAX_CONFIRMATION_AGE + SAMPLE_INTERVAL);
    for _ in 0..40 {
        advance(&mut fleet, SAMPLE_INTERVAL);
        for idx in 0..NODES {
            assert_eq!(serves(&fleet, idx), !is_partitioned(&idx), "node {idx} at {}", fleet.now());
        }
    }
    for node in &mut fleet.nodes {
        node.side = 0;
        node.reaches_service = true;
    }
    advance(&mut fleet, Duration::from_secs(5));
    assert!((0..NODES).all(|idx| serves(&fleet, idx)));
}

#[test]
fn a_dead_node_is_replaced_on_the_record() {
    let mut fleet = open(3, Broken::default());
    fleet.kill(4);
    let replacement = fleet.start_node(4 % ZONES);
    advance(&mut fleet, Duration::from_secs(30));
    for idx in fleet.running() {
        let membership = &fleet.nodes[idx].membership;
        assert_eq!(membership.members().alive_count(), NODES, "node {idx}");
        let acceptance = membership.held_config().status().acceptance.unwrap();
        assert_eq!((acceptance.holding, acceptance.recorded), (20, 20), "node {idx}");
    }
    assert!(serves(&fleet, replacement));
}

/// Number of nodes that did not receive a leaving notice within the time limit.
fn unaware_nodes(seed: u64, broken: Broken) -> usize {
    let mut fleet = open(seed, broken);
    let first = (seed as usize) % NODES;
    let leaving = LeavingInstance { instance: "instance-1".into(), incarnation: Incarnation(1) };
    let item = GossipItem::Leaving(leaving);
    fleet.deliver_event(first, Event::Published(item.clone()));
    let received_by = fleet.now() + IN_FORCE_WITHIN;
    advance(&mut fleet, IN_FORCE_WITHIN);
    let has_received = |idx: &usize| {
        fleet.nodes[*idx].received_items.iter().any(|(at, it)| *it == item && *at <= received_by)
    };
    (0..NODES).filter(|it| *it != first && !has_received(it)).count()
}

#[test]
fn leaving_servers_are_known_everywhere_in_time() {
    for seed in 0..60 {
        assert_eq!(unaware_nodes(seed, Broken::default()), 0, "seed {seed}");
    }
    let broken = Broken { gossip_dropped: true, ..Broken::default() };
    assert!((0..3).all(|seed| 0 < unaware_nodes(seed, broken)));
}

#[test]
fn demand_of_all_nodes_adds_up_everywhere() {
    let mut fleet = open(5, Broken::default());
    // Published every five seconds, like an unchanged demand.
    for sequence in 0..3 {
        for idx in 0..NODES {
            let node = fleet.nodes[idx].info.id;
            let requests_per_s = 10.0;
            let organisation = "grower".into();
            let demand = OrganisationDemand { organisation, node, sequence, requests_per_s };
            fleet.deliver_event(idx, Event::Published(GossipItem::Demand(demand)));
        }
        advance(&mut fleet, Duration::from_secs(5));
    }
    for idx in 0..NODES {
        let others =
            fleet.nodes[idx].received_items.iter().rev().find_map(|(_, item)| match item {
                GossipItem::Demand(it) => Some(it.requests_per_s),
                _ => None,
            });
        assert_eq!(others, Some(190.0), "node {idx}");
    }
}

#[test]
fn nodes_keep_their_config_when_the_store_is_restored() {
    let mut fleet = open(4, Broken::default());
    let before: Vec<_> = fleet.nodes.iter().map(|it| it.in_force.last().copied()).collect();
    measure::edit(&mut fleet);
    advance(&mut fleet, Duration::from_secs(4));
    let after: Vec<_> = fleet.nodes.iter().map(|it| it.in_force.last().copied()).collect();
    assert!(before.iter().zip(&after).all(|(before, after)| before < after));
    // The store is restored to the first version.
    measure::restore_first(&mut fleet);
    advance(&mut fleet, Duration::from_secs(12));
    let held: Vec<_> = fleet.nodes.iter().map(|it| it.in_force.last().copied()).collect();
    assert_eq!(held, after);
    let complains =
        |it: &fleet::FleetNode| it.membership.held_config().status().went_back_to.is_some();
    assert!(fleet.nodes.iter().any(complains));
    assert!((0..NODES).all(|idx| serves(&fleet, idx)), "the majority has the same version");
    assert!(Time::START < fleet.now());
}
