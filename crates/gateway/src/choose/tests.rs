use std::{net::SocketAddr, time::Duration};

use citrongw_state::{
    home::ZoneRegions,
    id::{Epoch, Region, ReplicaId, Revision},
};

use super::*;
use crate::{
    adapter::ServerLoad,
    fleet::{BackendStats, ReplicaKey},
    peer_loads::{LoadReport, ReplicaRequests, ReportSource},
};

fn server(id: &str, zone: &str, load: u32) -> Arc<Backend> {
    let stats = Arc::new(BackendStats::default());
    stats.record_load(Time::START, ServerLoad { running: load, waiting: 0, slots: 10 });
    Arc::new(Backend {
        id: id.into(),
        incarnation: citrongw_state::id::Incarnation(1),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: zone.into(),
        slots: 10,
        replica: Some(ReplicaKey { replica: ReplicaId(1), epoch: Epoch(1) }),
        domain: None,
        gateway: None,
        stats,
    })
}

fn chosen(servers: &[Arc<Backend>], tried: &[InstanceId]) -> Option<String> {
    let zone = "a".into();
    let peer_loads = PeerLoads::default();
    let criteria = ChoiceCriteria {
        zone: &zone,
        tried,
        pauses: &ServerPauses::default(),
        leaving: &LeavingServers::default(),
        peer_loads: &peer_loads,
        evacuated: &EvacuatedZones::default(),
        homes: None,
        now: Time::START,
        cost: None,
    };
    choose(servers, &criteria, || 0.0).map(|it| it.best.server.id.to_string())
}

#[test]
fn least_loaded_server_of_the_zone_wins_unless_another_zone_has_far_more_free_slots() {
    let servers = [server("x", "b", 3), server("y", "a", 3), server("z", "a", 6)];
    assert_eq!(chosen(&servers, &[]).as_deref(), Some("y"));
    let servers = [server("x", "b", 2), server("y", "a", 3)];
    assert_eq!(chosen(&servers, &[]).as_deref(), Some("y"));
    let servers = [server("x", "b", 0), server("y", "a", 3)];
    assert_eq!(chosen(&servers, &[]).as_deref(), Some("x"));
}

#[test]
fn servers_of_another_zone_count_as_level() {
    let remote = |id: &str, replica| {
        let key = ReplicaKey { replica: ReplicaId(replica), epoch: Epoch(1) };
        let remote = Backend::clone(&server(id, "b", 0));
        let stats = Arc::new(BackendStats::default());
        Arc::new(Backend { replica: Some(key), stats, ..remote })
    };
    let servers = [remote("x", 1), remote("y", 2)];
    let reported = |replica, requests| ReplicaRequests {
        replica: ReplicaId(replica),
        epoch: Epoch(1),
        requests,
        begun: 0,
    };
    let report = LoadReport {
        part: 0,
        parts: 1,
        covers_ms: 500,
        replicas: vec![reported(1, 8), reported(2, 2)],
    };
    let peer_loads = PeerLoads::default();
    peer_loads.record(ReportSource::Zone("b".into()), report, Time::START);
    let zone = "a".into();
    let criteria = ChoiceCriteria {
        zone: &zone,
        tried: &[],
        pauses: &ServerPauses::default(),
        leaving: &LeavingServers::default(),
        peer_loads: &peer_loads,
        evacuated: &EvacuatedZones::default(),
        homes: None,
        now: Time::START,
        cost: None,
    };
    let choice = choose(&servers, &criteria, || 0.0).unwrap();
    let loads = [choice.best.load.requests, choice.runner_up.unwrap().load.requests];
    assert_eq!(loads, [5.0, 5.0]);
}

#[test]
fn choice_reports_its_load_estimates() {
    let servers = [server("x", "a", 6), server("y", "a", 3), server("z", "a", 5)];
    let zone = "a".into();
    let peer_loads = PeerLoads::default();
    let criteria = ChoiceCriteria {
        zone: &zone,
        tried: &[],
        pauses: &ServerPauses::default(),
        leaving: &LeavingServers::default(),
        peer_loads: &peer_loads,
        evacuated: &EvacuatedZones::default(),
        homes: None,
        now: Time::from_millis(150),
        cost: None,
    };
    let choice = choose(&servers, &criteria, || 0.0).unwrap();
    let age = Some(Duration::from_millis(150));
    assert_eq!(
        choice.best.load,
        LoadEstimate { requests: 3.0, reported_age: age, predicted: None }
    );
    let runner_up = choice.runner_up.unwrap();
    assert_eq!((runner_up.server.id.as_str(), runner_up.load.requests), ("z", 5.0));
    let late = ChoiceCriteria { now: Time::from_millis(5_000), ..criteria };
    let load = choose(&servers, &late, || 0.0).unwrap().best.load;
    assert_eq!(
        load,
        LoadEstimate { requests: 0.0, reported_age: None, predicted: None },
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

#[test]
fn server_in_its_pause_is_excluded_whatever_else_holds() {
    let server = server("x", "a", 0);
    let zone = "a".into();
    let (peer_loads, mut pauses) = (PeerLoads::default(), ServerPauses::default());
    let pause = Duration::from_secs(2);
    pauses.record(&server.id, server.incarnation, pause, Time::START, 0.0);
    let excluded = |at_ms| {
        let now = Time::from_millis(at_ms);
        let criteria = ChoiceCriteria {
            zone: &zone,
            tried: &[],
            pauses: &pauses,
            leaving: &LeavingServers::default(),
            peer_loads: &peer_loads,
            evacuated: &EvacuatedZones::default(),
            homes: None,
            now,
            cost: None,
        };
        exclusion(&server, &criteria)
    };
    server.stats.suspect_until(Time::from_millis(9_000));
    assert_eq!(excluded(0), Some(Exclusion::Pausing));
    // A response to an earlier request ends the suspicion, not the pause.
    server.stats.record_received(Time::from_millis(1_000));
    assert_eq!(excluded(1_999), Some(Exclusion::Pausing));
    assert_eq!(excluded(2_000), None);
}

/// Guards against requests that reach servers in zones under evacuation, and against
/// relaying them because these servers count as unreachable.
#[test]
fn servers_of_an_evacuated_zone_are_not_chosen() {
    let servers = [server("x", "b", 0), server("y", "a", 9)];
    servers[0].stats.suspect_until(Time::from_millis(9_000));
    let evacuated = EvacuatedZones {
        revision: Revision::new(1),
        zones: ["b"].map(AvailabilityZone::from).into(),
    };
    let zone = "a".into();
    let criteria = ChoiceCriteria {
        zone: &zone,
        tried: &[],
        pauses: &ServerPauses::default(),
        leaving: &LeavingServers::default(),
        peer_loads: &PeerLoads::default(),
        evacuated: &evacuated,
        homes: None,
        now: Time::START,
        cost: None,
    };
    let chosen =
        |servers: &[_]| choose(servers, &criteria, || 0.0).map(|it| it.best.server.id.to_string());
    assert_eq!(chosen(&servers).as_deref(), Some("y"));
    assert_eq!(chosen(&servers[..1]), None);
    let why = exclusion(&servers[0], &criteria).unwrap();
    assert_eq!(why, Exclusion::Evacuated);
    assert!(!why.is_out_of_reach());
    assert_eq!(exclusions(&servers, &criteria), "evacuated 1");
}

/// Guards against requests that leave the home regions of their route.
#[test]
fn servers_outside_the_homes_are_not_chosen() {
    let servers = [server("x", "b", 0), server("y", "a", 9)];
    let (regions, route): (ZoneRegions, _) =
        ("a=north,b=south".parse().unwrap(), [Region::from("north")]);
    let zone = "b".into();
    let criteria = ChoiceCriteria {
        zone: &zone,
        tried: &[],
        pauses: &ServerPauses::default(),
        leaving: &LeavingServers::default(),
        peer_loads: &PeerLoads::default(),
        evacuated: &EvacuatedZones::default(),
        homes: Some(Homes { regions: &regions, route: &route, organisation: &[] }),
        cost: None,
        now: Time::START,
    };
    let choice = choose(&servers, &criteria, || 0.0).unwrap();
    assert_eq!(choice.best.server.id.as_str(), "y");
    assert!(choice.runner_up.is_none());
    assert_eq!(exclusions(&servers, &criteria), "outside home 1");
}
