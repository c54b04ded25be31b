//! Cases of blame.

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
fn shared_blame_is_told_apart_by_the_intersection() {
    let mut known = CrashSuspicions::default();
    for fingerprint in 1..=10 {
        known.add_evidence(evidence(fingerprint, 1), Time::START);
        assert!(matches!(verdict(&known, fingerprint, Time::START), Verdict::Wait { .. }));
    }
    // All have the same home left: the first takes it, the others wait longer.
    assert!(matches!(verdict(&known, 1, SETTLED), Verdict::Isolate { deaths: 1, .. }));
    assert!(matches!(verdict(&known, 2, SETTLED), Verdict::Wait { .. }));
    let second = SETTLED + PROPAGATION_TIME;
    let isolated: BTreeSet<Slot> = (1..=10)
        .map(|fingerprint| match verdict(&known, fingerprint, second) {
            Verdict::Isolate { slot, deaths: 1 } => slot,
            other => panic!("{fingerprint}: {other:?}"),
        })
        .collect();
    assert_eq!(isolated.len(), 10, "no two on one replica");
    known.add_evidence(evidence(7, 2), second);
    known.add_evidence(evidence(99, 2), second);
    assert!(matches!(verdict(&known, 7, second), Verdict::Wait { .. }));
    let later = second + PROPAGATION_TIME;
    for fingerprint in [1, 2, 3, 4, 5, 6, 8, 9, 10, 99] {
        assert_eq!(verdict(&known, fingerprint, later), Verdict::NotSuspected, "{fingerprint}");
    }
    assert_eq!(verdict(&known, 7, later), Verdict::Refuse { deaths: 2 });
}

#[test]
fn nobody_is_refused_while_two_fit() {
    let mut known = CrashSuspicions::default();
    for fingerprint in [1, 2] {
        for replica in [1, 2] {
            known.add_evidence(evidence(fingerprint, replica), Time::START);
        }
    }
    assert!(matches!(verdict(&known, 1, SETTLED), Verdict::Isolate { deaths: 2, .. }));
    known.record_success(Fingerprint(2), SETTLED);
    assert_eq!(verdict(&known, 1, SETTLED), Verdict::Refuse { deaths: 2 });
    assert_eq!(verdict(&known, 2, SETTLED), Verdict::NotSuspected);
}

#[test]
fn success_protects_for_a_while() {
    let mut known = CrashSuspicions::default();
    known.record_success(Fingerprint(1), Time::START);
    assert!(!known.add_evidence(evidence(1, 1), Time::START));
    assert_eq!(verdict(&known, 1, SETTLED), Verdict::NotSuspected);
    assert!(known.add_evidence(evidence(1, 1), Time::START + CLEARED));
    assert_ne!(verdict(&known, 1, Time::START + CLEARED), Verdict::NotSuspected);
    let completions = RecentSuccesses::default();
    completions.add(Fingerprint(1), SETTLED);
    assert!(completions.is_recent(Fingerprint(1), SETTLED + CLEARED / 2));
    assert!(!completions.is_recent(Fingerprint(1), SETTLED + CLEARED));
    assert!(!completions.is_recent(Fingerprint(2), SETTLED));
}

#[test]
fn death_is_new_until_its_news_has_settled() {
    let mut known = CrashSuspicions::default();
    known.add_death(ReplicaId(0), Time::START);
    assert_eq!(known.newly_dead(ReplicaId(0), Time::START), Some(SETTLED));
    assert_eq!(known.newly_dead(ReplicaId(0), SETTLED), None);
    known.add_death(ReplicaId(0), SETTLED);
    assert_eq!(known.newly_dead(ReplicaId(0), SETTLED), Some(SETTLED + PROPAGATION_TIME));
}

#[test]
fn conclusion_outlasts_a_later_death_of_a_freed_suspect() {
    let mut known = CrashSuspicions::default();
    for fingerprint in [7, 8] {
        known.add_evidence(evidence(fingerprint, 1), Time::START);
    }
    known.add_evidence(evidence(7, 2), Time::START);
    let later = SETTLED + PROPAGATION_TIME;
    known.add_evidence(evidence(8, 3), later);
    assert_eq!(verdict(&known, 7, later), Verdict::Refuse { deaths: 2 });
    let settled = later + PROPAGATION_TIME + PROPAGATION_TIME;
    assert!(matches!(verdict(&known, 8, settled), Verdict::Isolate { deaths: 1, .. }));
}

#[test]
fn refused_request_outlasts_other_suspects() {
    let mut known = CrashSuspicions::default();
    for replica in [1, 2] {
        known.add_evidence(evidence(7, replica), Time::START);
    }
    known.add_evidence(evidence(8, 1), Time::START);
    known.expire(SETTLED);
    known.expire(Time::START + KEEP);
    assert_eq!(known.evidence().len(), 2);
    assert!(!known.is_suspected(Fingerprint(8)));
    assert!(known.is_suspected(Fingerprint(7)));
}
