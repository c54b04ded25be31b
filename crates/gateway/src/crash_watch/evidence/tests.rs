use citrongw_state::id::Incarnation;

use super::*;

fn server() -> ServerIncarnation {
    ServerIncarnation { instance: "h0".into(), incarnation: Incarnation(1) }
}

fn request(number: u128) -> Signatures {
    vec![Fingerprint(number)]
}

#[test]
fn server_is_polled_once_for_all_requests_that_it_interrupts() {
    let (mut evidence, now) = (Evidence::default(), Time::START);
    assert_eq!(evidence.add_interrupted(&server(), request(1), now), NextStep::Poll);
    assert_eq!(evidence.add_interrupted(&server(), request(2), now), NextStep::Wait);
    assert_eq!(evidence.add_abandoned(&server(), request(3), now), NextStep::Wait);
    let all = [request(1), request(2), request(3)];
    assert_eq!(evidence.record_death(&server(), now), all);
    let late = evidence.add_abandoned(&server(), request(4), now);
    assert_eq!(late, NextStep::Publish(request(4)));
}

#[test]
fn running_server_clears_only_the_requests_that_it_interrupted() {
    let (mut evidence, now) = (Evidence::default(), Time::START);
    evidence.add_interrupted(&server(), request(1), now);
    evidence.add_abandoned(&server(), request(2), now);
    assert_eq!(evidence.record_running(&server()), [request(1)]);
    assert_eq!(evidence.record_death(&server(), now), [request(2)]);
}

#[test]
fn servers_are_forgotten_once_nothing_counts() {
    let mut evidence = Evidence::default();
    evidence.add_interrupted(&server(), request(1), Time::START);
    evidence.record_death(&server(), Time::START);
    evidence.expire(Time::START + DEATH_RETENTION);
    assert!(evidence.servers.is_empty());
}
