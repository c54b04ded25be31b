//! Cases of ejection.

use super::*;

fn group(times_ms: &[u64]) -> Vec<(ReplicaId, Observation)> {
    let seen = |ms| Observation { between_tokens: Duration::from_millis(ms), samples: 10 };
    times_ms.iter().zip(1..).map(|(&ms, id)| (ReplicaId(id), seen(ms))).collect()
}

#[test]
fn ejects_tries_and_returns() {
    let mut detector = Detector::default();
    let at = Time::from_millis;
    assert_eq!(detector.tick(&group(&[30, 30, 31, 40, 29, 30]), at(0)), []);
    let slow = group(&[30, 30, 31, 90, 29, 30]);
    let changes = detector.tick(&slow, at(1000));
    assert!(matches!(changes[..], [(ReplicaId(4), EjectionChange::Eject { .. })]), "{changes:?}");
    assert_eq!(detector.tick(&slow, at(2000)), []);
    let mut unseen = slow.clone();
    unseen[3].1.samples = 0;
    assert_eq!(detector.tick(&unseen, at(11_000)), [(ReplicaId(4), EjectionChange::Try)]);
    assert!(matches!(detector.tick(&slow, at(12_000))[..], [(_, EjectionChange::Eject { .. })]));
    assert_eq!(detector.tick(&unseen, at(22_500)), []);
    assert_eq!(detector.tick(&unseen, at(32_000)), [(ReplicaId(4), EjectionChange::Try)]);
    let fast = group(&[30, 30, 31, 30, 29, 30]);
    assert_eq!(detector.tick(&fast, at(33_000)), [(ReplicaId(4), EjectionChange::Return)]);
}

#[test]
fn ejects_no_more_than_the_cap() {
    let mut detector = Detector::default();
    let changes = detector.tick(&group(&[30, 30, 30, 30, 30, 30, 90, 91, 92, 93]), Time::START);
    let ejected: Vec<u64> = changes.iter().map(|(id, _)| id.0).collect();
    assert_eq!(ejected, [10, 9]);
}
