use std::net::SocketAddr;

use citrongw_state::id::Incarnation;

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

fn ids(view: &InstancesView) -> Vec<&str> {
    view.instances.keys().map(InstanceId::as_str).collect()
}

#[test]
fn missing_entry_is_removed_at_once_without_an_outage() {
    let mut table = InstanceTable::default();
    let both = vec![(entry("a"), Revision::new(1)), (entry("b"), Revision::new(2))];
    table.apply(Time::from_millis(1_000), both);
    let view = table.apply(Time::from_millis(2_000), vec![(entry("a"), Revision::new(1))]);
    assert_eq!(ids(view), ["a"]);
}

#[test]
fn missing_entry_is_kept_for_a_while_after_an_outage() {
    let mut table = InstanceTable::default();
    let both = vec![(entry("a"), Revision::new(1)), (entry("b"), Revision::new(2))];
    table.apply(Time::from_millis(1_000), both);
    let only = || vec![(entry("a"), Revision::new(1))];
    assert_eq!(ids(table.apply(Time::from_millis(9_000), only())), ["a", "b"]);
    assert_eq!(ids(table.apply(Time::from_millis(10_000), only())), ["a", "b"]);
    assert_eq!(ids(table.apply(Time::from_millis(11_600), only())), ["a"]);
}

#[test]
fn entry_that_was_listed_after_an_outage_is_removed_at_once() {
    let mut table = InstanceTable::default();
    let all = || [("a", 1), ("b", 2), ("c", 3)].map(|(id, rev)| (entry(id), Revision::new(rev)));
    table.apply(Time::from_millis(1_000), all().into());
    let [a, b, _] = all();
    assert_eq!(ids(table.apply(Time::from_millis(9_000), vec![a, b])), ["a", "b", "c"]);
    let [a, _, _] = all();
    assert_eq!(ids(table.apply(Time::from_millis(9_500), vec![a])), ["a", "c"]);
}

#[test]
fn change_has_the_time_of_the_read_that_found_it() {
    let mut table = InstanceTable::default();
    table.apply(Time::from_millis(1_000), vec![(entry("a"), Revision::new(1))]);
    let view = table.apply(Time::from_millis(2_000), vec![(entry("a"), Revision::new(1))]);
    assert_eq!(view.instances[&"a".into()].changed_at, Time::from_millis(1_000));
    let view = table.apply(Time::from_millis(3_000), vec![(entry("a"), Revision::new(5))]);
    assert_eq!(view.instances[&"a".into()].changed_at, Time::from_millis(3_000));
}
