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

/// Records a response to a request that was sent at once, and returns whom to tell.
fn respond(statements: &mut Statements, stated: StatedLimit, at_ms: u64) -> Option<Audience> {
    let now = Time::from_millis(at_ms);
    statements.record_response(&server(), stated, now, now).map(|(_, audience)| audience)
}

#[test]
fn only_a_response_to_a_later_request_ends_a_limit() {
    let [before, stated, after] = [1_000, 2_000, 3_000].map(Time::from_millis);
    let mut statements = Statements::default();
    assert_eq!(respond(&mut statements, StatedLimit::None, 1_000), None);
    assert!(statements.is_empty(), "servers without a limit are not kept");
    assert_eq!(respond(&mut statements, rate(4.0), 2_000), Some(Audience::All));
    assert_eq!(statements.record_response(&server(), StatedLimit::None, before, after), None);
    assert_eq!(limit(&statements), Some(LIMIT));
    let ended = statements.record_response(&server(), StatedLimit::None, stated, after);
    assert_eq!(ended, Some((Statement { limit: None, stated_at: after }, Audience::All)));
    assert_eq!(limit(&statements), None);
}

#[test]
fn unreadable_limit_changes_nothing() {
    let mut statements = Statements::default();
    assert_eq!(respond(&mut statements, StatedLimit::Unreadable, 1_000), None);
    assert!(statements.is_empty());
    respond(&mut statements, rate(4.0), 1_000);
    respond(&mut statements, StatedLimit::Unreadable, 1_100);
    assert_eq!(limit(&statements), Some(LIMIT));
}

#[test]
fn all_gateways_are_told_of_changes_that_add_up_and_the_granter_of_the_rest() {
    let mut statements = Statements::default();
    assert_eq!(respond(&mut statements, rate(4.0), 1_000), Some(Audience::All));
    assert_eq!(respond(&mut statements, rate(3.8), 1_100), Some(Audience::None));
    assert_eq!(respond(&mut statements, rate(3.5), 1_200), Some(Audience::All));
    assert_eq!(respond(&mut statements, rate(3.5), 2_200), Some(Audience::Granter));
    statements.record_granter(&server(), Time::from_millis(3_000));
    assert_eq!(respond(&mut statements, rate(3.5), 3_200), Some(Audience::None));
    assert_eq!(limit(&statements), Some(RequestsPerSecond(3.5)));
}

#[test]
fn newest_report_counts() {
    let report = |limit, at_ms| Statement { limit, stated_at: Time::from_millis(at_ms) };
    let mut statements = Statements::default();
    assert!(!statements.record_report(&server(), report(None, 1_000)));
    assert!(statements.is_empty());
    assert!(statements.record_report(&server(), report(Some(LIMIT), 2_000)));
    assert!(!statements.record_report(&server(), report(None, 1_500)));
    assert_eq!(limit(&statements), Some(LIMIT));
    assert!(statements.record_report(&server(), report(None, 2_500)));
    assert_eq!(limit(&statements), None);
}

#[test]
fn granter_ends_a_limit_that_no_gateway_hears_of() {
    let mut statements = Statements::default();
    respond(&mut statements, rate(4.0), 0);
    let mut confirmed = |since, now| statements.confirmed(&server(), since, now).unwrap().limit;
    let late = Time::START + STATEMENT_EXPIRY;
    assert_eq!(confirmed(late, late), Some(LIMIT), "it has only begun to grant");
    assert_eq!(confirmed(Time::START, late), None);
}

#[test]
fn statement_is_dropped_after_its_retention() {
    let mut statements = Statements::default();
    respond(&mut statements, rate(4.0), 0);
    statements.expire(Time::START + RETENTION / 2);
    assert!(!statements.is_empty());
    statements.expire(Time::START + RETENTION);
    assert!(statements.is_empty());
}
