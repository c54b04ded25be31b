use std::collections::BTreeSet;

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

/// Guards against servers of a zone that returns that get their full share at once: they
/// count as newly started from the end of the evacuation.
#[test]
fn servers_take_requests_since_the_end_of_the_evacuation() {
    let (known, fleet) = (KnownEvacuations::default(), fleet());
    let apply = |set, ms| {
        let now = Time::from_millis(ms);
        known.apply(set, now, None, &fleet, now)
    };
    let since = |zone: &str| {
        let zone = zone.into();
        let mut servers = fleet.servers_in(&zone);
        servers.next().unwrap().stats.taking_since()
    };
    assert!(!apply(set(1, &[]), 100), "no news");
    assert!(apply(set(2, &["a"]), 200));
    assert_eq!((since("a"), since("b")), (None, None));
    assert!(!apply(set(1, &[]), 300), "outdated");
    assert!(known.zones().contains(&"a".into()));
    assert!(apply(set(3, &[]), 400));
    assert_eq!((since("a"), since("b")), (Some(Time::from_millis(400)), None));
}

/// Guards against each gateway that starts during an evacuation telling all the others.
#[test]
fn first_set_is_no_news() {
    let known = KnownEvacuations::default();
    assert!(!known.apply(set(2, &["a"]), Time::START, None, &fleet(), Time::START));
    assert!(known.zones().contains(&"a".into()));
}

#[test]
fn requests_in_flight_are_counted_by_zone() {
    let fleet = fleet();
    let zones: [AvailabilityZone; 2] = ["a".into(), "b".into()];
    let _in_flight = fleet.servers_in(&zones[0]).next().unwrap().stats.begin_request();
    assert_eq!(zones.map(|it| count_requests(&fleet, &it)), [1, 0]);
}
