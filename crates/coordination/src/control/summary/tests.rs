//! Tests of the operator summary.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use citrongw_protocol::{
    instance_list::InstanceState,
    record::{DownReplica, WeightLoad},
};
use citrongw_state::{
    id::{Epoch, Incarnation, Revision},
    replica::Member,
};

use super::*;

const ADDR: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

fn spec() -> ReplicaSpec {
    ReplicaSpec {
        id: ReplicaId(1),
        epoch: Epoch(1),
        deployment: "d".into(),
        model: "m".into(),
        version: "1".into(),
        adapters: Vec::new(),
        domain: "a".into(),
        zone: "z".into(),
        members: vec![Member {
            instance: "i".into(),
            incarnation: Incarnation(1),
            engine_addr: ADDR,
        }],
    }
}

fn listed() -> ListedInstance {
    ListedInstance {
        id: "i".into(),
        domain: "a".into(),
        zone: "z".into(),
        region: "r".into(),
        accelerators: 8,
        engine_addr: ADDR,
        incarnation: Incarnation(1),
        state: InstanceState::Live,
    }
}

#[test]
fn each_replica_has_its_phase_duration_and_cause() {
    let load = |running| WeightLoad { replica: ReplicaId(1), members: 1, accelerators: 8, running };
    let down = DownReplica { replica: ReplicaId(1), cause: NotRoutable::MemberSilent };
    let record = DomainRecord { replicas: vec![spec()], ..DomainRecord::default() };
    let cases = [
        (record.clone(), Phase::Serving, None, 0.0),
        (
            DomainRecord { loads: vec![load(false)], ..record.clone() },
            Phase::Loading,
            Some(DownCause::WaitsForLoad),
            80.0,
        ),
        (
            DomainRecord { loads: vec![load(true)], ..record.clone() },
            Phase::Loading,
            Some(DownCause::Loads),
            0.0,
        ),
        (
            DomainRecord { down: vec![down], ..record },
            Phase::Loading,
            Some(DownCause::MemberSilent),
            80.0,
        ),
        (
            DomainRecord { pending: vec![spec()], ..DomainRecord::default() },
            Phase::Claiming,
            Some(DownCause::Claiming),
            80.0,
        ),
    ];
    for (record, phase, cause, stranded) in cases {
        let records: Records = [("a".into(), (Arc::new(record), Revision::new(1)))].into();
        let view = ControlView::default();
        update_summary(&view, &records, &[listed()], Time::from_millis(1_000));
        update_summary(&view, &records, &[listed()], Time::from_millis(11_000));
        let replicas = view.replicas();
        let it = &replicas[0];
        assert_eq!((it.phase, it.cause, it.lasting), (phase, cause, Duration::from_secs(10)));
        let lost: Vec<(f64, f64)> = view
            .lost()
            .iter()
            .map(|(_, _, it)| (it.downtime_s, it.stranded_accelerator_s))
            .collect();
        let expected = if cause.is_some() { vec![(10.0, stranded)] } else { vec![] };
        assert_eq!(lost, expected, "{cause:?}");
    }
}
