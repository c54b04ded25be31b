use std::net::SocketAddr;

use super::*;
use crate::{peers::ListedGateway, testing};

const SELF: NodeId = NodeId(1);

fn view(nodes: &[u64]) -> Arc<ClusterView> {
    let addr = SocketAddr::from(([127, 0, 0, 1], 9));
    let listed = |id: &u64| (NodeId(*id), ListedGateway { addr, zone: "a".into() });
    Arc::new(ClusterView { nodes: nodes.iter().map(listed).collect(), ..ClusterView::default() })
}

fn is_granter(views: &RecentViews) -> bool {
    views.is_granter(SELF, &testing::backend("h0").server(), &"a".into())
}

/// Gateways with the former list still ask its granter for permits.
#[test]
fn gateway_that_becomes_the_granter_waits_until_all_have_read_the_list() {
    let mut views = RecentViews::default();
    views.record(&view(&[1]), Time::START);
    assert!(!is_granter(&views), "it was not listed before");
    views.record(&view(&[1]), Time::START + CHANGE_TIME);
    assert!(is_granter(&views));
    let server = testing::backend("h0").server();
    let precedes = |it: &NodeId| {
        choose_granters(&server, &"a".into(), &view(&[1, it.0])).granter() == Some(*it)
    };
    let other = (2..).map(NodeId).find(precedes).unwrap().0;
    let changed_at = Time::from_millis(10_000);
    views.record(&view(&[1, other]), changed_at);
    assert!(!is_granter(&views), "another one precedes it");
    views.record(&view(&[1]), changed_at + Duration::from_millis(100));
    assert!(!is_granter(&views), "some gateways still ask the other one");
    views.record(&view(&[1]), changed_at + Duration::from_millis(100) + CHANGE_TIME);
    assert!(is_granter(&views));
}

/// A list that changes in other respects must not keep the granter from granting.
#[test]
fn gateway_that_stays_the_granter_grants_while_others_come_and_go() {
    let server = testing::backend("h0").server();
    let follows = |it: &NodeId| {
        choose_granters(&server, &"a".into(), &view(&[1, it.0])).granter() == Some(SELF)
    };
    let others: Vec<u64> = (2..).map(NodeId).filter(follows).take(20).map(|it| it.0).collect();
    let mut views = RecentViews::default();
    views.record(&view(&[1]), Time::START);
    views.record(&view(&[1]), Time::START + CHANGE_TIME);
    for (idx, other) in others.iter().enumerate() {
        views.record(&view(&[1, *other]), Time::from_millis(5_000 + 100 * idx as u64));
        assert!(is_granter(&views));
    }
    assert!(views.former.len() <= MAX_VIEWS);
}
