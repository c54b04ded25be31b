//! Cases of the replica table.

use std::net::{Ipv4Addr, SocketAddr};

use citrongw_state::{
    id::Epoch,
    replica::{Member, MemberReport},
};

use super::*;

const FRESHNESS: Duration = Duration::from_secs(2);

fn spec(id: u64, epoch: u64) -> ReplicaSpec {
    ReplicaSpec {
        id: ReplicaId(id),
        epoch: Epoch(epoch),
        deployment: "d".into(),
        model: "m".into(),
        version: "1".into(),
        adapters: Vec::new(),
        domain: "a".into(),
        zone: "z".into(),
        members: vec![Member {
            instance: format!("i{id}").into(),
            incarnation: Incarnation(7),
            engine_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        }],
    }
}

fn hear(table: &ReplicaTable, id: u64, epoch: u64) {
    let report = MemberReport {
        replica: Some(ReplicaId(id)),
        epoch: Epoch(epoch),
        incarnation: Incarnation(7),
        ready: true,
        leaving: false,
    };
    let entry = table.entry(ReplicaId(id)).unwrap();
    entry.set_report(0, ReceivedReport { report, requested_at: Time::START });
}

fn check(table: &ReplicaTable, id: u64) -> Result<(), NotRoutable> {
    table.entry(ReplicaId(id)).unwrap().check_routable(Time::START, FRESHNESS)
}

fn leaving(id: u64, incarnation: u64) -> LeavingInstance {
    LeavingInstance { instance: format!("i{id}").into(), incarnation: Incarnation(incarnation) }
}

#[test]
fn what_is_known_stays_with_an_unchanged_replica_only() {
    let table = ReplicaTable::default();
    table.replace(vec![spec(1, 1), spec(2, 1)]);
    hear(&table, 1, 1);
    hear(&table, 2, 1);
    table.replace(vec![spec(1, 1), spec(2, 2)]);
    assert_eq!(check(&table, 1), Ok(()));
    assert_eq!(check(&table, 2), Err(NotRoutable::MemberSilent));
    assert!(table.entry(ReplicaId(3)).is_none());
}

#[test]
fn a_leaving_member_stops_new_work_at_once_for_its_start_alone() {
    let cases = [(leaving(1, 7), true), (leaving(1, 6), false), (leaving(2, 7), false)];
    for (told, stops) in cases {
        let table = ReplicaTable::default();
        table.replace(vec![spec(1, 1)]);
        hear(&table, 1, 1);
        table.mark_leaving(&told);
        assert_eq!(check(&table, 1).is_err(), stops, "{told:?}");
        // A record that knows nothing of it yet undoes nothing.
        table.set_leaving([].into_iter(), [].into_iter());
        table.replace(vec![spec(1, 1)]);
        assert_eq!(check(&table, 1).is_err(), stops, "{told:?}");
    }
}

#[test]
fn an_operator_returns_an_instance_through_the_record() {
    let table = ReplicaTable::default();
    table.replace(vec![spec(1, 1)]);
    hear(&table, 1, 1);
    table.mark_leaving(&leaving(1, 7));
    let instance = InstanceId::from("i1");
    table.set_leaving([].into_iter(), [(&instance, Incarnation(7))].into_iter());
    assert_eq!(check(&table, 1), Ok(()));
}
