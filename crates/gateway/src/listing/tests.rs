use super::*;
use crate::testing::{entry, view};

fn at(revision: u64) -> ReaderState {
    ReaderState {
        revision: Revision::new(revision),
        config_revision: Revision::new(1),
        cluster_digest: 0,
        config_version: 0,
    }
}

/// Applies all changes in order and returns the result of the last.
fn apply_all(
    view: &InstancesView,
    revision: u64,
    changes: &[ListChange],
) -> (ApplyOutcome, InstancesView) {
    let mut last = (ApplyOutcome::Diverged, view.clone());
    for change in changes {
        last = apply(&last.1, Revision::new(revision), change, Time::from_millis(5));
        if last.0 != ApplyOutcome::Current {
            break;
        }
    }
    last
}

#[test]
fn copy_follows_the_reader() {
    let before = view(vec![entry("a", "plain"), entry("b", "plain")]);
    let leaving = InstanceEntry { leaving: true, ..entry("a", "plain") };
    let after = view(vec![leaving, entry("c", "plain")]);
    let changes = changes(&before, &after, at(9));
    let counts: Vec<_> = changes.iter().map(|it| (it.changed.len(), it.removed.len())).collect();
    assert_eq!(counts, [(0, 1), (2, 0)]);
    let (applied, copy) = apply_all(&before, 8, &changes);
    assert_eq!(applied, ApplyOutcome::Current);
    assert!(copy.instances[&"a".into()].entry.leaving);
    assert!(!copy.instances.contains_key(&"b".into()));
}

#[test]
fn copy_that_missed_a_change_differs() {
    let before = view(vec![entry("a", "plain")]);
    let missed = view(vec![entry("a", "plain"), entry("b", "plain")]);
    let (applied, _) = apply_all(&before, 8, &changes(&missed, &missed, at(9)));
    assert_eq!(applied, ApplyOutcome::Diverged);
}

#[test]
fn late_change_does_not_restore_an_older_state() {
    let now = view(vec![]);
    let past = view(vec![entry("a", "plain")]);
    let (applied, copy) = apply_all(&now, 8, &changes(&now, &past, at(7)));
    assert_eq!(applied, ApplyOutcome::Stale);
    assert!(copy.instances.is_empty());
}

#[test]
fn loss_and_return_of_a_domain_is_sent_in_parts() {
    let many = |ids: std::ops::Range<usize>| {
        view(ids.map(|idx| entry(&format!("i{idx:03}"), "plain")).collect())
    };
    for (before, after) in [(many(0..60), many(40..60)), (many(40..60), many(0..60))] {
        let changes = changes(&before, &after, at(9));
        assert!(1 < changes.len());
        let largest = postcard::to_allocvec(&changes[0]).unwrap().len();
        assert!(largest < 1_200, "{largest} bytes do not fit a datagram");
        let (applied, copy) = apply_all(&before, 8, &changes);
        assert_eq!((applied, copy.instances.len()), (ApplyOutcome::Current, after.instances.len()));
        let (applied, _) = apply_all(&before, 8, &changes[1..]);
        assert_eq!(
            applied,
            ApplyOutcome::Diverged,
            "a gateway that misses a part must read the list"
        );
    }
}

#[test]
fn too_many_changes_make_each_gateway_read_the_list() {
    let after = view((0..400).map(|idx| entry(&format!("i{idx}"), "plain")).collect());
    let changes = changes(&view(vec![]), &after, at(9));
    assert_eq!((changes.len(), changes[0].changed.len()), (1, 0));
    let (applied, _) = apply_all(&view(vec![]), 8, &changes);
    assert_eq!(applied, ApplyOutcome::Diverged);
}

#[test]
fn lost_changes_are_sent_again_from_the_history() {
    let steps = [1, 2, 3, 4].map(|count| {
        view((0..count).map(|idx| entry(&format!("i{idx}"), "plain")).collect::<Vec<_>>())
    });
    let mut history = ChangeHistory::default();
    for (revision, pair) in steps.windows(2).enumerate() {
        for change in changes(&pair[0], &pair[1], at(revision as u64 + 9)) {
            history.add(digest(&pair[0]), &change);
        }
    }
    let missing: Vec<ListChange> = history.since(digest(&steps[1])).cloned().collect();
    assert_eq!(missing.len(), 2);
    let (applied, copy) = apply_all(&steps[1], 9, &missing);
    assert_eq!((applied, copy.instances.len()), (ApplyOutcome::Current, 4));
    assert_eq!(history.since(digest(&steps[0])).count(), 3, "also from the first list on");
    assert_eq!(history.since(digest(&steps[3])).count(), 0, "nothing is missing");
    assert_eq!(history.since(7).count(), 0, "of an unknown list");
}

#[test]
fn history_starts_over_after_a_read_and_is_bounded() {
    let list = |count: usize| {
        view((0..count).map(|idx| entry(&format!("i{idx}"), "plain")).collect::<Vec<_>>())
    };
    let mut history = ChangeHistory::default();
    let mut add = |before: &InstancesView, after: &InstancesView| {
        for change in changes(before, after, at(9)) {
            history.add(digest(before), &change);
        }
        history.changes.len()
    };
    assert_eq!(add(&list(1), &list(2)), 2);
    assert_eq!(add(&list(5), &list(6)), 2, "the list was read between");
    for count in 6..500 {
        add(&list(count), &list(count + 1));
    }
    assert_eq!(history.changes.len(), MAX_KEPT_CHANGES);
}
