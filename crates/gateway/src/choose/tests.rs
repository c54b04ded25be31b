use std::{net::SocketAddr, time::Duration};

use citrongw_state::id::{Epoch, ReplicaId};

use super::*;
use crate::{
    adapter::ServerLoad,
    fleet::{BackendStats, ReplicaKey},
};

fn server(id: &str, zone: &str, load: u32) -> Arc<Backend> {
    let stats = Arc::new(BackendStats::default());
    stats.record_load(Time::START, ServerLoad { running: load, waiting: 0, slots: 10 });
    Arc::new(Backend {
        id: id.into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: zone.into(),
        slots: 10,
        replica: Some(ReplicaKey { replica: ReplicaId(1), epoch: Epoch(1) }),
        domain: None,
        stats,
    })
}

fn chosen(servers: &[Arc<Backend>], tried: &[InstanceId]) -> Option<String> {
    let zone = "a".into();
    let peer_loads = PeerLoads::default();
    let criteria = ChoiceCriteria { zone: &zone, tried, peer_loads: &peer_loads, now: Time::START };
    choose(servers, &criteria, || 0.0).map(|it| it.best.server.id.to_string())
}

#[test]
fn least_loaded_server_wins_and_the_zone_of_the_node_breaks_ties() {
    let servers = [server("x", "b", 3), server("y", "a", 3), server("z", "a", 6)];
    assert_eq!(chosen(&servers, &[]).as_deref(), Some("y"));
    let servers = [server("x", "b", 2), server("y", "a", 3)];
    assert_eq!(chosen(&servers, &[]).as_deref(), Some("x"));
}

#[test]
fn choice_reports_its_load_estimates() {
    let servers = [server("x", "a", 6), server("y", "a", 3), server("z", "a", 5)];
    let zone = "a".into();
    let peer_loads = PeerLoads::default();
    let criteria = ChoiceCriteria {
        zone: &zone,
        tried: &[],
        peer_loads: &peer_loads,
        now: Time::from_millis(150),
    };
    let choice = choose(&servers, &criteria, || 0.0).unwrap();
    let age = Some(Duration::from_millis(150));
    assert_eq!(choice.best.load, LoadEstimate { requests: 3, reported_age: age });
    let runner_up = choice.runner_up.unwrap();
    assert_eq!((runner_up.server.id.as_str(), runner_up.load.requests), ("z", 5));
    let late = ChoiceCriteria { now: Time::from_millis(5_000), ..criteria };
    let load = choose(&servers, &late, || 0.0).unwrap().best.load;
    assert_eq!(
        load,
        LoadEstimate { requests: 0, reported_age: None },
        "an expired load report does not count"
    );
}

#[test]
fn tried_and_suspected_servers_are_not_chosen() {
    let servers = [server("x", "a", 0), server("y", "a", 5)];
    assert_eq!(chosen(&servers, &["x".into()]).as_deref(), Some("y"));
    servers[0].stats.suspect_until(Time::from_millis(10));
    assert_eq!(chosen(&servers, &[]).as_deref(), Some("y"));
    assert_eq!(chosen(&servers, &["y".into()]), None);
}
