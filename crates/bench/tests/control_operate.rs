//! Operator changes of replica control over a store that loses replies.

use std::time::Duration;

use bytes::Bytes;
use citrongw_coordination::control::operator_change::{
    self, ChangeOutcome, OperatorChange, OperatorChangeError,
};
use citrongw_fakes::kv::mem::{self, Fault, MemStore};
use citrongw_protocol::{
    record::{DomainRecord, domain_key},
    store::{Change, Expected, Store, Write},
};
use citrongw_state::id::{AttemptId, FabricDomainId, Incarnation};

const ATTEMPT: AttemptId = AttemptId(7);

async fn open() -> (MemStore, FabricDomainId, OperatorChange) {
    let store = mem::open();
    let domain = FabricDomainId::from("a");
    let value = serde_json::to_vec(&DomainRecord::default()).unwrap();
    let write = Write {
        key: domain_key(&domain),
        expected: Expected::Absent,
        change: Change::Put(Bytes::from(value)),
        lease: None,
    };
    store.compare_and_swap(write).await.unwrap();
    (store, domain, OperatorChange::Leave("i".into(), Incarnation(1)))
}

async fn record(store: &MemStore, domain: &FabricDomainId) -> DomainRecord {
    let entry = store.get(domain_key(domain)).await.unwrap().into_entry().unwrap();
    serde_json::from_slice(&entry.value).unwrap()
}

#[tokio::test(start_paused = true)]
async fn a_change_whose_reply_was_lost_is_looked_up() {
    let (store, domain, change) = open().await;
    store.set_latency(Duration::from_millis(100));
    let request = operator_change::request_change(&store, &domain, &change, ATTEMPT);
    let lose_reply = async {
        // The read succeeds; the reply to the write is lost.
        tokio::time::sleep(Duration::from_millis(150)).await;
        store.set_fault(Fault::ReplyLost);
        tokio::time::sleep(Duration::from_millis(100)).await;
        store.set_fault(Fault::None);
    };
    let (res, ()) = tokio::join!(request, lose_reply);
    assert!(matches!(res, Ok(ChangeOutcome::Committed(_))), "{res:?}");
    assert_eq!(record(&store, &domain).await.leaving.len(), 1);
    let again = operator_change::request_change(&store, &domain, &change, ATTEMPT).await;
    assert!(matches!(again, Ok(ChangeOutcome::Committed(_))), "{again:?}");
    assert_eq!(record(&store, &domain).await.asked, [ATTEMPT]);
}

#[tokio::test(start_paused = true)]
async fn an_outage_is_reported_as_no_answer() {
    let (store, domain, change) = open().await;
    store.set_fault(Fault::Down);
    let res = operator_change::request_change(&store, &domain, &change, ATTEMPT).await;
    assert_eq!(res, Err(OperatorChangeError::NoAnswer));
    store.set_fault(Fault::None);
    assert!(record(&store, &domain).await.leaving.is_empty());
}
