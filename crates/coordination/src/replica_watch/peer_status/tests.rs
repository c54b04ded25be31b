//! Tests of status queries between nodes.

use std::net::{Ipv4Addr, SocketAddr};

use citrongw_state::{
    id::{Epoch, Incarnation},
    replica::{Member, MemberReport, NotRoutable, ReplicaSpec},
};

use super::*;

const FRESHNESS: Duration = Duration::from_secs(2);

fn table(epoch: u64) -> ReplicaTable {
    let spec = ReplicaSpec {
        id: ReplicaId(1),
        epoch: Epoch(epoch),
        deployment: "d".into(),
        model: "m".into(),
        version: "1".into(),
        adapters: Vec::new(),
        domain: "a".into(),
        zone: "z".into(),
        members: vec![Member {
            instance: "i".into(),
            incarnation: Incarnation(7),
            engine_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        }],
    };
    let table = ReplicaTable::default();
    table.replace(vec![spec]);
    table
}

fn at(secs: u64) -> Time {
    Time::from_millis(secs * 1000)
}

fn received(epoch: u64, requested_at: Time) -> ReceivedReport {
    let report = MemberReport {
        replica: Some(ReplicaId(1)),
        epoch: Epoch(epoch),
        incarnation: Incarnation(7),
        ready: true,
        leaving: false,
    };
    ReceivedReport { report, requested_at }
}

#[test]
fn age_is_subtracted_from_the_query_time() {
    // The watcher's clock is 100 s ahead of the requester's.
    let cases = [
        ("fresh report, fast response", 109, 110, 10, 10, Ok(())),
        ("report was old at the watcher", 105, 110, 10, 11, Err(NotRoutable::MemberSilent)),
        ("response was delayed", 109, 110, 10, 13, Err(NotRoutable::MemberSilent)),
    ];
    for (name, watcher_polled_at, watcher_responds_at, queried_at, now, expected) in cases {
        let watcher = table(1);
        let entry = watcher.entry(ReplicaId(1)).unwrap();
        entry.set_report(0, received(1, at(watcher_polled_at)));
        let response = respond(&watcher, &[ReplicaId(1), ReplicaId(2)], at(watcher_responds_at));
        let own = table(1);
        assert!(apply_response(&own.entries(), &response, at(queried_at)).is_empty());
        let res = own.entry(ReplicaId(1)).unwrap().check_routable(at(now), FRESHNESS);
        assert_eq!(res, expected, "{name}");
    }
}

#[test]
fn a_replica_missing_or_with_another_epoch_is_polled_directly() {
    let own = table(2);
    let watcher = table(1);
    watcher.entry(ReplicaId(1)).unwrap().set_report(0, received(1, at(1)));
    let response = respond(&watcher, &[ReplicaId(1)], at(1));
    assert_eq!(apply_response(&own.entries(), &response, at(1)).len(), 1);
    assert_eq!(apply_response(&own.entries(), &[], at(1)).len(), 1);
    let without_reports = respond(&table(2), &[ReplicaId(1)], at(1));
    assert_eq!(apply_response(&own.entries(), &without_reports, at(1)).len(), 1);
}

#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let own = table(1);
    let entry = own.entry(ReplicaId(1)).unwrap();
    entry.set_report(0, received(1, at(9)));
    let watcher = table(1);
    watcher.entry(ReplicaId(1)).unwrap().set_report(0, received(1, at(1)));
    apply_response(&own.entries(), &respond(&watcher, &[ReplicaId(1)], at(5)), at(9));
    assert_eq!(entry.member_reports()[0].unwrap().requested_at, at(9));
}
