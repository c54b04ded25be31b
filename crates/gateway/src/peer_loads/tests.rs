use super::*;

const KEY: ReplicaKey = ReplicaKey { replica: ReplicaId(7), epoch: Epoch(1) };

fn at(requests: u32) -> Vec<ReplicaRequests> {
    vec![ReplicaRequests { replica: KEY.replica, epoch: KEY.epoch, requests }]
}

#[test]
fn requests_of_all_gateways_add_up_and_the_last_report_of_each_counts() {
    let peer_loads = PeerLoads::default();
    peer_loads.record(NodeId(1), &at(3), Time::START);
    peer_loads.record(NodeId(2), &at(4), Time::START);
    assert_eq!(peer_loads.requests_at(&KEY, Time::START), 7);
    peer_loads.record(NodeId(1), &[], Time::START);
    assert_eq!(peer_loads.requests_at(&KEY, Time::START), 4);
    let other = ReplicaKey { epoch: Epoch(2), ..KEY };
    assert_eq!(peer_loads.requests_at(&other, Time::START), 0);
}

#[test]
fn requests_of_a_silent_gateway_expire() {
    let peer_loads = PeerLoads::default();
    peer_loads.record(NodeId(1), &at(3), Time::START);
    assert_eq!(peer_loads.requests_at(&KEY, Time::START + REPORT_EXPIRY), 0);
}

#[test]
fn message_rate_is_bounded_for_any_number_of_gateways() {
    assert_eq!(interval(1), MIN_INTERVAL);
    assert_eq!(interval(100), Duration::from_millis(500));
    assert_eq!(interval(10_000), MAX_INTERVAL);
}
