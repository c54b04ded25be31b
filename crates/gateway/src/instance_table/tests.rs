use std::net::SocketAddr;

use citrongw_state::id::{Incarnation, StoreEra};

use super::*;

fn entry(id: &str) -> InstanceEntry {
    InstanceEntry {
        id: id.into(),
        incarnation: Incarnation(1),
        service: "engine".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "a".into(),
        slots: 1,
        leaving: false,
        domain: None,
        model: None,
        staged: Vec::new(),
        membership: None,
    }
}

const FIRST: StoreEra = StoreEra(0);
const SECOND: StoreEra = StoreEra(1);

/// Entries as listed in an era, with their revisions.
fn listed(era: StoreEra, entries: &[(&InstanceEntry, u64)]) -> Vec<(InstanceEntry, Revision)> {
    entries
        .iter()
        .map(|(it, rev)| (InstanceEntry::clone(it), Revision::of_era(era, *rev)))
        .collect()
}

fn ids(view: &InstancesView) -> Vec<&str> {
    view.instances.keys().map(InstanceId::as_str).collect()
}

#[test]
fn missing_entry_is_removed_at_once_without_an_outage() {
    let mut table = InstanceTable::default();
    let both = vec![(entry("a"), Revision::new(1)), (entry("b"), Revision::new(2))];
    table.apply(Time::from_millis(1_000), FIRST, both);
    let view = table.apply(Time::from_millis(2_000), FIRST, vec![(entry("a"), Revision::new(1))]);
    assert_eq!(ids(view), ["a"]);
}

#[test]
fn missing_entry_is_kept_for_a_while_after_an_outage() {
    let mut table = InstanceTable::default();
    let both = vec![(entry("a"), Revision::new(1)), (entry("b"), Revision::new(2))];
    table.apply(Time::from_millis(1_000), FIRST, both);
    let only = || vec![(entry("a"), Revision::new(1))];
    assert_eq!(ids(table.apply(Time::from_millis(9_000), FIRST, only())), ["a", "b"]);
    assert_eq!(ids(table.apply(Time::from_millis(10_000), FIRST, only())), ["a", "b"]);
    assert_eq!(ids(table.apply(Time::from_millis(11_600), FIRST, only())), ["a"]);
}

#[test]
fn entry_that_was_listed_after_an_outage_is_removed_at_once() {
    let mut table = InstanceTable::default();
    let all = || [("a", 1), ("b", 2), ("c", 3)].map(|(id, rev)| (entry(id), Revision::new(rev)));
    table.apply(Time::from_millis(1_000), FIRST, all().into());
    let [a, b, _] = all();
    assert_eq!(ids(table.apply(Time::from_millis(9_000), FIRST, vec![a, b])), ["a", "b", "c"]);
    let [a, _, _] = all();
    assert_eq!(ids(table.apply(Time::from_millis(9_500), FIRST, vec![a])), ["a", "c"]);
}

#[test]
fn change_has_the_time_of_the_read_that_found_it() {
    let mut table = InstanceTable::default();
    table.apply(Time::from_millis(1_000), FIRST, vec![(entry("a"), Revision::new(1))]);
    let view = table.apply(Time::from_millis(2_000), FIRST, vec![(entry("a"), Revision::new(1))]);
    assert_eq!(view.instances[&"a".into()].changed_at, Time::from_millis(1_000));
    let view = table.apply(Time::from_millis(3_000), FIRST, vec![(entry("a"), Revision::new(5))]);
    assert_eq!(view.instances[&"a".into()].changed_at, Time::from_millis(3_000));
}

#[test]
fn entry_that_a_restored_store_lacks_is_kept_until_its_instance_could_have_registered_again() {
    let mut table = InstanceTable::default();
    let (a, b) = (entry("a"), entry("b"));
    table.apply(Time::from_millis(1_000), FIRST, listed(FIRST, &[(&a, 8), (&b, 9)]));
    let backup = || listed(SECOND, &[(&a, 3)]);
    assert_eq!(ids(table.apply(Time::from_millis(1_500), SECOND, backup())), ["a", "b"]);
    assert_eq!(ids(table.apply(Time::from_millis(3_900), SECOND, backup())), ["a", "b"]);
    assert_eq!(ids(table.apply(Time::from_millis(4_100), SECOND, backup())), ["a"]);
    assert_eq!(ids(table.apply(Time::from_millis(4_500), SECOND, Vec::new())), [""; 0]);
}

#[test]
fn all_entries_are_kept_if_a_restored_store_lists_none() {
    let mut table = InstanceTable::default();
    table.apply(Time::from_millis(1_000), FIRST, listed(FIRST, &[(&entry("a"), 8)]));
    assert_eq!(ids(table.apply(Time::from_millis(1_500), SECOND, Vec::new())), ["a"]);
}

#[test]
fn instance_that_had_left_before_the_store_was_restored_is_not_listed_by_the_backup() {
    let mut table = InstanceTable::default();
    let (a, b) = (entry("a"), entry("b"));
    table.apply(Time::from_millis(500), FIRST, listed(FIRST, &[(&a, 3), (&b, 4)]));
    table.apply(Time::from_millis(1_000), FIRST, listed(FIRST, &[(&a, 3)]));
    let backup = || listed(SECOND, &[(&a, 3), (&b, 4)]);
    assert_eq!(ids(table.apply(Time::from_millis(1_500), SECOND, backup())), ["a"]);
    assert_eq!(ids(table.apply(Time::from_millis(2_000), SECOND, backup())), ["a"]);
    let again = listed(SECOND, &[(&a, 3), (&b, 9)]);
    assert_eq!(ids(table.apply(Time::from_millis(2_500), SECOND, again)), ["a", "b"]);
}

#[test]
fn new_start_of_an_instance_that_had_left_is_listed_after_the_store_was_restored() {
    let mut table = InstanceTable::default();
    table.apply(Time::from_millis(500), FIRST, listed(FIRST, &[(&entry("a"), 3)]));
    table.apply(Time::from_millis(1_000), FIRST, Vec::new());
    let next = InstanceEntry { incarnation: Incarnation(2), ..entry("a") };
    let view = table.apply(Time::from_millis(1_500), SECOND, listed(SECOND, &[(&next, 3)]));
    assert_eq!(ids(view), ["a"]);
}

#[test]
fn state_that_was_known_before_the_store_was_restored_overrides_the_backup() {
    let mut table = InstanceTable::default();
    let leaving = InstanceEntry { leaving: true, ..entry("a") };
    table.apply(Time::from_millis(1_000), FIRST, listed(FIRST, &[(&leaving, 8)]));
    let backup = || listed(SECOND, &[(&entry("a"), 8)]);
    let is_leaving = |view: &InstancesView| view.instances[&"a".into()].entry.leaving;
    assert!(is_leaving(table.apply(Time::from_millis(1_500), SECOND, backup())));
    assert!(is_leaving(table.apply(Time::from_millis(2_500), SECOND, backup())));
    let view = table.apply(Time::from_millis(4_100), SECOND, backup());
    assert!(!is_leaving(view), "what is written counts after the restore");
}

#[test]
fn entry_written_after_the_store_was_restored_counts_at_once() {
    let mut table = InstanceTable::default();
    let leaving = InstanceEntry { leaving: true, ..entry("a") };
    table.apply(Time::from_millis(1_000), FIRST, listed(FIRST, &[(&entry("a"), 8)]));
    let view = table.apply(Time::from_millis(1_500), SECOND, listed(SECOND, &[(&leaving, 9)]));
    assert!(view.instances[&"a".into()].entry.leaving);
    table.apply(Time::from_millis(2_000), SECOND, listed(SECOND, &[(&entry("b"), 5)]));
    let moved = InstanceEntry { slots: 7, ..entry("b") };
    let view = table.apply(Time::from_millis(2_500), SECOND, listed(SECOND, &[(&moved, 10)]));
    assert_eq!(view.instances[&"b".into()].entry.slots, 7);
}

#[test]
fn follower_that_reads_in_an_era_that_its_reader_knew_keeps_nothing() {
    let mut table = InstanceTable::default();
    let (a, b) = (entry("a"), entry("b"));
    let both = table.apply(Time::from_millis(1_000), FIRST, listed(FIRST, &[(&a, 8), (&b, 9)]));
    let both = both.clone();
    table.replace(SECOND, both);
    let view = table.apply(Time::from_millis(1_500), SECOND, listed(SECOND, &[(&a, 3)]));
    assert_eq!(ids(view), ["a"]);
}
