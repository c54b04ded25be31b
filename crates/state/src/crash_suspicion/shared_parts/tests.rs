use super::*;
use crate::id::Incarnation;

const SHARED: Fingerprint = Fingerprint(1);
const BAD: Fingerprint = Fingerprint(2);

fn death(number: u32) -> ServerIncarnation {
    ServerIncarnation {
        instance: format!("h{number}").as_str().into(),
        incarnation: Incarnation(1),
    }
}

fn own(number: u32) -> Fingerprint {
    Fingerprint(100 + u128::from(number))
}

fn never(_: Fingerprint) -> bool {
    false
}

/// Adds a death with one request and returns the culprit if there is a new one.
fn add(
    suspicions: &mut SharedPartSuspicions,
    number: u32,
    signatures: &[Fingerprint],
) -> Option<Culprit> {
    suspicions.add_death(&death(number), signatures, never, Time::default())
}

#[test]
fn part_at_three_deaths_is_a_culprit_and_what_succeeded_is_not() {
    let mut suspicions = SharedPartSuspicions::default();
    for number in 0..2 {
        assert_eq!(add(&mut suspicions, number, &[SHARED, BAD, own(number)]), None);
    }
    let culprit = add(&mut suspicions, 2, &[SHARED, BAD, own(2)]).unwrap();
    assert!(culprit.matches(&[SHARED, BAD, own(9)], never));
    assert!(!culprit.matches(&[SHARED, own(9)], never), "sound requests share a part");
    assert!(culprit.matches(&[BAD], |it| it == SHARED));
    assert!(!culprit.matches(&[SHARED, BAD], |_| true));

    assert_eq!(suspicions.record_success(&[SHARED, own(9)]), [SHARED]);
    let left: Vec<&Culprit> = suspicions.culprits().collect();
    assert_eq!(left, [&Culprit(BTreeSet::from([BAD]))]);
}

#[test]
fn part_with_more_deaths_than_those_beside_it_is_the_only_culprit() {
    let mut suspicions = SharedPartSuspicions::default();
    add(&mut suspicions, 0, &[SHARED, BAD]);
    add(&mut suspicions, 1, &[own(1), BAD]);
    let culprit = add(&mut suspicions, 2, &[SHARED, BAD]).unwrap();
    assert!(culprit.matches(&[BAD], never));
}

#[test]
fn requests_that_were_only_beside_the_culprit_are_not_rejected() {
    let mut suspicions = SharedPartSuspicions::default();
    for number in 0..3 {
        add(&mut suspicions, number, &[BAD]);
        add(&mut suspicions, number, &[own(number)]);
    }
    assert!(suspicions.culprits().all(|it| it.matches(&[BAD], never)));
    assert_eq!(suspicions.culprits().count(), 1);
}

#[test]
fn sound_part_is_not_blamed_for_deaths_of_a_culprit() {
    let mut suspicions = SharedPartSuspicions::default();
    for number in 0..4 {
        assert_eq!(add(&mut suspicions, number, &[BAD]).is_some(), number == 2);
        add(&mut suspicions, number, &[SHARED]);
    }
    assert!(suspicions.culprits().all(|it| it.matches(&[BAD], never)));
}

#[test]
fn death_that_several_gateways_report_counts_once() {
    let mut suspicions = SharedPartSuspicions::default();
    for _ in 0..3 {
        assert_eq!(add(&mut suspicions, 0, &[BAD]), None);
    }
}

#[test]
fn part_that_succeeded_elsewhere_is_not_a_culprit() {
    let mut suspicions = SharedPartSuspicions::default();
    for number in 0..3 {
        let added =
            suspicions.add_death(&death(number), &[SHARED], |it| it == SHARED, Time::default());
        assert_eq!(added, None);
    }
}

#[test]
fn quarantine_ends() {
    let mut suspicions = SharedPartSuspicions::default();
    for number in 0..3 {
        add(&mut suspicions, number, &[BAD]);
    }
    suspicions.expire(Time(QUARANTINE_TIME) - Duration::from_millis(1));
    assert_eq!(suspicions.culprits().count(), 1);
    suspicions.expire(Time(QUARANTINE_TIME));
    assert!(suspicions.is_empty());
}

#[test]
fn culprit_is_read_as_it_is_written() {
    let culprit = Culprit(BTreeSet::from([SHARED, BAD]));
    assert_eq!(culprit.to_string().parse(), Ok(culprit));
}
