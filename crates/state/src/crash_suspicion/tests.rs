//! Tests of the containment of crashing requests.

use super::*;

fn group(len: u32) -> Group {
    Group::of((0..len).map(|idx| (ReplicaId(u64::from(idx)), Slot(idx))))
}

fn evidence(fingerprint: u128, replica: u64) -> Evidence {
    let death = DeathId { replica: ReplicaId(replica), incarnation: Incarnation(1) };
    Evidence { fingerprint: Fingerprint(fingerprint), death }
}

fn verdict(suspicions: &CrashSuspicions, fingerprint: u128, now: Time) -> Verdict {
    suspicions.verdict(Fingerprint(fingerprint), &group(50), now, |_| Health::Usable)
}

const SETTLED: Time = Time(PROPAGATION_TIME);

#[test]
fn culprit_is_identified_by_the_intersection_of_deaths() {
    let mut suspicions = CrashSuspicions::default();
    for fingerprint in 1..=10 {
        suspicions.add_evidence(evidence(fingerprint, 1), Time::START);
        assert!(matches!(verdict(&suspicions, fingerprint, Time::START), Verdict::Wait { .. }));
    }
    // All have the same remaining home: the first takes it, the others wait.
    assert!(matches!(verdict(&suspicions, 1, SETTLED), Verdict::Isolate { deaths: 1, .. }));
    assert!(matches!(verdict(&suspicions, 2, SETTLED), Verdict::Wait { .. }));
    let second = SETTLED + PROPAGATION_TIME;
    let isolated: BTreeSet<Slot> = (1..=10)
        .map(|fingerprint| match verdict(&suspicions, fingerprint, second) {
            Verdict::Isolate { slot, deaths: 1 } => slot,
            other => panic!("{fingerprint}: {other:?}"),
        })
        .collect();
    assert_eq!(isolated.len(), 10, "no two on one replica");
    suspicions.add_evidence(evidence(7, 2), second);
    suspicions.add_evidence(evidence(99, 2), second);
    assert!(matches!(verdict(&suspicions, 7, second), Verdict::Wait { .. }));
    let later = second + PROPAGATION_TIME;
    for fingerprint in [1, 2, 3, 4, 5, 6, 8, 9, 10, 99] {
        assert_eq!(
            verdict(&suspicions, fingerprint, later),
            Verdict::NotSuspected,
            "{fingerprint}"
        );
    }
    assert_eq!(verdict(&suspicions, 7, later), Verdict::Reject { deaths: 2 });
}

#[test]
fn no_request_is_rejected_while_two_are_equally_suspected() {
    let mut suspicions = CrashSuspicions::default();
    for fingerprint in [1, 2] {
        for replica in [1, 2] {
            suspicions.add_evidence(evidence(fingerprint, replica), Time::START);
        }
    }
    assert!(matches!(verdict(&suspicions, 1, SETTLED), Verdict::Isolate { deaths: 2, .. }));
    suspicions.record_success(Fingerprint(2), SETTLED);
    assert_eq!(verdict(&suspicions, 1, SETTLED), Verdict::Reject { deaths: 2 });
    assert_eq!(verdict(&suspicions, 2, SETTLED), Verdict::NotSuspected);
}

#[test]
fn success_protects_for_a_while() {
    let mut suspicions = CrashSuspicions::default();
    suspicions.record_success(Fingerprint(1), Time::START);
    assert!(!suspicions.add_evidence(evidence(1, 1), Time::START));
    assert_eq!(verdict(&suspicions, 1, SETTLED), Verdict::NotSuspected);
    assert!(suspicions.add_evidence(evidence(1, 1), Time::START + SUCCESS_PROTECTION));
    assert_ne!(verdict(&suspicions, 1, Time::START + SUCCESS_PROTECTION), Verdict::NotSuspected);
    let successes = RecentSuccesses::default();
    successes.add(Fingerprint(1), SETTLED);
    assert!(successes.is_recent(Fingerprint(1), SETTLED + SUCCESS_PROTECTION / 2));
    assert!(!successes.is_recent(Fingerprint(1), SETTLED + SUCCESS_PROTECTION));
    assert!(!successes.is_recent(Fingerprint(2), SETTLED));
}

#[test]
fn death_is_new_until_it_has_propagated() {
    let mut suspicions = CrashSuspicions::default();
    suspicions.add_death(ReplicaId(0), Time::START);
    assert_eq!(suspicions.newly_dead(ReplicaId(0), Time::START), Some(SETTLED));
    assert_eq!(suspicions.newly_dead(ReplicaId(0), SETTLED), None);
    suspicions.add_death(ReplicaId(0), SETTLED);
    assert_eq!(suspicions.newly_dead(ReplicaId(0), SETTLED), Some(SETTLED + PROPAGATION_TIME));
}

#[test]
fn rejection_outlasts_a_later_death_of_a_cleared_suspect() {
    let mut suspicions = CrashSuspicions::default();
    for fingerprint in [7, 8] {
        suspicions.add_evidence(evidence(fingerprint, 1), Time::START);
    }
    suspicions.add_evidence(evidence(7, 2), Time::START);
    let later = SETTLED + PROPAGATION_TIME;
    suspicions.add_evidence(evidence(8, 3), later);
    assert_eq!(verdict(&suspicions, 7, later), Verdict::Reject { deaths: 2 });
    let settled = later + PROPAGATION_TIME + PROPAGATION_TIME;
    assert!(matches!(verdict(&suspicions, 8, settled), Verdict::Isolate { deaths: 1, .. }));
}

#[test]
fn rejected_request_outlasts_other_suspects() {
    let mut suspicions = CrashSuspicions::default();
    for replica in [1, 2] {
        suspicions.add_evidence(evidence(7, replica), Time::START);
    }
    suspicions.add_evidence(evidence(8, 1), Time::START);
    suspicions.expire(SETTLED);
    suspicions.expire(Time::START + RETENTION);
    assert_eq!(suspicions.evidence().len(), 2);
    assert!(!suspicions.is_suspected(Fingerprint(8)));
    assert!(suspicions.is_suspected(Fingerprint(7)));
}
