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

fn metered(store: &mem::MemStore, calls: &StoreCalls) -> Adapter {
    let subjects = vec![("config".into(), "configuration")];
    Adapter {
        store: metered_store::open(Arc::new(store.clone()), subjects, calls.clone()),
        codec: Arc::new(StubCodec),
        http: citrongw_transport::http_client::open(),
        instances: Arc::new(StubInstances),
    }
}

/// Many gateways start at once, before the operators have written a configuration: each
/// that watches for it makes calls that tell it nothing more than the list reader will.
#[tokio::test(start_paused = true)]
async fn starting_gateway_reads_the_configuration_by_cheap_reads_until_a_reader_appears() {
    let (store, calls, clock) = (mem::open(), StoreCalls::default(), clock::open());
    let adapter = metered(&store, &calls);
    let routing = Arc::new(feed::open());
    let peers = Arc::new(peers::open(NodeId(1), "a".into(), clock));
    let unreadable = UnreadableRecords::new(&metrics::open());
    let following = follow(adapter, Arc::clone(&routing), peers, unreadable, clock);
    let _ = timeout(STARTUP_TIME - STARTUP_READ_INTERVAL, following).await;
    let totals = calls.totals();
    let made = |call: &str| -> u64 {
        totals.iter().filter(|(label, _)| label.to_string().contains(call)).map(|it| it.1).sum()
    };
    assert_eq!((made(" get "), made(" watch ")), (1, 0), "{totals:?}");
    assert!(5 <= made(" list_stale "), "{totals:?}");
}

#[tokio::test(start_paused = true)]
async fn store_that_is_down_gets_few_calls_from_each_gateway() {
    let (store, calls, clock) = (mem::open(), StoreCalls::default(), clock::open());
    let adapter = metered(&store, &calls);
    let peers = Arc::new(peers::open(NodeId(1), "a".into(), clock));
    let unreadable = UnreadableRecords::new(&metrics::open());
    store.set_fault(Fault::Down);
    let following = follow(adapter, Arc::new(feed::open()), peers, unreadable, clock);
    // Ten seconds of calls that fail at once.
    let _ = timeout(Duration::from_secs(10), following).await;
    let made: u64 = calls.totals().values().sum();
    assert!((5..=12).contains(&made), "{made}");
}
