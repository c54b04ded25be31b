use std::{cell::RefCell, collections::BTreeSet};

use citrongw_state::id::Revision;

use super::*;
use crate::{
    announced_replicas::AnnouncedReplicas,
    instance::InstanceEntry,
    testing::{engine, entry, gateway_config, view},
};

fn set(number: u64, zones: &[&str]) -> EvacuatedZones {
    let zones: BTreeSet<_> = zones.iter().map(|it| AvailabilityZone::from(*it)).collect();
    EvacuatedZones { revision: Revision::new(number), zones }
}

fn fleet() -> Fleet {
    let in_zone = |id, zone: &str| InstanceEntry { zone: zone.into(), ..entry(id, "plain") };
    let view = view(vec![in_zone("x", "a"), in_zone("y", "b")]);
    Fleet::default().next(&gateway_config(engine(Vec::new())), &view, &AnnouncedReplicas::default())
}

/// Guards against a zone that returns without its servers being taken as cold, and against
/// a late message that ends an evacuation.
#[test]
fn zones_return_before_requests_are_sent_there() {
    let (known, fleet) = (KnownEvacuations::default(), fleet());
    let apply = |set, ms| {
        let now = Time::from_millis(ms);
        let returned = RefCell::new(Vec::new());
        let is_new_set = known.apply(set, now, None, &fleet, now, |zone| {
            assert!(known.zones().contains(zone), "no requests yet");
            returned.borrow_mut().push(zone.clone());
        });
        (is_new_set, returned.into_inner())
    };
    assert_eq!(apply(set(1, &[]), 100), (false, vec![]), "no news");
    assert_eq!(apply(set(2, &["a"]), 200), (true, vec![]));
    assert_eq!(apply(set(1, &[]), 300), (false, vec![]), "outdated");
    assert!(known.zones().contains(&"a".into()));
    assert_eq!(apply(set(3, &[]), 400), (true, vec!["a".into()]));
}

/// Guards against each gateway that starts during an evacuation telling all the others.
#[test]
fn first_set_is_no_news() {
    let known = KnownEvacuations::default();
    let is_new_set = known.apply(set(2, &["a"]), Time::START, None, &fleet(), Time::START, |_| {});
    assert!(!is_new_set);
    assert!(known.zones().contains(&"a".into()));
}

#[test]
fn requests_in_flight_are_counted_by_zone() {
    let fleet = fleet();
    let zones: [AvailabilityZone; 2] = ["a".into(), "b".into()];
    let _in_flight = fleet.servers_in(&zones[0]).next().unwrap().stats.begin_request();
    assert_eq!(zones.map(|it| count_requests(&fleet, &it)), [1, 0]);
}
