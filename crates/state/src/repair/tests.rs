//! Cases of repair.

use super::*;

const PATIENCE: WaitLimits = WaitLimits {
    load_time: Duration::from_secs(20),
    max_wait: Duration::from_secs(60),
    disband_after: Duration::from_secs(60),
    needed_elsewhere: None,
};

fn broken(replica: u64, lost: u32, left: u32, waited_s: Option<u64>) -> DegradedReplica {
    DegradedReplica {
        replica: ReplicaId(replica),
        lost,
        remaining: left,
        accelerators: (lost + left) * 8,
        since_loss: waited_s.map(Duration::from_secs),
        degraded_for: Duration::from_secs(waited_s.unwrap_or(600)),
        may_release_members: true,
        may_span_domains: true,
    }
}

#[test]
fn spares_wait_and_taking_apart() {
    use Objective::{GroupDowntime, StrandedAccelerators};
    use RepairAction::{Disband, Replace};
    let elsewhere = |members| WaitLimits { needed_elsewhere: Some(members), ..PATIENCE };
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
            vec![(2, Disband)],
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
            vec![(1, Disband)],
        ),
    ];
    for (name, objective, broken, spares, patience, expected) in cases {
        let expected: Vec<_> = expected.into_iter().map(|(id, it)| (ReplicaId(id), it)).collect();
        assert_eq!(
            decide(
                objective,
                &broken,
                Spares { in_domain: spares, in_other_domains: 0 },
                &patience
            ),
            expected,
            "{name}"
        );
    }
}

#[test]
fn spares_of_other_domains_come_second() {
    use RepairAction::{Replace, ReplaceAcrossDomains};
    let cases = [
        (1, 1, vec![(1, Replace), (2, ReplaceAcrossDomains)]),
        (0, 1, vec![(1, ReplaceAcrossDomains)]),
        (0, 0, vec![]),
        (2, 9, vec![(1, Replace), (2, Replace)]),
    ];
    let broken = [broken(1, 1, 3, Some(30)), broken(2, 1, 3, Some(30))];
    for (here, elsewhere, expected) in cases {
        let expected: Vec<_> = expected.into_iter().map(|(id, it)| (ReplicaId(id), it)).collect();
        let spares = Spares { in_domain: here, in_other_domains: elsewhere };
        assert_eq!(decide(Objective::GroupDowntime, &broken, spares, &PATIENCE), expected);
    }
    // One that spans domains already forms anew once it was kept for long.
    for (broken_for_s, expected) in
        [(59, vec![]), (60, vec![(ReplicaId(1), RepairAction::Disband)])]
    {
        let broken_for = Duration::from_secs(broken_for_s);
        let spans = [DegradedReplica {
            may_span_domains: false,
            degraded_for: broken_for,
            ..broken[0].clone()
        }];
        let spares = Spares { in_domain: 0, in_other_domains: 1 };
        assert_eq!(decide(Objective::GroupDowntime, &spans, spares, &PATIENCE), expected);
    }
    // Nothing is left of it that would be worth keeping.
    let gone = [DegradedReplica { remaining: 0, lost: 4, ..broken[0].clone() }];
    let spares = Spares { in_domain: 0, in_other_domains: 9 };
    assert_eq!(decide(Objective::GroupDowntime, &gone, spares, &PATIENCE), []);
}
