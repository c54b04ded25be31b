use super::*;
use crate::id::Incarnation;

fn server(number: usize) -> ServerIncarnation {
    ServerIncarnation {
        instance: format!("h{number}").as_str().into(),
        incarnation: Incarnation(1),
    }
}

fn nodes(numbers: impl IntoIterator<Item = u64>) -> impl Iterator<Item = NodeId> {
    numbers.into_iter().map(|it| NodeId(mix(it)))
}

#[test]
fn servers_are_divided_evenly_among_all_gateways() {
    let mut counts: HashMap<NodeId, usize> = HashMap::new();
    for number in 0..1_500 {
        let granters = choose(&server(number), nodes(0..15));
        assert_eq!(granters.in_order().count(), MAX_GRANTERS);
        *counts.entry(granters.granter().unwrap()).or_default() += 1;
    }
    assert!(counts.values().all(|it| (60..=140).contains(it)), "{counts:?}");
}

#[test]
fn substitutes_move_up_once_the_granter_is_gone() {
    for number in 0..100 {
        let server = server(number);
        let before: Vec<NodeId> = choose(&server, nodes(0..15)).in_order().collect();
        let left = nodes(0..15).filter(|it| *it != before[0]);
        let after: Vec<NodeId> = choose(&server, left).in_order().collect();
        assert_eq!(after[..MAX_GRANTERS - 1], before[1..]);
    }
}

#[test]
fn substitute_takes_the_place_of_granters_that_are_lost() {
    let granters = choose(&server(0), nodes(0..15));
    let [first, second, third] = [0, 1, 2].map(|it| granters.in_order().nth(it).unwrap());
    let role = |node, lost: &[NodeId]| granters.role(node, |it| lost.contains(&it));
    assert_eq!(role(first, &[]), GranterRole::Granter);
    assert_eq!(role(second, &[]), GranterRole::Substitute);
    assert_eq!(role(second, &[first]), GranterRole::Granter);
    assert_eq!(role(third, &[first]), GranterRole::Substitute);
    assert_eq!(role(third, &[first, second]), GranterRole::Granter);
    assert_eq!(role(NodeId(7), &[first, second]), GranterRole::Substitute);
}

#[test]
fn no_gateway_grants_if_none_is_listed() {
    assert_eq!(choose(&server(0), nodes([])).granter(), None);
}

#[test]
fn gateway_is_silent_after_two_timeouts_in_a_row() {
    let (node, now) = (NodeId(1), Time::from_millis(1_000));
    let mut silent = SilentGateways::default();
    assert!(!silent.record_timeout(node, now));
    assert!(!silent.is_silent(node, now));
    silent.record_message(node, now);
    assert!(!silent.record_timeout(node, now));
    assert!(silent.record_timeout(node, now));
    assert!(!silent.record_timeout(node, now), "it was silent before");
    assert!(silent.is_silent(node, now));
    assert!(!silent.is_silent(node, now + SILENCE_TIME));
}

#[test]
fn gateway_is_lost_without_messages() {
    let (node, now) = (NodeId(1), Time::from_millis(60_000));
    let mut silent = SilentGateways::default();
    assert!(silent.is_lost(node, now), "none was ever received");
    silent.record_message(node, now);
    assert!(!silent.is_lost(node, now));
    assert!(silent.is_lost(node, now + LOSS_TIME));
}
