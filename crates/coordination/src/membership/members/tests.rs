//! Cases of merging.

use std::net::{Ipv4Addr, SocketAddr};

use super::*;

fn node(id: u64) -> NodeInfo {
    let peer_addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    NodeInfo { id: NodeId(id), zone: "a".into(), region: "r".into(), peer_addr }
}

fn update(id: u64, incarnation: u32, state: MemberState) -> MemberUpdate {
    let NodeInfo { id, zone, region, peer_addr } = node(id);
    MemberUpdate { node: id, zone, region, addr: peer_addr, incarnation, state }
}

#[test]
fn the_larger_incarnation_wins_then_the_later_state() {
    use MemberState::{Alive, Dead, Left, Suspect};
    let cases = [
        ((0, Alive), (0, Suspect), true),
        ((0, Suspect), (0, Alive), false),
        ((0, Suspect), (1, Alive), true),
        ((0, Dead), (0, Suspect), false),
        ((0, Dead), (1, Alive), true),
        ((1, Left), (1, Dead), false),
        ((1, Alive), (0, Dead), false),
    ];
    for (held, heard, changed) in cases {
        let mut members = Members::new(&node(1));
        members.merge(&update(2, held.0, held.1), Time::START);
        let merge = members.merge(&update(2, heard.0, heard.1), Time::START);
        assert_eq!(merge == MergeOutcome::Changed, changed, "{held:?} {heard:?}");
    }
}

#[test]
fn a_node_refutes_what_is_said_of_it() {
    let mut members = Members::new(&node(1));
    let merge = members.merge(&update(1, 4, MemberState::Dead), Time::START);
    assert_eq!(merge, MergeOutcome::Refuted(update(1, 5, MemberState::Alive)));
    assert_eq!(members.merge(&update(1, 4, MemberState::Dead), Time::START), MergeOutcome::Known);
    // It does not refute that it leaves.
    members.set_state(NodeId(1), MemberState::Left, Time::START);
    assert_eq!(members.merge(&update(1, 5, MemberState::Left), Time::START), MergeOutcome::Known);
}

#[test]
fn equal_lists_have_equal_buckets() {
    let mut here = Members::new(&node(1));
    let mut there = Members::new(&node(2));
    here.merge(&update(2, 0, MemberState::Alive), Time::START);
    there.merge(&update(1, 0, MemberState::Alive), Time::START);
    assert_eq!(here.buckets(), there.buckets());
    there.set_state(NodeId(1), MemberState::Suspect, Time::START);
    let told = there.differing(&here.buckets());
    assert_eq!(told, [update(1, 0, MemberState::Suspect)]);
    assert_eq!(there.expire(Time::START + SUSPICION_TIMEOUT).len(), 1);
    assert_eq!(there.alive_count(), 1);
}
