//! Cases of what is kept of a replica.

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
fn what_is_known_of_an_unchanged_replica_stays() {
    let (table, cell) = (ReplicaTable::default(), FleetCell::default());
    table.replace(vec![spec(1, 1), spec(2, 1)]);
    let before = cell.get(&table);
    assert!(Arc::ptr_eq(&before, &cell.get(&table)));
    let placed = before.sides[1].place(RequestId(7), Fingerprint(9));
    table.replace(vec![spec(2, 1), spec(1, 2), spec(3, 1)]);
    let after = cell.get(&table);
    assert!(Arc::ptr_eq(&before.sides[1], &after.sides[0]));
    assert!(!Arc::ptr_eq(&before.sides[0], &after.sides[1]));
    assert_eq!(after.sides[0].fingerprints(), [Fingerprint(9)]);
    assert_eq!(after.sides[0].entry.in_flight(), 1);
    drop(placed);
    assert!(after.sides[0].fingerprints().is_empty());
    assert_eq!(after.sides[0].entry.in_flight(), 0);
}
