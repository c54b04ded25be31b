//! Tests of the gossip queue.

use std::net::{Ipv4Addr, SocketAddr};

use citrongw_protocol::gossip_item::LeavingInstance;

use super::*;

const LIMITS: SendLimits = SendLimits { base: 1000, priority: 1000, datagram: 1000 };

fn leaving(name: &str) -> GossipItem {
    GossipItem::Leaving(LeavingInstance { instance: name.into(), incarnation: Incarnation(1) })
}

fn member(id: u64, state: MemberState) -> MemberUpdate {
    MemberUpdate {
        node: NodeId(id),
        zone: "a".into(),
        region: "r".into(),
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        incarnation: 0,
        state,
    }
}

#[test]
fn urgent_items_are_sent_first() {
    let mut queue = GossipQueue::default();
    queue.add_member(member(1, MemberState::Alive));
    queue.add_member(member(2, MemberState::Dead));
    assert!(queue.add_item(&leaving("one"), Time::START));
    assert!(queue.is_urgent());
    let datagram = size(&leaving("one")) + size(&member(1, MemberState::Dead));
    let gossip = queue.take(SendLimits { datagram, ..LIMITS }, 20).gossip;
    assert_eq!(gossip.items, [leaving("one")]);
    assert_eq!(gossip.members, [member(2, MemberState::Dead)]);
    assert!(!queue.is_urgent());
}

#[test]
fn each_item_is_sent_a_bounded_number_of_times() {
    let mut queue = GossipQueue::default();
    queue.add_item(&leaving("one"), Time::START);
    let sends = (0..1000).take_while(|_| !queue.take(LIMITS, 20).gossip.items.is_empty()).count();
    assert_eq!(sends, max_sends(20) as usize);
    assert!(!queue.add_item(&leaving("one"), Time::START));
    assert!(queue.is_empty());
    assert_eq!(max_sends(2500), 26);
}

#[test]
fn priority_items_are_sent_when_the_base_budget_is_spent() {
    let mut queue = GossipQueue::default();
    queue.add_member(member(1, MemberState::Alive));
    queue.add_member(member(2, MemberState::Suspect));
    queue.add_item(&leaving("one"), Time::START);
    let gossip = queue.take(SendLimits { base: 0, ..LIMITS }, 20).gossip;
    assert_eq!((gossip.items.len(), gossip.members.len()), (1, 1));
}
