use super::*;
use crate::testing::{entry, view};

const CONFIG: Revision = Revision(1);

#[test]
fn copy_follows_the_reader() {
    let before = view(vec![entry("a", "plain"), entry("b", "plain")]);
    let leaving = InstanceEntry { leaving: true, ..entry("a", "plain") };
    let after = view(vec![leaving, entry("c", "plain")]);
    let change = change(&before, &after, Revision(9), CONFIG);
    assert_eq!((change.changed.len(), change.removed.len()), (2, 1));
    let (applied, copy) = apply(&before, Revision(8), &change, Time::from_millis(5));
    assert_eq!(applied, Applied::Current);
    assert!(copy.instances[&"a".into()].entry.leaving);
    assert!(!copy.instances.contains_key(&"b".into()));
}

#[test]
fn copy_that_missed_a_change_is_told_so() {
    let before = view(vec![entry("a", "plain")]);
    let missed = view(vec![entry("a", "plain"), entry("b", "plain")]);
    let change = change(&missed, &missed, Revision(9), CONFIG);
    let (applied, _) = apply(&before, Revision(8), &change, Time::START);
    assert_eq!(applied, Applied::Differs);
}

#[test]
fn late_change_does_not_bring_the_past_back() {
    let now = view(vec![]);
    let past = view(vec![entry("a", "plain")]);
    let change = change(&now, &past, Revision(7), CONFIG);
    let (applied, copy) = apply(&now, Revision(8), &change, Time::START);
    assert_eq!(applied, Applied::Old);
    assert!(copy.instances.is_empty());
}

#[test]
fn many_changes_are_left_to_each_gateway_to_read() {
    let after = view((0..50).map(|idx| entry(&format!("i{idx}"), "plain")).collect());
    let change = change(&view(vec![]), &after, Revision(9), CONFIG);
    assert!(change.changed.is_empty());
    let (applied, _) = apply(&view(vec![]), Revision(8), &change, Time::START);
    assert_eq!(applied, Applied::Differs);
}
