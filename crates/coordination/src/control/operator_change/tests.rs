//! Tests of changes that operators request.

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

fn apply_all(changes: &[OperatorChange]) -> DomainRecord {
    let mut record =
        Arc::new(DomainRecord { replicas: vec![replica()], ..DomainRecord::default() });
    for (idx, change) in changes.iter().enumerate() {
        if let Some(next) = apply(&record, change, AttemptId(idx as u128)).unwrap() {
            record = Arc::new(next);
        }
    }
    DomainRecord::clone(&record)
}

#[test]
fn the_last_change_of_an_instance_wins() {
    let (id, incarnation) = (InstanceId::from("i"), Incarnation(1));
    let leave = OperatorChange::Leave(id.clone(), incarnation);
    let restore = OperatorChange::Return(id.clone(), incarnation);
    let cases = [
        (vec![leave.clone()], true, false),
        (vec![leave.clone(), restore.clone()], false, true),
        (vec![restore.clone(), leave.clone()], true, false),
        (vec![leave.clone(), leave.clone()], true, false),
        (vec![OperatorChange::Leave(id.clone(), Incarnation(2))], false, false),
    ];
    for (changes, leaving, returned) in cases {
        let record = apply_all(&changes);
        assert_eq!(record.is_leaving(&id, incarnation), leaving, "{changes:?}");
        assert_eq!(record.is_returned(&id, incarnation), returned, "{changes:?}");
    }
}

#[test]
fn repeated_drain_takes_effect_once() {
    let record =
        apply_all(&[OperatorChange::Drain(ReplicaId(1)), OperatorChange::Drain(ReplicaId(1))]);
    assert!(record.replicas.is_empty());
    assert_eq!(record.draining.len(), 1);
    assert_eq!(record.asked, [AttemptId(0)]);
    let unknown = apply(&Arc::new(record), &OperatorChange::Drain(ReplicaId(9)), AttemptId(7));
    assert_eq!(unknown, Err(OperatorChangeError::Unknown));
}
