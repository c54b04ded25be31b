//! Cases of leaving marks.

use super::*;

fn member(instance: &str, incarnation: u64) -> Member {
    Member {
        instance: instance.into(),
        incarnation: Incarnation(incarnation),
        engine_addr: "127.0.0.1:1".parse().unwrap(),
    }
}

#[test]
fn mark_sticks_to_one_start() {
    let marks = LeavingMarks::default();
    let members = [member("a", 1), member("b", 1)];
    assert!(!marks.contains_any(&members));
    marks.add(&LeavingInstance { instance: "b".into(), incarnation: Incarnation(1) });
    assert!(marks.contains_any(&members));
    assert!(!marks.contains_any(&[member("a", 1), member("b", 2)]));
}
