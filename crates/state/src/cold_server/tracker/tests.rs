use super::*;
use crate::id::Incarnation;

const DURATION: Duration = Duration::from_secs(3);

fn server(incarnation: u64) -> ServerIncarnation {
    ServerIncarnation { instance: "h0".into(), incarnation: Incarnation(incarnation) }
}

fn serve(servers: &mut ColdServers, incarnation: u64, is_traffic: bool, now_ms: u64) {
    let serving = std::iter::once((server(incarnation), DURATION));
    servers.record_serving(serving, is_traffic, Time::from_millis(now_ms));
}

fn left_ms(servers: &ColdServers, incarnation: u64, now_ms: u64) -> u128 {
    let now = Time::from_millis(now_ms);
    servers.cold_until(&server(incarnation), now).map_or(0, |it| it.since(now).as_millis())
}

#[test]
fn server_before_the_first_request_is_warm() {
    let mut servers = ColdServers::default();
    serve(&mut servers, 1, false, 0);
    serve(&mut servers, 1, true, 500);
    assert_eq!(left_ms(&servers, 1, 500), 0);
}

#[test]
fn server_that_appears_or_restarts_during_traffic_is_cold_without_a_message() {
    let mut servers = ColdServers::default();
    serve(&mut servers, 1, true, 100);
    serve(&mut servers, 1, true, 2_000);
    assert_eq!(left_ms(&servers, 1, 2_000), 1_100);
    assert_eq!(left_ms(&servers, 1, 3_100), 0);
    serve(&mut servers, 2, true, 5_000);
    assert_eq!(left_ms(&servers, 2, 5_000), 3_000);
}

/// A repair takes a replica's head out for a moment; the head has not started anew.
#[test]
fn server_is_cold_again_only_after_a_long_absence() {
    let mut servers = ColdServers::default();
    serve(&mut servers, 1, true, 0);
    servers.record_serving(std::iter::empty(), true, Time::from_millis(1_000));
    serve(&mut servers, 1, true, 9_000);
    assert_eq!(left_ms(&servers, 1, 9_000), 0);
    servers.record_serving(std::iter::empty(), true, Time::from_millis(10_000));
    serve(&mut servers, 1, true, 21_000);
    assert_eq!(left_ms(&servers, 1, 21_000), 3_000);
}

/// A gateway that reads no list for minutes must not take all servers as cold after it.
#[test]
fn server_stays_warm_while_nothing_is_read() {
    let mut servers = ColdServers::default();
    serve(&mut servers, 1, true, 0);
    servers.changes(Time::from_millis(100_000));
    serve(&mut servers, 1, true, 200_000);
    assert_eq!(left_ms(&servers, 1, 200_000), 0);
}

#[test]
fn server_is_cold_again_when_it_states_so_or_its_zone_returns() {
    let mut servers = ColdServers::default();
    serve(&mut servers, 1, false, 0);
    servers.record_stated(&server(1), Duration::from_millis(2_000), Time::from_millis(1_000));
    assert_eq!(left_ms(&servers, 1, 1_500), 1_500);
    servers.record_stated(&server(1), Duration::ZERO, Time::from_millis(2_000));
    assert_eq!(left_ms(&servers, 1, 2_000), 0, "the latest statement counts");
    servers.record_returned(&server(1), Time::from_millis(4_000));
    assert_eq!(left_ms(&servers, 1, 4_000), 3_000);
}

/// A gateway that reads no list can only see the refused connections of a restart.
#[test]
fn server_that_refused_a_connection_is_cold_from_its_next_response_on() {
    let mut servers = ColdServers::default();
    serve(&mut servers, 1, false, 0);
    servers.record_refused(&server(1));
    assert!(servers.cold_until(&server(1), Time::from_millis(60_000)).is_some());
    servers.record_response(&server(1), Time::from_millis(4_000));
    servers.record_response(&server(1), Time::from_millis(5_000));
    assert_eq!(left_ms(&servers, 1, 5_000), 2_000);
}

#[test]
fn each_change_is_returned_once() {
    let mut servers = ColdServers::default();
    serve(&mut servers, 1, true, 0);
    let change = |is_cold, left| ColdChange {
        server: server(1),
        is_cold,
        reason: ColdReason::New,
        left: Some(left),
    };
    assert_eq!(servers.changes(Time::START), [change(true, DURATION)]);
    assert_eq!(servers.cold_count(Time::START), 1);
    assert_eq!(servers.changes(Time::from_millis(1_000)), []);
    assert_eq!(servers.changes(Time::from_millis(3_000)), [change(false, Duration::ZERO)]);
    assert_eq!(servers.cold_count(Time::from_millis(3_000)), 0);
}

/// Servers that are gone must not be kept for ever.
#[test]
fn servers_that_are_gone_are_dropped() {
    let mut servers = ColdServers::default();
    serve(&mut servers, 1, true, 0);
    servers.record_stated(&server(2), DURATION, Time::START);
    servers.record_serving(std::iter::empty(), true, Time::START);
    servers.changes(Time::from_millis(14_000));
    assert!(servers.known.is_empty(), "{servers:?}");
}
