use std::net::SocketAddr;

use bytes::Bytes;
use citrongw_coordination::clock;
use citrongw_fakes::kv::mem::{self, Fault, MemStore};
use citrongw_protocol::store::{Change, Expected, Store, Write};
use tokio::task::JoinHandle;

use super::*;
use crate::{
    feed,
    metered_store::{self, StoreCalls},
    metrics,
    peers::{self, ClusterView, ListedGateway},
    testing::{StubCodec, StubInstances},
};

/// Feed of a gateway in zone `a`, and the calls that it makes.
struct TestFeed {
    routing: Arc<RoutingState>,
    peers: Arc<Peers>,
    calls: StoreCalls,
    clock: Clock,
    task: JoinHandle<()>,
}

impl Drop for TestFeed {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Spawns the feed of gateway `node`. The list of gateways has `nodes` in its zone.
fn spawn(store: &MemStore, node: u64, nodes: &[u64]) -> TestFeed {
    let (clock, calls) = (clock::open(), StoreCalls::default());
    let peers = Arc::new(peers::open(NodeId(node), "a".into(), clock));
    let addr = SocketAddr::from(([127, 0, 0, 1], 9));
    let listed = |id: &u64| (NodeId(*id), ListedGateway { addr, zone: "a".into() });
    let nodes = nodes.iter().map(listed).collect();
    peers.set_cluster(ClusterView { nodes, ..ClusterView::default() });
    let subjects = vec![(StubCodec::INSTANCES.into(), "instances")];
    let adapter = Adapter {
        store: metered_store::open(Arc::new(store.clone()), subjects, calls.clone()),
        codec: Arc::new(StubCodec),
        http: citrongw_transport::http_client::open(),
        instances: Arc::new(StubInstances),
    };
    let routing = Arc::new(feed::open());
    let unreadable = UnreadableRecords::new(&metrics::open());
    let feed = open(&adapter, &routing, &peers, unreadable, clock);
    TestFeed { routing, peers, calls, clock, task: tokio::spawn(feed.follow()) }
}

impl TestFeed {
    /// Calls so far without a response.
    fn count_failed(&self) -> u64 {
        self.count_outcome("list", "no_answer")
    }

    /// Calls so far by kind that got a response.
    fn count(&self, kind: &str) -> u64 {
        self.count_outcome(kind, "answered")
    }

    fn count_outcome(&self, kind: &str, outcome: &str) -> u64 {
        let wanted = format!("instances {kind} {outcome}");
        let totals = self.calls.totals();
        totals.iter().filter(|(labels, _)| labels.to_string() == wanted).map(|(_, it)| it).sum()
    }

    /// Change without entries for the current list, as the reader sends it.
    fn current_change(&self, revision: u64) -> ListChange {
        let state = ReaderState {
            revision: Revision::new(revision),
            config_revision: Revision::new(0),
            cluster_digest: 0,
            config_version: 0,
        };
        let view = self.routing.instances.load();
        listing::changes(&view, &view, state).remove(0)
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

async fn wait(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

#[tokio::test(start_paused = true)]
async fn list_may_be_old_between_the_first_read_and_the_first_request() {
    let store = mem::open();
    let feed = spawn(&store, 2, &[1, 2]);
    wait(3_000).await;
    assert_eq!(feed.count("list"), 1);
    assert!(0 < feed.count("list_stale"));
    feed.routing.record_traffic();
    let stale = feed.count("list_stale");
    wait(3_000).await;
    assert!(1 < feed.count("list"));
    assert_eq!(feed.count("list_stale"), stale);
}

#[tokio::test(start_paused = true)]
async fn one_gateway_of_a_zone_reads_while_the_reader_is_silent() {
    let store = mem::open();
    let substitute = spawn(&store, 1, &[1, 2]);
    let other = spawn(&store, 2, &[1, 2]);
    for feed in [&substitute, &other] {
        feed.routing.record_traffic();
    }
    put(&store, "x").await;
    wait(1_000).await;
    assert!(!substitute.routing.instances.load().instances.is_empty());
    let before = (substitute.count("list"), other.count("list"));
    // What the substitute publishes reaches the other gateway, here by hand.
    for revision in 0..20 {
        let change = other.current_change(100 + revision);
        other.routing.queue_change(NodeId(1), change, other.clock.now());
        wait(450).await;
    }
    assert!(before.0 + 15 <= substitute.count("list"), "as often as the reader");
    assert_eq!(other.count("list"), before.1, "not at all");
    assert!(other.peers.is_substitute_reader() != substitute.peers.is_substitute_reader());
}

#[tokio::test(start_paused = true)]
async fn only_the_gateways_that_read_for_others_call_an_unreachable_store_often() {
    let store = mem::open();
    let substitute = spawn(&store, 1, &[1, 2]);
    let other = spawn(&store, 2, &[1, 2]);
    for feed in [&substitute, &other] {
        feed.routing.record_traffic();
    }
    wait(100).await;
    store.set_fault(Fault::Down);
    wait(10_000).await;
    assert!(15 <= substitute.count_failed(), "{}", substitute.count_failed());
    assert!(other.count_failed() <= 4, "{}", other.count_failed());
}

#[tokio::test(start_paused = true)]
async fn gateway_that_lost_a_change_reads_the_list_only_if_it_gets_no_response() {
    let store = mem::open();
    let feed = spawn(&store, 2, &[1, 2]);
    feed.routing.record_traffic();
    wait(100).await;
    let reads = feed.count("list");
    let lost = ListChange { digest: 7, ..feed.current_change(100) };
    feed.routing.queue_change(NodeId(1), lost.clone(), feed.clock.now());
    wait(50).await;
    assert_eq!(feed.count("list"), reads, "the sender may still have the changes");
    let sent_again = feed.current_change(101);
    feed.routing.queue_change(NodeId(1), sent_again, feed.clock.now());
    wait(600).await;
    assert_eq!(feed.count("list"), reads, "no change is missing");
    feed.routing.queue_change(NodeId(1), lost, feed.clock.now());
    wait(100).await;
    let lost_again = ListChange { digest: 7, ..feed.current_change(102) };
    feed.routing.queue_change(NodeId(1), lost_again, feed.clock.now());
    wait(600).await;
    assert_eq!(feed.count("list"), reads + 1, "no response to the request");
}
