//! Tests of repair decisions.

use super::*;

const WAIT_LIMITS: Patience = Patience {
    load_time: Duration::from_secs(20),
    most: Duration::from_secs(60),
    together: Duration::from_secs(60),
    wanted_elsewhere: None,
};

fn broken(replica: u64, lost: u32, left: u32, waited_s: Option<u64>) -> Broken {
    Broken {
        replica: ReplicaId(replica),
        lost,
        left,
        accelerators: (lost + left) * 8,
        waited: waited_s.map(Duration::from_secs),
        broken_for: Duration::from_secs(waited_s.unwrap_or(600)),
        may_give: true,
        may_span: true,
    }
}

#[test]
fn spares_wait_and_taking_apart() {
    use Objective::{GroupDowntime, StrandedAccelerators};
    use Step::{Replace, TakeApart};
    let elsewhere = |members| Patience { wanted_elsewhere: Some(members), ..WAIT_LIMITS };
    let cases = [
        (
            "a member may yet return",
            GroupDowntime,
            vec![broken(1, 1, 3, Some(5))],
            1,
            WAIT_LIMITS,
            vec![],
        ),
        (
            "waiting costs more",
            GroupDowntime,
            vec![broken(1, 1, 3, Some(20))],
            1,
            WAIT_LIMITS,
            vec![(1, Replace)],
        ),
        (
            "the member cannot return",
            GroupDowntime,
            vec![broken(1, 1, 3, None)],
            1,
            WAIT_LIMITS,
            vec![(1, Replace)],
        ),
        ("no spare", GroupDowntime, vec![broken(1, 1, 3, None)], 0, WAIT_LIMITS, vec![]),
        (
            "the small replica has the same value for fewer spares",
            GroupDowntime,
            vec![broken(1, 2, 6, None), broken(2, 1, 1, None)],
            2,
            WAIT_LIMITS,
            vec![(2, Replace)],
        ),
        (
            "the large replica has more accelerators",
            StrandedAccelerators,
            vec![broken(1, 2, 6, None), broken(2, 1, 1, None)],
            2,
            WAIT_LIMITS,
            vec![(1, Replace)],
        ),
        (
            "one broken replica completes another",
            GroupDowntime,
            vec![broken(1, 1, 3, None), broken(2, 1, 3, None)],
            0,
            WAIT_LIMITS,
            vec![(2, TakeApart)],
        ),
        (
            "keeps its members while the lost one may return",
            GroupDowntime,
            vec![broken(1, 1, 3, Some(30)), broken(2, 1, 3, Some(30))],
            0,
            WAIT_LIMITS,
            vec![],
        ),
        (
            "its members form a replica missing elsewhere",
            StrandedAccelerators,
            vec![broken(1, 1, 3, None)],
            0,
            elsewhere(2),
            vec![(1, TakeApart)],
        ),
    ];
    for (name, objective, broken, spares, patience, expected) in cases {
        let expected: Vec<_> = expected.into_iter().map(|(id, it)| (ReplicaId(id), it)).collect();
        assert_eq!(
            decide(objective, &broken, Spares { here: spares, elsewhere: 0 }, &patience),
            expected,
            "{name}"
        );
    }
}

#[test]
fn spares_of_other_domains_come_second() {
    use Step::{Replace, ReplaceAcross};
    let cases = [
        (1, 1, vec![(1, Replace), (2, ReplaceAcross)]),
        (0, 1, vec![(1, ReplaceAcross)]),
        (0, 0, vec![]),
        (2, 9, vec![(1, Replace), (2, Replace)]),
    ];
    let broken = [broken(1, 1, 3, Some(30)), broken(2, 1, 3, Some(30))];
    for (here, elsewhere, expected) in cases {
        let expected: Vec<_> = expected.into_iter().map(|(id, it)| (ReplicaId(id), it)).collect();
        let spares = Spares { here, elsewhere };
        assert_eq!(decide(Objective::GroupDowntime, &broken, spares, &WAIT_LIMITS), expected);
    }
    // A replica that already spans domains is formed again after the time
    // limit.
    for (broken_for_s, expected) in [(59, vec![]), (60, vec![(ReplicaId(1), Step::TakeApart)])] {
        let broken_for = Duration::from_secs(broken_for_s);
        let spans = [Broken { may_span: false, broken_for, ..broken[0].clone() }];
        let spares = Spares { here: 0, elsewhere: 1 };
        assert_eq!(decide(Objective::GroupDowntime, &spans, spares, &WAIT_LIMITS), expected);
    }
    // A replica without remaining members has nothing to complete.
    let gone = [Broken { left: 0, lost: 4, ..broken[0].clone() }];
    let spares = Spares { here: 0, elsewhere: 9 };
    assert_eq!(decide(Objective::GroupDowntime, &gone, spares, &WAIT_LIMITS), []);
}
