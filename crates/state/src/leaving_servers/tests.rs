use super::*;

fn server(incarnation: u64) -> ServerIncarnation {
    ServerIncarnation { instance: "i-1".into(), incarnation: Incarnation(incarnation) }
}

/// A list of instances that is older than the statement must not bring the server back.
#[test]
fn statement_holds_for_one_incarnation() {
    let mut leaving = LeavingServers::default();
    leaving.record(&server(2), Time::START);
    let contains = |leaving: &LeavingServers, it| leaving.contains(&"i-1".into(), Incarnation(it));
    assert!(contains(&leaving, 2));
    assert!(!contains(&leaving, 3), "the next start is another server");
    leaving.record(&server(1), Time::START);
    assert!(contains(&leaving, 2), "a late statement of a former start");
    leaving.record(&server(3), Time::START);
    assert!(contains(&leaving, 3));
    assert!(contains(&leaving, 1), "ended before the statement of a later start");
}

/// Instances come under new ids for as long as the process runs.
#[test]
fn old_statements_are_dropped() {
    let mut leaving = LeavingServers::default();
    leaving.record(&server(1), Time::START);
    let other = ServerIncarnation { instance: "i-2".into(), incarnation: Incarnation(1) };
    leaving.record(&other, Time::START + RETENTION);
    assert_eq!(leaving.statements.len(), 1);
}
