use std::net::SocketAddr;

use citrongw_state::id::{Epoch, ReplicaId};

use super::*;
use crate::{
    fleet::{BackendStats, work::RequestWork},
    peer_loads::ReportSource,
};

fn server(replica: u64) -> Arc<Backend> {
    Arc::new(Backend {
        id: "i".into(),
        incarnation: citrongw_state::id::Incarnation(1),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "a".into(),
        slots: 10,
        replica: Some(ReplicaKey { replica: ReplicaId(replica), epoch: Epoch(1) }),
        domain: None,
        gateway: None,
        stats: Arc::new(BackendStats::default()),
    })
}

fn requests(replica: u64, requests: u32, begun: u32) -> ReplicaRequests {
    ReplicaRequests { replica: ReplicaId(replica), epoch: Epoch(1), requests, begun }
}

#[test]
fn report_rate_is_bounded_for_any_number_of_gateways() {
    assert_eq!(interval(1), MIN_INTERVAL);
    assert_eq!(interval(100), Duration::from_millis(500));
    assert_eq!(interval(10_000), MAX_INTERVAL);
}

#[test]
fn report_of_many_replicas_loses_none_and_each_part_fits_into_a_datagram() {
    // Enough for the header of a sealed datagram and its authentication.
    const SEAL_BYTES: usize = 100;
    let many: Vec<_> = (0..875).map(|it| requests(u64::from(u32::MAX) - it, 1, 1)).collect();
    let parts = split(&many, Duration::from_millis(100));
    let all: Vec<_> = parts.iter().flat_map(|it| it.replicas.clone()).collect();
    assert_eq!(all, many);
    for part in parts {
        let bytes = postcard::to_stdvec(&PeerMessage::Load(part)).unwrap().len();
        assert!(bytes + SEAL_BYTES <= citrongw_protocol::peer::MAX_DATAGRAM_BYTES);
    }
    assert_eq!(split(&[], Duration::ZERO).len(), 1, "that there are none is reported too");
}

#[test]
fn report_has_the_requests_begun_since_the_last_one() {
    let (peer_loads, mut publisher) = (PeerLoads::default(), open(NodeId(1)));
    let server = server(7);
    let mut own = |ms| {
        let due = publisher.due([&server].into_iter(), &peer_loads, Time::from_millis(ms));
        due.own.first().map(|it| (it.covers_ms, it.replicas.clone()))
    };
    assert_eq!(own(100), None, "nothing to report");
    let first = server.stats.begin_request();
    drop(server.stats.begin_request());
    assert_eq!(own(200), Some((200, vec![requests(7, 1, 2)])));
    assert_eq!(own(300), None, "unchanged");
    assert_eq!(own(1_300), Some((1_100, vec![requests(7, 1, 0)])), "kept alive");
    drop(first);
    assert_eq!(own(1_400), Some((100, Vec::new())));
    assert_eq!(own(5_000), None);
}

#[test]
fn sums_of_the_zone_include_own_requests_but_not_those_of_other_zones() {
    let (peer_loads, mut publisher) = (PeerLoads::default(), open(NodeId(1)));
    let server = server(7);
    let _own = server.stats.begin_request();
    let reported = |count| split(&[requests(7, count, 0)], Duration::ZERO).remove(0);
    peer_loads.record(ReportSource::Gateway(NodeId(2)), reported(4), Time::START);
    peer_loads.record(ReportSource::Zone("b".into()), reported(50), Time::START);
    let due = publisher.due([&server].into_iter(), &peer_loads, Time::START + ZONE_INTERVAL);
    assert_eq!(due.zone[0].replicas, [requests(7, 5, 0)]);
    let mut other = open(NodeId(3));
    let due = other.due([&server].into_iter(), &peer_loads, Time::START + ZONE_INTERVAL);
    assert_eq!(due.zone, [], "the gateway with the lowest id sends the sums");
    let due =
        open(NodeId(1)).due(std::iter::empty(), &PeerLoads::default(), Time::from_millis(9_000));
    assert_eq!(due.zone, [], "no requests in the zone");
}

#[test]
fn work_is_reported_beside_counts_and_summed_for_other_zones() {
    let server = server(7);
    let begin = |tokens| {
        let work = RequestWork { prompt_tokens: tokens, output_tokens: 100, event_tokens: 6 };
        server.stats.begin_work(work, Time::START)
    };
    let _requests = (begin(1_600), begin(320));
    let peer_loads = PeerLoads::default();
    let due = |publisher: &mut LoadPublisher| {
        publisher.due([&server].into_iter(), &peer_loads, Time::from_millis(600))
    };
    let without = due(&mut open(NodeId(1)));
    assert!(without.own_work.is_empty() && without.zone_work.is_empty());
    let with = due(&mut open(NodeId(1)).with_work());
    assert_eq!((&with.own, &with.zone), (&without.own, &without.zone));
    let key = ReplicaKey { replica: ReplicaId(7), epoch: Epoch(1) };
    for (work, age_ms) in [(&with.own_work, 600), (&with.zone_work, 300)] {
        let tokens = |it: &ReplicaKey| if *it == key { 1_920.0 } else { 0.0 };
        let age = Duration::from_millis(age_ms);
        assert_eq!(work, &[WorkReport::new(&with.own[0], age, tokens)]);
    }
}
