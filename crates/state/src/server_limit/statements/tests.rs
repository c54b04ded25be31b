use super::*;
use crate::id::Incarnation;

const LIMIT: RequestsPerSecond = RequestsPerSecond(4.0);

fn server() -> ServerIncarnation {
    ServerIncarnation { instance: "h0".into(), incarnation: Incarnation(1) }
}

fn rate(requests_per_s: f64) -> StatedLimit {
    StatedLimit::Rate(RequestsPerSecond(requests_per_s))
}

fn limit(statements: &Statements) -> Option<RequestsPerSecond> {
    statements.newest(&server())?.limit
}

#[test]
fn only_a_response_to_a_later_request_ends_a_limit() {
    let [before, stated, after] = [1_000, 2_000, 3_000].map(Time::from_millis);
    let mut statements = Statements::default();
    assert_eq!(statements.record_response(&server(), StatedLimit::None, before, before), None);
    assert!(statements.is_empty(), "servers without a limit are not kept");
    assert!(statements.record_response(&server(), rate(4.0), before, stated).is_some());
    assert_eq!(statements.record_response(&server(), StatedLimit::None, before, after), None);
    assert_eq!(limit(&statements), Some(LIMIT));
    assert!(statements.record_response(&server(), StatedLimit::None, stated, after).is_some());
    assert_eq!(limit(&statements), None);
}

#[test]
fn unreadable_limit_changes_nothing() {
    let now = Time::from_millis(1_000);
    let mut statements = Statements::default();
    assert_eq!(statements.record_response(&server(), StatedLimit::Unreadable, now, now), None);
    assert!(statements.is_empty());
    statements.record_response(&server(), rate(4.0), now, now);
    assert_eq!(statements.record_response(&server(), StatedLimit::Unreadable, now, now), None);
    assert_eq!(limit(&statements), Some(LIMIT));
}

#[test]
fn small_changes_are_kept_and_add_up_to_a_significant_one() {
    let now = Time::from_millis(1_000);
    let mut statements = Statements::default();
    let mut state = |limit| statements.record_response(&server(), rate(limit), now, now).is_some();
    assert!(state(4.0));
    assert!(!state(3.8));
    assert!(state(3.5), "compared with the last significant change");
    assert_eq!(limit(&statements), Some(RequestsPerSecond(3.5)));
}

#[test]
fn statement_is_dropped_after_its_retention() {
    let mut statements = Statements::default();
    statements.record_response(&server(), rate(4.0), Time::START, Time::START);
    statements.expire(Time::START + RETENTION / 2);
    assert!(!statements.is_empty());
    statements.expire(Time::START + RETENTION);
    assert!(statements.is_empty());
}
