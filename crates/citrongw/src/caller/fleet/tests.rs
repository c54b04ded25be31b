//! Tests of the state that is kept across changes of the replica list.

use citrongw_state::{
    id::{Epoch, ReplicaId},
    replica::ReplicaSpec,
};

use super::*;

fn spec(id: u64, epoch: u64) -> ReplicaSpec {
    ReplicaSpec {
        id: ReplicaId(id),
        epoch: Epoch(epoch),
        deployment: "d".into(),
        model: "m".into(),
        version: "1".into(),
        adapters: Vec::new(),
        domain: "f".into(),
        zone: "z".into(),
        members: Vec::new(),
    }
}

#[test]
fn state_of_an_unchanged_replica_is_kept() {
    let (table, cell) = (ReplicaTable::default(), FleetCell::default());
    table.replace(vec![spec(1, 1), spec(2, 1)]);
    let before = cell.get(&table);
    assert!(Arc::ptr_eq(&before, &cell.get(&table)));
    let permit = before.replicas[1].begin_request(RequestId(7), Fingerprint(9));
    table.replace(vec![spec(2, 1), spec(1, 2), spec(3, 1)]);
    let after = cell.get(&table);
    assert!(Arc::ptr_eq(&before.replicas[1], &after.replicas[0]));
    assert!(!Arc::ptr_eq(&before.replicas[0], &after.replicas[1]));
    assert_eq!(after.replicas[0].fingerprints(), [Fingerprint(9)]);
    assert_eq!(after.replicas[0].entry.in_flight(), 1);
    drop(permit);
    assert!(after.replicas[0].fingerprints().is_empty());
    assert_eq!(after.replicas[0].entry.in_flight(), 0);
}
