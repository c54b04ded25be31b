//! Tests of which nodes publish suspicions to nodes that join.

use super::*;

#[test]
fn the_first_known_nodes_publish_to_a_new_one() {
    let nodes = |ids: &[u64]| ids.iter().map(|id| NodeId(*id)).collect::<BTreeSet<_>>();
    let known = nodes(&[1, 3, 5, 7]);
    let cases = [
        (nodes(&[1, 3, 5, 7]), 1, false),
        (nodes(&[3, 5, 7]), 3, false),
        (nodes(&[0, 1, 3, 5, 7]), 1, true),
        (nodes(&[0, 1, 3, 5, 7]), 5, true),
        (nodes(&[0, 1, 3, 5, 7]), 7, false),
        (nodes(&[0, 1, 3, 5, 7]), 0, false),
        (nodes(&[0, 3, 5, 7]), 7, true),
    ];
    for (alive, this, expected) in cases {
        assert_eq!(should_publish(&known, &alive, NodeId(this)), expected, "{this} of {alive:?}");
    }
}
