//! Tests of repair decisions.

use super::*;

const WAIT_LIMITS: WaitLimits = WaitLimits {
    load_time: Duration::from_secs(20),
    max_wait: Duration::from_secs(60),
    disband_after: Duration::from_secs(60),
    needed_elsewhere: None,
};

fn degraded(replica: u64, lost: u32, remaining: u32, since_loss_s: Option<u64>) -> DegradedReplica {
    DegradedReplica {
        replica: ReplicaId(replica),
        lost,
        remaining,
        accelerators: (lost + remaining) * 8,
        since_loss: since_loss_s.map(Duration::from_secs),
        degraded_for: Duration::from_secs(since_loss_s.unwrap_or(600)),
        may_release_members: true,
        may_span_domains: true,
    }
}

#[test]
fn replaces_waits_or_disbands() {
    use Objective::{GroupDowntime, StrandedAccelerators};
    use RepairAction::{Disband, Replace};
    let needed_elsewhere = |members| WaitLimits { needed_elsewhere: Some(members), ..WAIT_LIMITS };
    let cases = [
        (
            "the member may still return",
            GroupDowntime,
            vec![degraded(1, 1, 3, Some(5))],
            1,
            WAIT_LIMITS,
            vec![],
        ),
        (
            "waiting costs more",
            GroupDowntime,
            vec![degraded(1, 1, 3, Some(20))],
            1,
            WAIT_LIMITS,
            vec![(1, Replace)],
        ),
        (
            "the member cannot return",
            GroupDowntime,
            vec![degraded(1, 1, 3, None)],
            1,
            WAIT_LIMITS,
            vec![(1, Replace)],
        ),
        ("no spare", GroupDowntime, vec![degraded(1, 1, 3, None)], 0, WAIT_LIMITS, vec![]),
        (
            "the small replica has the same value for fewer spares",
            GroupDowntime,
            vec![degraded(1, 2, 6, None), degraded(2, 1, 1, None)],
            2,
            WAIT_LIMITS,
            vec![(2, Replace)],
        ),
        (
            "the large replica has more accelerators",
            StrandedAccelerators,
            vec![degraded(1, 2, 6, None), degraded(2, 1, 1, None)],
            2,
            WAIT_LIMITS,
            vec![(1, Replace)],
        ),
        (
            "one degraded replica completes another",
            GroupDowntime,
            vec![degraded(1, 1, 3, None), degraded(2, 1, 3, None)],
            0,
            WAIT_LIMITS,
            vec![(2, Disband)],
        ),
        (
            "keeps its members while the lost one may return",
            GroupDowntime,
            vec![degraded(1, 1, 3, Some(30)), degraded(2, 1, 3, Some(30))],
            0,
            WAIT_LIMITS,
            vec![],
        ),
        (
            "its members form a replica missing elsewhere",
            StrandedAccelerators,
            vec![degraded(1, 1, 3, None)],
            0,
            needed_elsewhere(2),
            vec![(1, Disband)],
        ),
    ];
    for (name, objective, degraded, spares, limits, expected) in cases {
        let expected: Vec<_> = expected.into_iter().map(|(id, it)| (ReplicaId(id), it)).collect();
        assert_eq!(
            decide(
                objective,
                &degraded,
                Spares { in_domain: spares, in_other_domains: 0 },
                &limits
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
    let degraded = [degraded(1, 1, 3, Some(30)), degraded(2, 1, 3, Some(30))];
    for (in_domain, in_other_domains, expected) in cases {
        let expected: Vec<_> = expected.into_iter().map(|(id, it)| (ReplicaId(id), it)).collect();
        let spares = Spares { in_domain, in_other_domains };
        assert_eq!(decide(Objective::GroupDowntime, &degraded, spares, &WAIT_LIMITS), expected);
    }
    // A replica that already spans domains is formed again after the time
    // limit.
    for (degraded_for_s, expected) in
        [(59, vec![]), (60, vec![(ReplicaId(1), RepairAction::Disband)])]
    {
        let degraded_for = Duration::from_secs(degraded_for_s);
        let spanning =
            [DegradedReplica { may_span_domains: false, degraded_for, ..degraded[0].clone() }];
        let spares = Spares { in_domain: 0, in_other_domains: 1 };
        assert_eq!(decide(Objective::GroupDowntime, &spanning, spares, &WAIT_LIMITS), expected);
    }
    // A replica without remaining members has nothing to complete.
    let memberless = [DegradedReplica { remaining: 0, lost: 4, ..degraded[0].clone() }];
    let spares = Spares { in_domain: 0, in_other_domains: 9 };
    assert_eq!(decide(Objective::GroupDowntime, &memberless, spares, &WAIT_LIMITS), []);
}
