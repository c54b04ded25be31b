//! Tests of the guard, on the paused clock.

use std::net::{Ipv4Addr, SocketAddr};

use citrongw_fakes::kv::mem::{self, Fault, MemStore};
use citrongw_state::{id::NodeId, time::Time};

use super::*;
use crate::{
    clock,
    node_view::{self, NodeInfo},
};

fn guarded() -> (MemStore, StoreGuard, Clock) {
    let peer_addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let this = NodeInfo { id: NodeId(1), zone: "a".into(), region: "r".into(), peer_addr };
    let (store, clock) = (mem::open(), clock::open());
    let guard = open(Arc::new(store.clone()), clock, Arc::new(node_view::open(this)));
    (store, guard, clock)
}

#[tokio::test(start_paused = true)]
async fn few_calls_are_sent_to_an_unresponsive_service() {
    let (store, guard, clock) = guarded();
    store.set_fault(Fault::Down);
    while clock.now() < Time::from_millis(60_000) {
        guard.get("key".into()).await.unwrap_err();
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let counts = guard.counters().snapshot();
    // Of 1,200 calls, 60 are sent until the breaker opens, then fewer than one a
    // second.
    assert!(counts.failed < 60 + 57, "{counts:?}");
    assert_eq!(counts.rejected + counts.failed, 1200);
    // The breaker closes within the longest pause after the service recovers.
    store.set_fault(Fault::None);
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert!(guard.get("key".into()).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn calls_stay_within_the_rate() {
    let (_, guard, clock) = guarded();
    let mut sent = 0.0;
    while clock.now() < Time::from_millis(20_000) {
        sent += 1.0;
        guard.list("key".into()).await.unwrap();
    }
    assert!(sent <= READS_PER_S * 23.0, "{sent}");
    assert!(0 < guard.counters().snapshot().delayed);
}

#[tokio::test(start_paused = true)]
async fn open_watches_are_counted_and_bounded() {
    let (_, guard, _) = guarded();
    let mut watches = Vec::new();
    for _ in 0..MAX_WATCHES {
        watches.push(guard.watch("key".into(), Revision::new(0)).await.ok());
    }
    assert!(guard.watch("key".into(), Revision::new(0)).await.is_err());
    assert_eq!(guard.counters().snapshot().open_watches, MAX_WATCHES);
    watches.clear();
    assert_eq!(guard.counters().snapshot().open_watches, 0);
}
