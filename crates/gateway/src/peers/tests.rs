use std::{collections::BTreeMap, net::Ipv4Addr};

use bytes::Bytes;
use citrongw_coordination::clock;
use citrongw_fakes::kv::mem;
use citrongw_protocol::store::Entry;
use citrongw_state::id::{Fingerprint, InstanceId};

mod evacuations;
mod resend;
mod restored;

use crate::store_era;

use super::{
    cluster_view::{NODE_LEASE_TIME, NODE_PREFIX, decode},
    *,
};

const ZONE: &str = "a";

fn domain() -> DomainKey {
    DomainKey { service: "engine".into(), domain: "d".into() }
}

fn entry(key: &str, value: &str) -> Entry {
    Entry {
        key: key.into(),
        value: Bytes::from(value.to_owned()),
        revision: citrongw_state::id::Revision::new(1),
    }
}

#[test]
fn decode_returns_gateways_and_owners_and_skips_unreadable_entries() {
    let cluster = decode(&[
        entry("citrongw/live/node/0000000000000001", "127.0.0.1:9 a"),
        entry("citrongw/live/node/0000000000000002", "nowhere"),
        entry("citrongw/live/owner/engine/d", "0000000000000001"),
        entry("citrongw/live/owner/engine/e", ""),
        entry("citrongw/live/else", "x"),
    ]);
    assert_eq!(cluster.nodes.keys().copied().collect::<Vec<_>>(), [NodeId(1)]);
    assert_eq!(cluster.owners.get(&domain().owner_key()), Some(&NodeId(1)));
    assert_eq!(cluster.owners.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn gateway_that_ended_is_not_listed_after_its_lease_expired() {
    let store = mem::open();
    let peers = Arc::new(open(NodeId(1), ZONE.into(), clock::open()));
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
    let shared: Arc<dyn Store> = Arc::new(store.clone());
    let task = tokio::spawn(register_self(Arc::clone(&peers), shared, store_era::open(), addr));
    let listed = || store.inspect(|core| core.list(&NODE_PREFIX.into()).entries.len());
    tokio::time::sleep(NODE_LEASE_TIME * 3).await;
    assert_eq!(listed(), 1, "the lease is renewed");
    task.abort();
    tokio::time::sleep(NODE_LEASE_TIME * 2).await;
    assert_eq!(listed(), 0);
}

#[tokio::test(start_paused = true)]
async fn suspects_of_an_owned_domain_are_queued_locally_and_not_repeated() {
    let peers = Arc::new(open(NodeId(1), ZONE.into(), clock::open()));
    let mut suspects_rx = peers.register_domain(&domain());
    let replica = (ReplicaId(7), Epoch(1));
    peers.report_suspect(&domain(), replica);
    peers.report_suspect(&domain(), replica);
    assert_eq!(suspects_rx.try_recv(), Ok(replica));
    assert!(suspects_rx.try_recv().is_err());
    tokio::time::sleep(SUSPECT_REPORT_INTERVAL).await;
    peers.report_suspect(&domain(), replica);
    assert_eq!(suspects_rx.try_recv(), Ok(replica));
    peers.unregister_domain(&domain());
    assert!(!peers.queue_suspect(&domain(), replica));
}

#[tokio::test]
async fn message_of_one_gateway_reaches_the_others() {
    let store: Arc<dyn Store> = Arc::new(mem::open());
    let bind = async |node| {
        let peers = Arc::new(open(NodeId(node), ZONE.into(), clock::open()));
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let endpoint = super::bind(&peers, &*store, any).await.unwrap();
        let addr = endpoint.local_addr().unwrap();
        (peers, endpoint, addr)
    };
    let (from, sending, own_addr) = bind(1).await;
    let (_to, receiving, addr) = bind(2).await;
    let listed = |addr| ListedGateway { addr, zone: ZONE.into() };
    let nodes = BTreeMap::from([(NodeId(1), listed(own_addr)), (NodeId(2), listed(addr))]);
    from.cluster.store(Arc::new(ClusterView { nodes, ..ClusterView::default() }));
    from.endpoint.set(sending).unwrap();
    let message = PeerMessage::Up(message::OpenReplica {
        service: "engine".into(),
        model: "m".into(),
        replica: ReplicaId(7),
        epoch: Epoch(1),
        head: InstanceId::from("a"),
    });
    from.broadcast(&message).await;
    let received = receiving.receive().await;
    assert_eq!((received.from, received.message), (NodeId(1), message));
}

/// Gateway that has read the list of gateways and owners, in which another
/// gateway is the reader.
fn gateway_with_a_reader() -> Peers {
    let peers = open(NodeId(2), ZONE.into(), clock::open());
    peers.set_cluster(decode(&[
        entry("citrongw/live/node/0000000000000001", "127.0.0.1:9 a"),
        entry("citrongw/live/node/0000000000000002", "127.0.0.1:8 b"),
        entry("citrongw/live/owner/engine/a", "0000000000000001"),
    ]));
    peers
}

#[tokio::test(start_paused = true)]
async fn list_of_gateways_is_not_read_while_the_reader_has_the_same() {
    let peers = gateway_with_a_reader();
    assert!(!peers.is_current(), "no digest received yet");
    peers.record_digest(peers.cluster().digest());
    assert!(peers.is_current());
    tokio::time::sleep(READER_DIGEST_EXPIRY).await;
    assert!(!peers.is_current(), "the digest is too old");
    peers.record_digest(7);
    assert!(!peers.is_current());
}

#[tokio::test(start_paused = true)]
async fn announced_owner_is_kept_when_an_older_read_lacks_it() {
    let peers = gateway_with_a_reader();
    let before = ClusterView::clone(&peers.cluster());
    peers.record_owner(&domain().owner_key(), NodeId(1));
    assert_eq!(peers.cluster().owners.get(&domain().owner_key()), Some(&NodeId(1)));
    peers.set_cluster(before.clone());
    assert_eq!(peers.cluster().owners.get(&domain().owner_key()), Some(&NodeId(1)));
    tokio::time::sleep(ANNOUNCED_OWNER_TIME).await;
    peers.set_cluster(before);
    assert_eq!(peers.cluster().owners.get(&domain().owner_key()), None);
}

#[tokio::test(start_paused = true)]
async fn former_owner_of_the_first_domain_is_not_the_reader_although_its_list_is_old() {
    let peers = open(NodeId(1), ZONE.into(), clock::open());
    let listed = [
        entry("citrongw/live/node/0000000000000001", "127.0.0.1:9 a"),
        entry("citrongw/live/owner/engine/d", "0000000000000001"),
        entry("citrongw/live/owner/engine/e", "0000000000000002"),
    ];
    peers.set_cluster(decode(&listed));
    assert!(!peers.is_reader(), "the domain is not controlled yet");
    let suspects_rx = peers.register_domain(&domain());
    assert!(peers.is_reader());
    // The lease ended, and the list of owners cannot be read.
    peers.unregister_domain(&domain());
    drop(suspects_rx);
    assert!(!peers.is_reader());
}

fn change() -> ListChange {
    ListChange {
        revision: citrongw_state::id::Revision::new(5),
        config_revision: citrongw_state::id::Revision::new(1),
        cluster_digest: 0,
        digest: 7,
        changed: Vec::new(),
        removed: Vec::new(),
        config_version: 1,
    }
}

#[tokio::test]
async fn change_of_the_list_goes_to_the_reporter_of_another_zone_or_else_to_all_of_it() {
    let store: Arc<dyn Store> = Arc::new(mem::open());
    let bind = async |node| {
        let peers = open(NodeId(node), ZONE.into(), clock::open());
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let endpoint = super::bind(&peers, &*store, any).await.unwrap();
        let addr = endpoint.local_addr().unwrap();
        (peers, endpoint, addr)
    };
    let (reader, sending, own_addr) = bind(1).await;
    let (_near, near_endpoint, near_addr) = bind(2).await;
    let (_reporter, reporter_endpoint, reporter_addr) = bind(3).await;
    let (_other, other_endpoint, other_addr) = bind(4).await;
    let listed = |node, addr, zone: &str| (NodeId(node), ListedGateway { addr, zone: zone.into() });
    let nodes = BTreeMap::from([
        listed(1, own_addr, ZONE),
        listed(2, near_addr, ZONE),
        listed(3, reporter_addr, "b"),
        listed(4, other_addr, "b"),
    ]);
    reader.cluster.store(Arc::new(ClusterView { nodes, ..ClusterView::default() }));
    reader.endpoint.set(sending).unwrap();

    reader.publish_change(&change()).await;
    for endpoint in [&near_endpoint, &reporter_endpoint, &other_endpoint] {
        assert_eq!(received(endpoint).await.1, PeerMessage::List(change()));
    }

    lock(&reader.zone_reporters).insert("b".into(), (NodeId(3), reader.clock.now()));
    reader.publish_change(&change()).await;
    assert_eq!(received(&near_endpoint).await.1, PeerMessage::List(change()));
    assert_eq!(received(&reporter_endpoint).await.1, PeerMessage::ListForZone(change()));
    // The next message to the other gateway is this one: it got no second change.
    let last = PeerMessage::ListMissing { digest: 9 };
    reader.send_to_gateway(NodeId(4), &last).await;
    assert_eq!(received(&other_endpoint).await.1, last);
}

/// Time limit for a message on loopback.
const LIMIT: Duration = Duration::from_secs(20);

/// Next message of an endpoint.
async fn received(endpoint: &PeerUdp<PeerMessage>) -> (NodeId, PeerMessage) {
    let received = tokio::time::timeout(LIMIT, endpoint.receive()).await.expect("a message");
    (received.from, received.message)
}

/// Spawns the receiving task of a gateway and returns its address.
pub(crate) async fn spawn_receiver(
    peers: &Arc<Peers>,
    store: &Arc<dyn Store>,
    on_message: impl Fn(NodeId, PeerMessage) + Send + 'static,
) -> (SocketAddr, JoinHandle<()>) {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let receiving = receive(Arc::clone(peers), Arc::clone(store), any, on_message);
    let task = tokio::spawn(receiving);
    loop {
        if let Some(endpoint) = peers.endpoint.get() {
            return (endpoint.local_addr().unwrap(), task);
        }
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn reporter_forwards_a_change_of_the_list_to_its_zone_and_applies_it() {
    let store: Arc<dyn Store> = Arc::new(mem::open());
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let peers = |node| Arc::new(open(NodeId(node), ZONE.into(), clock::open()));
    let (reader, reporter, near) = (peers(1), peers(2), peers(3));
    let sending = super::bind(&reader, &*store, any).await.unwrap();
    let receiving = super::bind(&near, &*store, any).await.unwrap();
    let (applied_tx, mut applied_rx) = mpsc::unbounded_channel();
    let on_message = move |from, message| applied_tx.send((from, message)).unwrap();
    let (reporter_addr, task) = spawn_receiver(&reporter, &store, on_message).await;
    let listed = |node, addr, zone: &str| (NodeId(node), ListedGateway { addr, zone: zone.into() });
    let nodes = BTreeMap::from([
        listed(1, sending.local_addr().unwrap(), "b"),
        listed(2, reporter_addr, ZONE),
        listed(3, receiving.local_addr().unwrap(), ZONE),
    ]);
    reporter.cluster.store(Arc::new(ClusterView { nodes, ..ClusterView::default() }));

    sending.send(reporter_addr, NodeId(2), &PeerMessage::ListForZone(change())).await;
    assert_eq!(received(&receiving).await, (NodeId(2), PeerMessage::List(change())));
    assert_eq!(applied_rx.recv().await, Some((NodeId(1), PeerMessage::List(change()))));
    task.abort();
}
