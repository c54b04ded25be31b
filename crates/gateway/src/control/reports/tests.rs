use citrongw_state::id::{Epoch, Incarnation, ReplicaId};

use super::*;
use crate::{
    control::plan::{PlannedMember, PlannedReplica},
    instance::Membership,
    testing::{member, view},
};

const FIRST: Incarnation = Incarnation(1);

fn domain() -> DomainKey {
    DomainKey { service: "engine".into(), domain: "d".into() }
}

fn report(incarnation: u64, membership: Option<Membership>) -> InstanceReport {
    InstanceReport {
        incarnation: Some(Incarnation(incarnation)),
        staged: vec!["m".into()],
        membership,
    }
}

#[test]
fn instance_is_unresponsive_after_two_failed_polls() {
    let (view, id) = (view(vec![member("a", 7, 1, 0)]), "a".into());
    let mut reports = Reports::default();
    let liveness = |reports: &mut Reports| reports.hosts(&view, &domain(), None)[&id].liveness;
    reports.add(&id, FIRST, Time::from_millis(100), Err(InstanceError::NoResponse));
    assert_eq!(liveness(&mut reports), Liveness::Alive);
    reports.add(&id, FIRST, Time::from_millis(500), Err(InstanceError::NoResponse));
    assert_eq!(liveness(&mut reports), Liveness::Unresponsive { since: Time::from_millis(100) });
    reports.add(&id, FIRST, Time::from_millis(900), Err(InstanceError::NotReached));
    assert_eq!(liveness(&mut reports), Liveness::Refusing);
    reports.reset_failures();
    assert_eq!(liveness(&mut reports), Liveness::Alive);
}

#[test]
fn newer_of_list_entry_and_report_is_used() {
    let id = "a".into();
    let mut reports = Reports::default();
    let at = Time::from_millis(1_000);
    reports.add(&id, FIRST, at, Ok(report(1, None)));
    let old = view(vec![member("a", 7, 1, 0)]);
    assert_eq!(reports.hosts(&old, &domain(), None)[&id].membership, None);
    let mut new = old;
    new.instances.get_mut(&id).unwrap().changed_at = at + LIST_DELAY;
    assert_eq!(
        reports.hosts(&new, &domain(), None)[&id].membership,
        None,
        "the entry may be older"
    );
    new.instances.get_mut(&id).unwrap().changed_at = at + LIST_DELAY * 2;
    assert!(reports.hosts(&new, &domain(), None)[&id].membership.is_some());
}

#[test]
fn report_of_another_incarnation_does_not_count() {
    let (view, id) = (view(vec![member("a", 7, 1, 0)]), "a".into());
    let mut reports = Reports::default();
    reports.add(&id, FIRST, Time::from_millis(100), Ok(report(2, None)));
    let liveness = reports.hosts(&view, &domain(), None)[&id].liveness;
    assert!(matches!(liveness, Liveness::Unresponsive { .. }));
}

#[test]
fn failed_poll_is_repeated_at_once() {
    let (view, id) = (view(vec![member("a", 7, 1, 0)]), "a".into());
    let mut reports = Reports::default();
    let hosts = reports.hosts(&view, &domain(), None);
    assert_eq!(reports.due(&hosts, None, Time::START).len(), 1);
    assert!(reports.due(&hosts, None, Time::START).is_empty(), "one poll at a time");
    reports.add(&id, FIRST, Time::START, Err(InstanceError::NoResponse));
    assert_eq!(reports.due(&hosts, None, Time::from_millis(1)).len(), 1);
}

#[test]
fn member_that_is_no_longer_listed_is_kept() {
    let id = "a".into();
    let mut reports = Reports::default();
    let plan = DomainPlan {
        replicas: vec![PlannedReplica {
            id: ReplicaId(7),
            epoch: Epoch(1),
            model: "m".into(),
            members: vec![PlannedMember { instance: "a".into(), incarnation: FIRST }],
        }],
        ..DomainPlan::default()
    };
    let both = view(vec![member("a", 7, 1, 0), member("b", 8, 1, 0)]);
    let hosts = reports.hosts(&both, &domain(), Some(&plan));
    assert!(hosts[&id].is_listed);
    let hosts = reports.hosts(&view(Vec::new()), &domain(), Some(&plan));
    assert_eq!(hosts.len(), 1, "only members are still polled");
    assert!(!hosts[&id].is_listed && !hosts[&id].leaving);
    assert!(reports.hosts(&view(Vec::new()), &domain(), None).is_empty());
}
