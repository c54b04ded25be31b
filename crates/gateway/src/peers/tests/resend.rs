//! Two gateways on loopback, of which one loses a change of the instance list.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Instant,
};

use citrongw_fakes::kv::mem::{Fault, MemStore};
use citrongw_protocol::store::{Change, Expected, Write};

use super::*;
use crate::{
    adapter::Adapter,
    feed::{self, RoutingState},
    metrics,
    testing::{StubCodec, StubInstances},
};

struct TestGateway {
    peers: Arc<Peers>,
    routing: Arc<RoutingState>,
    addr: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for TestGateway {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Spawns a gateway that drops the first change with entries if `loses_change`
/// is set.
async fn spawn(node: u64, store: &MemStore, loses_change: Arc<AtomicBool>) -> TestGateway {
    let clock = clock::open();
    let peers = Arc::new(open(NodeId(node), ZONE.into(), clock));
    let routing = Arc::new(feed::open());
    routing.record_traffic();
    let shared: Arc<dyn Store> = Arc::new(store.clone());
    let to_feed = Arc::clone(&routing);
    let on_message = move |from, message| match message {
        PeerMessage::List(change) => {
            let is_lost = !change.changed.is_empty() && loses_change.swap(false, Ordering::Relaxed);
            if !is_lost {
                to_feed.queue_change(from, change, clock.now());
            }
        }
        PeerMessage::ListMissing { digest } => to_feed.queue_missing(from, digest),
        _ => {}
    };
    let (addr, receiver) = spawn_receiver(&peers, &shared, on_message).await;
    let adapter = Adapter {
        store: shared,
        codec: Arc::new(StubCodec),
        http: citrongw_transport::http_client::open(),
        instances: Arc::new(StubInstances),
    };
    let mut tasks = feed::spawn(&adapter, &routing, &peers, &metrics::open(), clock);
    tasks.push(receiver);
    TestGateway { peers, routing, addr, tasks }
}

impl TestGateway {
    async fn wait_for_instances(&self, count: usize) {
        let since = Instant::now();
        while self.routing.instances.load().instances.len() != count {
            assert!(since.elapsed() < LIMIT, "{count} instances were not listed");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

async fn put(store: &MemStore, id: &str) {
    let write = Write {
        key: format!("{}{id}", StubCodec::INSTANCES).into(),
        expected: Expected::Absent,
        change: Change::Put(Bytes::from(id.to_owned())),
        lease: None,
    };
    store.compare_and_swap(write).await.unwrap();
}

#[tokio::test]
async fn lost_change_is_sent_again_to_a_gateway_that_cannot_read_the_list() {
    // Each gateway has a store of its own, with the same secret and list.
    let (store, other_store) = (mem::open(), mem::open());
    let secret = Write {
        key: "citrongw/peer-secret".into(),
        expected: Expected::Absent,
        change: Change::Put(Bytes::from_static(b"secret")),
        lease: None,
    };
    for store in [&store, &other_store] {
        store.compare_and_swap(secret.clone()).await.unwrap();
        put(store, "x").await;
    }
    let loses_change = Arc::new(AtomicBool::new(false));
    let reader = spawn(1, &store, Arc::default()).await;
    let other = spawn(2, &other_store, Arc::clone(&loses_change)).await;
    let listed = |addr| ListedGateway { addr, zone: ZONE.into() };
    let cluster = ClusterView {
        culprits: std::collections::BTreeSet::new(),
        nodes: BTreeMap::from([(NodeId(1), listed(reader.addr)), (NodeId(2), listed(other.addr))]),
        owners: BTreeMap::from([(domain().owner_key(), NodeId(1))]),
    };
    let _suspects_rx = reader.peers.register_domain(&domain());
    for gateway in [&reader, &other] {
        gateway.peers.set_cluster(cluster.clone());
        gateway.wait_for_instances(1).await;
    }
    other_store.set_fault(Fault::Down);
    loses_change.store(true, Ordering::Relaxed);
    put(&store, "y").await;
    reader.wait_for_instances(2).await;
    other.wait_for_instances(2).await;
    assert!(!loses_change.load(Ordering::Relaxed), "a change was lost");
}
