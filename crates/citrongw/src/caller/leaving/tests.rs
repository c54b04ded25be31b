//! Tests of the set of leaving instances.

use super::*;

fn member(instance: &str, incarnation: u64) -> Member {
    Member {
        instance: instance.into(),
        incarnation: Incarnation(incarnation),
        engine_addr: "127.0.0.1:1".parse().unwrap(),
    }
}

#[test]
fn entry_applies_to_one_incarnation() {
    let instances = LeavingInstances::default();
    let members = [member("a", 1), member("b", 1)];
    assert!(!instances.contains_any(&members));
    instances.add(&LeavingInstance { instance: "b".into(), incarnation: Incarnation(1) });
    assert!(instances.contains_any(&members));
    assert!(!instances.contains_any(&[member("a", 1), member("b", 2)]));
}
