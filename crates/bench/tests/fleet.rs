//! Nodes over a simulated network: what they do when the service, a zone or
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
const LOOK: Duration = Duration::from_millis(250);

fn open(seed: u64, broken: Broken) -> Fleet {
    let settings = fleet::FleetSettings { broken, ..measure::settings(NODES, ZONES, seed) };
    let mut fleet = fleet::open(settings);
    measure::seed_config(&mut fleet);
    pass(&mut fleet, WARM_UP);
    fleet
}

fn pass(fleet: &mut Fleet, span: Duration) {
    let end = fleet.now() + span;
    fleet.run_until(end, &mut |_, _| {});
}

fn serves(fleet: &Fleet, idx: usize) -> bool {
    fleet.nodes[idx].serve_until.is_some_and(|until| fleet.now() < until)
}

#[test]
fn nodes_serve_on_while_the_service_is_down_for_everybody() {
    let mut fleet = open(1, Broken::default());
    fleet.service_up = false;
    for _ in 0..120 {
        pass(&mut fleet, LOOK);
        let refusing: Vec<usize> = (0..NODES).filter(|it| !serves(&fleet, *it)).collect();
        assert!(refusing.is_empty(), "{refusing:?} at {}", fleet.now());
    }
}

#[test]
fn a_zone_that_is_cut_off_refuses_and_the_others_serve_on() {
    let mut fleet = open(2, Broken::default());
    let in_cut = |idx: &usize| idx % ZONES == 0;
    for idx in (0..NODES).filter(in_cut) {
        fleet.nodes[idx].side = 1;
        fleet.nodes[idx].reaches_service = false;
    }
    pass(&mut fleet, MAX_CONFIRMATION_AGE + LOOK);
    for _ in 0..40 {
        pass(&mut fleet, LOOK);
        for idx in 0..NODES {
            assert_eq!(serves(&fleet, idx), !in_cut(&idx), "node {idx} at {}", fleet.now());
        }
    }
    for node in &mut fleet.nodes {
        node.side = 0;
        node.reaches_service = true;
    }
    pass(&mut fleet, Duration::from_secs(5));
    assert!((0..NODES).all(|idx| serves(&fleet, idx)));
}

#[test]
fn a_dead_node_is_replaced_on_the_record() {
    let mut fleet = open(3, Broken::default());
    fleet.kill(4);
    let late = fleet.start_node(4 % ZONES);
    pass(&mut fleet, Duration::from_secs(30));
    for idx in fleet.running() {
        let membership = &fleet.nodes[idx].membership;
        assert_eq!(membership.members().alive_count(), NODES, "node {idx}");
        let acceptance = membership.held_config().status().acceptance.unwrap();
        assert_eq!((acceptance.holding, acceptance.recorded), (20, 20), "node {idx}");
    }
    assert!(serves(&fleet, late));
}

/// Nodes that had not heard that an instance leaves, some time after the first
/// sign of it.
fn not_told(seed: u64, broken: Broken) -> usize {
    let mut fleet = open(seed, broken);
    let first = (seed as usize) % NODES;
    let leaving = LeavingInstance { instance: "instance-1".into(), incarnation: Incarnation(1) };
    let news = GossipItem::Leaving(leaving);
    fleet.give(first, Event::Published(news.clone()));
    let told_by = fleet.now() + IN_FORCE_WITHIN;
    pass(&mut fleet, IN_FORCE_WITHIN);
    let heard =
        |idx: &usize| fleet.nodes[*idx].heard.iter().any(|(at, it)| *it == news && *at <= told_by);
    (0..NODES).filter(|it| *it != first && !heard(it)).count()
}

#[test]
fn leaving_servers_are_known_everywhere_in_time() {
    for seed in 0..60 {
        assert_eq!(not_told(seed, Broken::default()), 0, "seed {seed}");
    }
    let broken = Broken { news_dropped: true, ..Broken::default() };
    assert!((0..3).all(|seed| 0 < not_told(seed, broken)));
}

#[test]
fn demand_of_all_nodes_adds_up_everywhere() {
    let mut fleet = open(5, Broken::default());
    // Told once in five seconds, as an unchanged demand is.
    for sequence in 0..3 {
        for idx in 0..NODES {
            let node = fleet.nodes[idx].info.id;
            let requests_per_s = 10.0;
            let organisation = "grower".into();
            let demand = OrganisationDemand { organisation, node, sequence, requests_per_s };
            fleet.give(idx, Event::Published(GossipItem::Demand(demand)));
        }
        pass(&mut fleet, Duration::from_secs(5));
    }
    for idx in 0..NODES {
        let others = fleet.nodes[idx].heard.iter().rev().find_map(|(_, news)| match news {
            GossipItem::Demand(it) => Some(it.requests_per_s),
            _ => None,
        });
        assert_eq!(others, Some(190.0), "node {idx}");
    }
}

#[test]
fn nodes_hold_what_they_have_when_the_service_goes_back() {
    let mut fleet = open(4, Broken::default());
    let before: Vec<_> = fleet.nodes.iter().map(|it| it.in_force.last().copied()).collect();
    measure::edit(&mut fleet);
    pass(&mut fleet, Duration::from_secs(4));
    let after: Vec<_> = fleet.nodes.iter().map(|it| it.in_force.last().copied()).collect();
    assert!(before.iter().zip(&after).all(|(before, after)| before < after));
    // The service is restored to the first version.
    measure::restore_first(&mut fleet);
    pass(&mut fleet, Duration::from_secs(12));
    let held: Vec<_> = fleet.nodes.iter().map(|it| it.in_force.last().copied()).collect();
    assert_eq!(held, after);
    let complains =
        |it: &fleet::FleetNode| it.membership.held_config().status().went_back_to.is_some();
    assert!(fleet.nodes.iter().any(complains));
    assert!((0..NODES).all(|idx| serves(&fleet, idx)), "the majority holds the same");
    assert!(Time::START < fleet.now());
}
