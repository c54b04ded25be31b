//! The drivers of claims against the stand-in of the key-value service, on a
//! paused clock.

use std::{sync::Arc, time::Duration};

use citrongw_coordination::{
    claims::{
        driver::{self, ClaimResult, Claims},
        shard::Verdict,
    },
    clock,
    node_view::{self, NodeInfo},
};
use citrongw_fakes::kv::mem::{self, Fault, MemStore};
use citrongw_protocol::{claim, store::Store};
use citrongw_state::{
    claim::{ClaimKey, ClaimPhase, ClaimRequest, RequestDigest, SettledOutcome, Settlement},
    id::{AttemptId, NodeId},
};
use tokio::time::Instant;

const DEADLINE: Duration = Duration::from_secs(1);

fn open_node(store: &MemStore, id: u64) -> Claims {
    let info = NodeInfo {
        id: NodeId(id),
        zone: "a".into(),
        region: "r".into(),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
    };
    let store: Arc<dyn Store> = Arc::new(store.clone());
    driver::spawn(&Arc::new(node_view::open(info)), &store, clock::open())
}

async fn claim(node: &Claims, key: u128, attempt: u128) -> ClaimResult {
    let request = ClaimRequest {
        key: ClaimKey(key),
        digest: RequestDigest(key),
        attempt: AttemptId(attempt),
        answer_bytes: 64,
        retention: Duration::from_secs(60),
    };
    node.claim(request, None, Instant::now() + DEADLINE).await
}

/// Claims in the service that are open.
async fn open_claims(store: &MemStore) -> usize {
    let snapshot = store.list(claim::CLAIM_PREFIX.into()).await.unwrap();
    let tables = snapshot.entries.iter().map(|it| claim::decode(&it.value).unwrap());
    let is_open =
        |claim: &citrongw_state::claim::Claim| matches!(claim.phase, ClaimPhase::Open { .. });
    tables.map(|table| table.claims().filter(|(_, it)| is_open(it)).count()).sum()
}

#[tokio::test(start_paused = true)]
async fn one_of_many_attempts_wins() {
    let store = mem::open();
    store.set_latency(Duration::from_millis(5));
    let nodes: Vec<Arc<Claims>> = (0..4).map(|id| Arc::new(open_node(&store, id))).collect();
    let mut tasks = Vec::new();
    for attempt in 0..80u128 {
        let node = Arc::clone(&nodes[attempt as usize % nodes.len()]);
        tasks.push(tokio::spawn(async move {
            match claim(&node, attempt % 10, attempt).await {
                ClaimResult::Won(permit) => {
                    permit.begin().settle(Settlement::Sent(SettledOutcome::Unknown)).await;
                    1
                }
                ClaimResult::Lost(Verdict::Open { .. } | Verdict::Settled { .. }) => 0,
                other => panic!("{other:?}"),
            }
        }));
    }
    let mut won = 0;
    for task in tasks {
        won += task.await.unwrap();
    }
    assert_eq!(won, 10);
    assert_eq!(open_claims(&store).await, 0);
}

#[tokio::test(start_paused = true)]
async fn a_dropped_permit_settles_its_attempt() {
    let store = mem::open();
    let node = open_node(&store, 1);
    let ClaimResult::Won(held) = claim(&node, 1, 1).await else { panic!() };
    drop(held);
    let ClaimResult::Won(held) = claim(&node, 1, 2).await else { panic!() };
    drop(held.begin());
    let ClaimResult::Lost(verdict) = claim(&node, 1, 3).await else { panic!() };
    let outcome = SettledOutcome::Unknown;
    assert_eq!(verdict, Verdict::Settled { outcome, attempt: AttemptId(2) });
    node.drain().await;
    assert_eq!(open_claims(&store).await, 0);
}

#[tokio::test(start_paused = true)]
async fn a_claim_that_could_not_be_made_leaves_nothing() {
    for fault in [Fault::Down, Fault::ReplyLost] {
        let store = mem::open();
        let node = open_node(&store, 1);
        store.set_fault(fault);
        let claimed = claim(&node, 1, 1).await;
        assert!(matches!(claimed, ClaimResult::Unavailable), "{fault:?} {claimed:?}");
        store.set_fault(Fault::None);
        node.drain().await;
        assert_eq!(open_claims(&store).await, 0, "{fault:?}");
        let claimed = claim(&node, 1, 2).await;
        assert!(matches!(claimed, ClaimResult::Won(_)), "{fault:?} {claimed:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_claim_that_comes_after_its_deadline_is_withdrawn() {
    let store = mem::open();
    let node = open_node(&store, 1);
    store.set_latency(DEADLINE * 3 / 4);
    let claimed = claim(&node, 1, 1).await;
    assert!(matches!(claimed, ClaimResult::Unavailable), "{claimed:?}");
    node.drain().await;
    assert_eq!(open_claims(&store).await, 0);
}

#[tokio::test(start_paused = true)]
async fn settlements_wait_for_the_service() {
    let store = mem::open();
    let node = Arc::new(open_node(&store, 1));
    let ClaimResult::Won(held) = claim(&node, 1, 1).await else { panic!() };
    store.set_fault(Fault::Down);
    let settle = held.begin().settle(Settlement::Sent(SettledOutcome::Unknown));
    assert!(tokio::time::timeout(DEADLINE * 300, settle).await.is_err());
    store.set_fault(Fault::None);
    node.drain().await;
    assert_eq!(open_claims(&store).await, 0);
}
