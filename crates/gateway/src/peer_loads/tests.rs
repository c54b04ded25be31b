use std::{net::SocketAddr, sync::Arc};

use super::*;
use crate::fleet::BackendStats;

const KEY: ReplicaKey = ReplicaKey { replica: ReplicaId(7), epoch: Epoch(1) };

fn server(key: ReplicaKey) -> Backend {
    Backend {
        id: "i".into(),
        incarnation: citrongw_state::id::Incarnation(1),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "a".into(),
        slots: 10,
        replica: Some(key),
        domain: None,
        gateway: None,
        stats: Arc::new(BackendStats::default()),
    }
}

fn at(requests: u32, begun: u32) -> LoadReport {
    let of_replica = ReplicaRequests { replica: KEY.replica, epoch: KEY.epoch, requests, begun };
    let replicas = if requests + begun == 0 { Vec::new() } else { vec![of_replica] };
    LoadReport { part: 0, parts: 1, covers_ms: 100, replicas }
}

fn node(id: u64) -> ReportSource {
    ReportSource::Gateway(NodeId(id))
}

fn zone() -> ReportSource {
    ReportSource::Zone("b".into())
}

/// Requests of the zone and of the other zones at a replica.
fn requests_at(peer_loads: &PeerLoads, key: ReplicaKey, now: Time) -> (u32, u32) {
    let (view, server) = (peer_loads.view(now), server(key));
    (view.zone_requests(&server), view.remote_requests(&server))
}

#[test]
fn requests_of_all_sources_add_up_and_the_last_report_of_each_counts() {
    let peer_loads = PeerLoads::default();
    let requests = |key| requests_at(&peer_loads, key, Time::START);
    peer_loads.record(node(1), at(3, 0), Time::START);
    peer_loads.record(node(2), at(4, 0), Time::START);
    peer_loads.record(zone(), at(20, 0), Time::START);
    assert_eq!(requests(KEY), (7, 20));
    peer_loads.record(node(1), at(0, 0), Time::START);
    peer_loads.record(zone(), at(10, 0), Time::START);
    assert_eq!(requests(KEY), (4, 10));
    assert_eq!(requests(ReplicaKey { epoch: Epoch(2), ..KEY }), (0, 0));
}

#[test]
fn part_that_a_shorter_report_lacks_no_longer_counts() {
    let peer_loads = PeerLoads::default();
    let requests = || requests_at(&peer_loads, KEY, Time::START).0;
    for part in 0..2 {
        let report = LoadReport { part, parts: 2, ..at(3, 0) };
        peer_loads.record(node(1), report, Time::START);
    }
    assert_eq!(requests(), 6);
    peer_loads.record(node(1), at(2, 0), Time::START);
    assert_eq!(requests(), 2);
}

#[test]
fn requests_of_a_silent_gateway_expire() {
    let peer_loads = PeerLoads::default();
    peer_loads.record(node(1), at(3, 0), Time::START);
    peer_loads.record(zone(), at(5, 0), Time::from_millis(1_000));
    assert_eq!(requests_at(&peer_loads, KEY, Time::START + REPORT_EXPIRY), (0, 5));
}

#[test]
fn expected_arrivals_grow_with_the_age_of_the_reports_up_to_the_time_they_cover() {
    let peer_loads = PeerLoads::default();
    peer_loads.record(node(1), at(3, 4), Time::START);
    peer_loads.record(node(2), at(3, 2), Time::START);
    let server = server(KEY);
    let arrivals = |ms| {
        let view = peer_loads.view(Time::from_millis(ms));
        view.expected_arrivals([&server].into_iter(), Duration::MAX)
    };
    assert!((arrivals(50) - 3.0).abs() < 1e-9);
    assert!((arrivals(100) - 6.0).abs() < 1e-9);
    assert!((arrivals(1_000) - 6.0).abs() < 1e-9);
}

#[test]
fn gateway_with_the_lowest_id_of_its_zone_is_the_reporter() {
    let peer_loads = PeerLoads::default();
    assert!(peer_loads.is_reporter(NodeId(5), Time::START), "alone in its zone");
    peer_loads.record(node(9), at(1, 0), Time::START);
    assert!(peer_loads.is_reporter(NodeId(5), Time::START));
    peer_loads.record(node(3), at(1, 0), Time::START);
    assert!(!peer_loads.is_reporter(NodeId(5), Time::START));
    assert!(peer_loads.is_reporter(NodeId(5), Time::START + REPORT_EXPIRY), "3 fell silent");
}

#[test]
fn replicas_that_no_report_names_are_forgotten() {
    let peer_loads = PeerLoads::default();
    // Each repair gives a replica another epoch, while no report ever expires.
    for epoch in 0..100 {
        let of_epoch = |report: LoadReport| {
            let replicas = report.replicas.into_iter();
            let replicas = replicas.map(|it| ReplicaRequests { epoch: Epoch(epoch), ..it });
            LoadReport { replicas: replicas.collect(), ..report }
        };
        peer_loads.record(node(1), of_epoch(at(3, 1)), Time::START);
        peer_loads.record(node(2), of_epoch(at(0, 1)), Time::START);
        peer_loads.record(zone(), of_epoch(at(5, 0)), Time::START);
    }
    assert_eq!(lock(&peer_loads.reports).totals.len(), 1);
}
