//! Cases of what is told.

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

fn heard(epoch: u64, asked_at: Time) -> ReceivedReport {
    let report = MemberReport {
        replica: Some(ReplicaId(1)),
        epoch: Epoch(epoch),
        incarnation: Incarnation(7),
        ready: true,
        leaving: false,
    };
    ReceivedReport { report, requested_at: asked_at }
}

#[test]
fn age_counts_back_from_the_question() {
    // The watcher's clock reads 100 s more than the asker's.
    let cases = [
        ("fresh and told fast", 109, 110, 10, 10, Ok(())),
        ("told by a node that was slow to ask", 105, 110, 10, 11, Err(NotRoutable::MemberSilent)),
        ("answer under way for long", 109, 110, 10, 13, Err(NotRoutable::MemberSilent)),
    ];
    for (name, watcher_asked, watcher_answers, asked, now, expected) in cases {
        let watcher = table(1);
        let entry = watcher.entry(ReplicaId(1)).unwrap();
        entry.set_report(0, heard(1, at(watcher_asked)));
        let answer = respond(&watcher, &[ReplicaId(1), ReplicaId(2)], at(watcher_answers));
        let own = table(1);
        assert!(apply_response(&own.entries(), &answer, at(asked)).is_empty());
        let res = own.entry(ReplicaId(1)).unwrap().check_routable(at(now), FRESHNESS);
        assert_eq!(res, expected, "{name}");
    }
}

#[test]
fn a_replica_told_under_another_epoch_or_not_at_all_is_asked_for_here() {
    let own = table(2);
    let watcher = table(1);
    watcher.entry(ReplicaId(1)).unwrap().set_report(0, heard(1, at(1)));
    let told = respond(&watcher, &[ReplicaId(1)], at(1));
    assert_eq!(apply_response(&own.entries(), &told, at(1)).len(), 1);
    assert_eq!(apply_response(&own.entries(), &[], at(1)).len(), 1);
    let silent = respond(&table(2), &[ReplicaId(1)], at(1));
    assert_eq!(apply_response(&own.entries(), &silent, at(1)).len(), 1);
}

#[test]
fn an_older_report_takes_nothing_back() {
    let own = table(1);
    let entry = own.entry(ReplicaId(1)).unwrap();
    entry.set_report(0, heard(1, at(9)));
    let watcher = table(1);
    watcher.entry(ReplicaId(1)).unwrap().set_report(0, heard(1, at(1)));
    apply_response(&own.entries(), &respond(&watcher, &[ReplicaId(1)], at(5)), at(9));
    assert_eq!(entry.member_reports()[0].unwrap().requested_at, at(9));
}
