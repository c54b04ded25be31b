//! Cases of repair.

use super::*;

const PATIENCE: Patience = Patience {
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
    let elsewhere = |members| Patience { wanted_elsewhere: Some(members), ..PATIENCE };
    let cases = [
        (
            "a member may yet return",
            GroupDowntime,
            vec![broken(1, 1, 3, Some(5))],
            1,
            PATIENCE,
            vec![],
        ),
        (
            "waiting costs more",
            GroupDowntime,
            vec![broken(1, 1, 3, Some(20))],
            1,
            PATIENCE,
            vec![(1, Replace)],
        ),
        (
            "gone for good",
            GroupDowntime,
            vec![broken(1, 1, 3, None)],
            1,
            PATIENCE,
            vec![(1, Replace)],
        ),
        ("no spare", GroupDowntime, vec![broken(1, 1, 3, None)], 0, PATIENCE, vec![]),
        (
            "the small one returns as much for less",
            GroupDowntime,
            vec![broken(1, 2, 6, None), broken(2, 1, 1, None)],
            2,
            PATIENCE,
            vec![(2, Replace)],
        ),
        (
            "the large one returns more accelerators",
            StrandedAccelerators,
            vec![broken(1, 2, 6, None), broken(2, 1, 1, None)],
            2,
            PATIENCE,
            vec![(1, Replace)],
        ),
        (
            "one broken replica completes another",
            GroupDowntime,
            vec![broken(1, 1, 3, None), broken(2, 1, 3, None)],
            0,
            PATIENCE,
            vec![(2, TakeApart)],
        ),
        (
            "kept together while its member may return",
            GroupDowntime,
            vec![broken(1, 1, 3, Some(30)), broken(2, 1, 3, Some(30))],
            0,
            PATIENCE,
            vec![],
        ),
        (
            "its members make up a replica missing elsewhere",
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
        assert_eq!(decide(Objective::GroupDowntime, &broken, spares, &PATIENCE), expected);
    }
    // One that spans domains already forms anew once it was kept for long.
    for (broken_for_s, expected) in [(59, vec![]), (60, vec![(ReplicaId(1), Step::TakeApart)])] {
        let broken_for = Duration::from_secs(broken_for_s);
        let spans = [Broken { may_span: false, broken_for, ..broken[0].clone() }];
        let spares = Spares { here: 0, elsewhere: 1 };
        assert_eq!(decide(Objective::GroupDowntime, &spans, spares, &PATIENCE), expected);
    }
    // Nothing is left of it that would be worth keeping.
    let gone = [Broken { left: 0, lost: 4, ..broken[0].clone() }];
    let spares = Spares { here: 0, elsewhere: 9 };
    assert_eq!(decide(Objective::GroupDowntime, &gone, spares, &PATIENCE), []);
}
