//! Cases of the order of loads.

use super::*;

fn load(replica: u64, members: u32, accelerators: u32, running: bool) -> WeightLoadTask {
    WeightLoadTask { replica: ReplicaId(replica), members, accelerators, running }
}

#[test]
fn the_load_that_returns_most_goes_first() {
    use Objective::{GroupDowntime, StrandedAccelerators};
    let small = load(1, 2, 16, false);
    let large = load(2, 3, 64, false);
    let cases = [
        (GroupDowntime, vec![small, large], 2, vec![1]),
        (StrandedAccelerators, vec![small, large], 3, vec![2]),
        (GroupDowntime, vec![small, large], 5, vec![1, 2]),
        (GroupDowntime, vec![load(3, 4, 32, true), small], 4, vec![]),
        (GroupDowntime, vec![load(4, 9, 72, false)], 4, vec![4]),
    ];
    for (objective, loads, limit, expected) in cases {
        let expected: Vec<ReplicaId> = expected.into_iter().map(ReplicaId).collect();
        assert_eq!(startable(objective, &loads, limit), expected, "{loads:?}");
    }
}
