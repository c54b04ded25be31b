use std::time::Duration;

use citrongw_state::{evacuation::EvacuatedZones, id::Revision};

use super::*;
use crate::peers::message::EvacuationUpdate;

fn update(must_forward: bool) -> EvacuationUpdate {
    let zones = ["b"].map(AvailabilityZone::from).into();
    let evacuated = EvacuatedZones { revision: Revision::new(7), zones };
    EvacuationUpdate { evacuated, age: Duration::from_millis(30), must_forward }
}

async fn bind_in(store: &Arc<dyn Store>, node: u64) -> (Arc<Peers>, SocketAddr) {
    let peers = Arc::new(open(NodeId(node), ZONE.into(), clock::open()));
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let endpoint = super::super::bind(&peers, &**store, any).await.unwrap();
    let addr = endpoint.local_addr().unwrap();
    peers.endpoint.set(endpoint).unwrap();
    (peers, addr)
}

fn list(peers: &Peers, nodes: &[(u64, SocketAddr, &str)]) {
    let listed = |(node, addr, zone): &(u64, SocketAddr, &str)| {
        (NodeId(*node), ListedGateway { addr: *addr, zone: (*zone).into() })
    };
    let nodes = nodes.iter().map(listed).collect();
    peers.set_cluster(ClusterView { nodes, ..ClusterView::default() });
}

/// Guards against a gateway that the key-value service refused for so long that it is
/// listed no more: it asks, and the reply reaches it.
#[tokio::test]
async fn gateway_that_is_not_listed_gets_a_reply() {
    let store: Arc<dyn Store> = Arc::new(mem::open());
    let (asking, asking_addr) = bind_in(&store, 1).await;
    let (asked, asked_addr) = bind_in(&store, 2).await;
    list(&asking, &[(1, asking_addr, ZONE), (2, asked_addr, ZONE)]);
    asking.request_evacuations(asking_addr).await;
    let received = asked.endpoint.get().unwrap().receive().await;
    let PeerMessage::EvacuationsRequest { reply_to } = received.message else {
        panic!("{:?}", received.message)
    };
    asked.reply_evacuations(received.from, reply_to, update(false)).await;
    let received = asking.endpoint.get().unwrap().receive().await;
    assert_eq!(received.message, PeerMessage::Evacuations(update(false)));
}

/// Guards against gateways of other zones that the reader does not reach, and against a
/// zone without a known reporter.
#[tokio::test]
async fn read_is_published_through_the_reporters_of_other_zones() {
    let store: Arc<dyn Store> = Arc::new(mem::open());
    let (reader, reader_addr) = bind_in(&store, 1).await;
    let (reporter, reporter_addr) = bind_in(&store, 2).await;
    let (other, other_addr) = bind_in(&store, 3).await;
    let nodes = [(1, reader_addr, ZONE), (2, reporter_addr, "b"), (3, other_addr, "c")];
    list(&reader, &nodes);
    lock(&reader.zone_reporters).insert("b".into(), (NodeId(2), reader.clock.now()));
    reader.publish_evacuations(&update(false)).await;
    let at_reporter = reporter.endpoint.get().unwrap().receive().await;
    assert_eq!(at_reporter.message, PeerMessage::Evacuations(update(true)));
    let at_other = other.endpoint.get().unwrap().receive().await;
    assert_eq!(at_other.message, PeerMessage::Evacuations(update(false)));
}
