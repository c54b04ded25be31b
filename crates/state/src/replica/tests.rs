//! Tests of the routability check.

use super::*;

const FRESHNESS: Duration = Duration::from_secs(2);

fn spec() -> ReplicaSpec {
    let member = |name: &str, incarnation| Member {
        instance: name.into(),
        incarnation: Incarnation(incarnation),
        engine_addr: ([127, 0, 0, 1], 1).into(),
    };
    ReplicaSpec {
        id: ReplicaId(1),
        epoch: Epoch(3),
        deployment: "d".into(),
        model: "m".into(),
        version: "1".into(),
        adapters: Vec::new(),
        domain: "f".into(),
        zone: "z".into(),
        members: vec![member("a", 10), member("b", 20)],
    }
}

fn received(incarnation: u64) -> ReceivedReport {
    let report = MemberReport {
        replica: Some(ReplicaId(1)),
        epoch: Epoch(3),
        incarnation: Incarnation(incarnation),
        ready: true,
        leaving: false,
    };
    ReceivedReport { report, requested_at: Time::from_millis(1000) }
}

#[test]
fn routable_only_while_every_member_confirms() {
    type Case = (&'static str, fn(&mut ReceivedReport), Result<(), NotRoutable>);
    let cases: [Case; 7] = [
        ("same", |_| {}, Ok(())),
        ("silent", |r| r.requested_at = Time::START, Err(NotRoutable::MemberSilent)),
        (
            "restarted",
            |r| r.report.incarnation = Incarnation(21),
            Err(NotRoutable::MemberRestarted),
        ),
        ("other epoch", |r| r.report.epoch = Epoch(4), Err(NotRoutable::MemberElsewhere)),
        ("no replica", |r| r.report.replica = None, Err(NotRoutable::MemberElsewhere)),
        ("loading", |r| r.report.ready = false, Err(NotRoutable::MemberLoading)),
        ("leaving", |r| r.report.leaving = true, Err(NotRoutable::MemberLeaving)),
    ];
    for (name, change, expected) in cases {
        let mut second = received(20);
        change(&mut second);
        let reports = [Some(received(10)), Some(second)];
        let res = check_routable(&spec(), &reports, Time::from_millis(2500), FRESHNESS);
        assert_eq!(res, expected, "{name}");
    }
    let res = check_routable(&spec(), &[Some(received(10))], Time::START, FRESHNESS);
    assert_eq!(res, Err(NotRoutable::MemberSilent));
}
