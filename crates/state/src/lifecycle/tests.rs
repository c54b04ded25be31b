//! Cases of the life cycle.

use std::net::{Ipv4Addr, SocketAddr};

use super::*;
use crate::{
    id::{Epoch, Incarnation, ReplicaId},
    replica::{Member, MemberReport},
};

const FRESHNESS: Duration = Duration::from_secs(2);

fn spec() -> ReplicaSpec {
    let member = |idx: u64| Member {
        instance: format!("i{idx}").into(),
        incarnation: Incarnation(idx),
        engine_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
    };
    ReplicaSpec {
        id: ReplicaId(1),
        epoch: Epoch(3),
        deployment: "d".into(),
        model: "m".into(),
        version: "1".into(),
        adapters: Vec::new(),
        domain: "a".into(),
        zone: "z".into(),
        members: vec![member(1), member(2)],
    }
}

fn heard(idx: u64, epoch: u64) -> Option<ReceivedReport> {
    let report = MemberReport {
        replica: Some(ReplicaId(1)),
        epoch: Epoch(epoch),
        incarnation: Incarnation(idx),
        ready: true,
        leaving: false,
    };
    Some(ReceivedReport { report, requested_at: Time::START })
}

#[test]
fn a_replica_activates_only_with_every_claim() {
    let spec = spec();
    assert!(claim(&spec).activate(1).is_err());
    assert!(claim(&spec).activate(2).is_ok());
}

#[test]
fn a_replica_serves_only_while_all_vouch() {
    let spec = spec();
    let cases = [
        (vec![heard(1, 3), heard(2, 3)], Ok(())),
        (vec![heard(1, 3), None], Err(NotRoutable::MemberSilent)),
        (vec![heard(1, 3), heard(2, 2)], Err(NotRoutable::MemberElsewhere)),
        (vec![heard(1, 3), heard(5, 3)], Err(NotRoutable::MemberRestarted)),
    ];
    for (reports, expected) in cases {
        let res = resume(&spec).confirm_serving(&reports, Time::START, FRESHNESS);
        assert_eq!(res.map(drop).map_err(|(_, cause)| cause), expected);
    }
}

#[test]
fn members_are_released_once_idle_or_overdue() {
    let spec = spec();
    let cases = [(1, false, false), (0, false, true), (1, true, true)];
    for (running, overdue, released) in cases {
        let draining = resume(&spec).drain();
        assert_eq!(draining.release(running, overdue).is_ok(), released);
    }
}
