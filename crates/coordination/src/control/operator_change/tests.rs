//! Cases of what operators ask for.

use super::*;

fn replica() -> citrongw_state::replica::ReplicaSpec {
    citrongw_state::replica::ReplicaSpec {
        id: ReplicaId(1),
        epoch: citrongw_state::id::Epoch(1),
        deployment: "d".into(),
        model: "m".into(),
        version: "1".into(),
        adapters: Vec::new(),
        domain: "a".into(),
        zone: "z".into(),
        members: Vec::new(),
    }
}

fn apply_all(asks: &[OperatorChange]) -> DomainRecord {
    let mut record =
        Arc::new(DomainRecord { replicas: vec![replica()], ..DomainRecord::default() });
    for (idx, ask) in asks.iter().enumerate() {
        if let Some(next) = apply(&record, ask, AttemptId(idx as u128)).unwrap() {
            record = Arc::new(next);
        }
    }
    DomainRecord::clone(&record)
}

#[test]
fn the_last_that_was_asked_for_an_instance_counts() {
    let (id, start) = (InstanceId::from("i"), Incarnation(1));
    let leave = OperatorChange::Leave(id.clone(), start);
    let back = OperatorChange::Return(id.clone(), start);
    let cases = [
        (vec![leave.clone()], true, false),
        (vec![leave.clone(), back.clone()], false, true),
        (vec![back.clone(), leave.clone()], true, false),
        (vec![leave.clone(), leave.clone()], true, false),
        (vec![OperatorChange::Leave(id.clone(), Incarnation(2))], false, false),
    ];
    for (asks, leaving, returned) in cases {
        let record = apply_all(&asks);
        assert_eq!(record.is_leaving(&id, start), leaving, "{asks:?}");
        assert_eq!(record.is_returned(&id, start), returned, "{asks:?}");
    }
}

#[test]
fn a_drain_takes_the_replica_from_routing_once() {
    let record =
        apply_all(&[OperatorChange::Drain(ReplicaId(1)), OperatorChange::Drain(ReplicaId(1))]);
    assert!(record.replicas.is_empty());
    assert_eq!(record.draining.len(), 1);
    assert_eq!(record.asked, [AttemptId(0)]);
    let unknown = apply(&Arc::new(record), &OperatorChange::Drain(ReplicaId(9)), AttemptId(7));
    assert_eq!(unknown, Err(OperatorChangeError::Unknown));
}
