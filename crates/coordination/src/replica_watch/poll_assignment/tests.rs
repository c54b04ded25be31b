//! Cases of the division of status calls.

use std::net::{Ipv4Addr, SocketAddr};

use citrongw_state::{
    id::{Epoch, ReplicaId},
    replica::ReplicaSpec,
};

use super::*;
use crate::{node_view, replica_table::ReplicaTable};

fn view(count: u64) -> NodeView {
    let info = |id: u64| NodeInfo {
        id: NodeId(id),
        zone: "z".into(),
        region: "r".into(),
        peer_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
    };
    let view = node_view::open(info(1));
    view.replace((1..=count).map(info).collect());
    view
}

fn table(replicas: u64) -> ReplicaTable {
    let spec = |id: u64| ReplicaSpec {
        id: ReplicaId(id),
        epoch: Epoch(1),
        deployment: "d".into(),
        model: "m".into(),
        version: "1".into(),
        adapters: Vec::new(),
        domain: "a".into(),
        zone: "z".into(),
        members: Vec::new(),
    };
    let table = ReplicaTable::default();
    table.replace((1..=replicas).map(spec).collect());
    table
}

#[test]
fn a_node_alone_asks_for_all() {
    let duty = assign(&table(40).entries(), &view(1), true);
    assert_eq!((duty.direct.len(), duty.from_peers.len()), (40, 0));
    let duty = assign(&table(40).entries(), &view(9), false);
    assert_eq!((duty.direct.len(), duty.from_peers.len()), (40, 0));
}

#[test]
fn what_a_node_asks_does_not_grow_with_the_fleet() {
    for nodes in [10, 100, 1000] {
        let duty = assign(&table(nodes * 4).entries(), &view(nodes), true);
        let asked: usize = duty.from_peers.iter().map(|(_, list)| list.len()).sum();
        assert!(asked <= MAX_TRACKED_PER_MODEL, "{nodes} nodes: asks peers for {asked}");
        assert!(duty.direct.len() <= 16, "{nodes} nodes: asks members of {}", duty.direct.len());
    }
}

#[test]
fn each_replica_has_one_watcher() {
    let entries = table(100).entries();
    let ids: Vec<NodeId> = (1..=7).map(NodeId).collect();
    let mut watched = 0;
    for id in &ids {
        watched += entries
            .iter()
            .filter(|it| ownership::replica_watcher(it.spec.id, &ids) == Some(*id))
            .count();
    }
    assert_eq!(watched, 100);
}
