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
        assert_eq!(decide(objective, &broken, spares, &patience), expected, "{name}");
    }
}
