use citrongw_coordination::clock;
use citrongw_fakes::kv::mem::{self, Fault};
use citrongw_state::id::NodeId;

use super::*;
use crate::{
    feed,
    metered_store::{self, StoreCalls},
    metrics, peers,
    testing::{StubCodec, StubInstances},
};

#[tokio::test(start_paused = true)]
async fn store_that_is_down_gets_few_calls_from_each_gateway() {
    let (store, calls, clock) = (mem::open(), StoreCalls::default(), clock::open());
    let subjects = vec![("config".into(), "configuration")];
    let adapter = Adapter {
        store: metered_store::open(Arc::new(store.clone()), subjects, calls.clone()),
        codec: Arc::new(StubCodec),
        http: citrongw_transport::http_client::open(),
        instances: Arc::new(StubInstances),
    };
    let peers = Arc::new(peers::open(NodeId(1), "a".into(), clock));
    let unreadable = UnreadableRecords::new(&metrics::open());
    store.set_fault(Fault::Down);
    let following = follow(adapter, Arc::new(feed::open()), peers, unreadable, clock);
    // Ten seconds of calls that fail at once.
    let _ = timeout(Duration::from_secs(10), following).await;
    let made: u64 = calls.totals().values().sum();
    assert!((5..=12).contains(&made), "{made}");
}
