//! Tests of ownership.

use super::*;

fn nodes(count: u64) -> Vec<NodeId> {
    (1..=count).map(NodeId).collect()
}

#[test]
fn one_live_node_owns_each_domain() {
    assert_eq!(domain_owner(&"d".into(), &[]), None);
    for count in [1, 2, 20] {
        let owner = domain_owner(&"d".into(), &nodes(count)).unwrap();
        assert!(nodes(count).contains(&owner));
    }
}

#[test]
fn a_dead_node_moves_only_its_own_domains() {
    let alive = nodes(20);
    for idx in 0..200 {
        let domain = format!("domain-{idx}").into();
        let owner = domain_owner(&domain, &alive).unwrap();
        let others: Vec<NodeId> = alive.iter().copied().filter(|it| *it != NodeId(7)).collect();
        if owner != NodeId(7) {
            assert_eq!(domain_owner(&domain, &others), Some(owner));
        }
    }
}

#[test]
fn domains_are_spread() {
    let alive = nodes(10);
    let mut owned = [0; 11];
    for idx in 0..1000 {
        let owner = domain_owner(&format!("domain-{idx}").into(), &alive).unwrap();
        owned[usize::try_from(owner.0).unwrap()] += 1;
    }
    assert!(owned[1..].iter().all(|it| (50..200).contains(it)), "{owned:?}");
}
