use citrongw_fakes::kv::mem;

use super::*;

const TTL: Duration = Duration::from_secs(2);

async fn claim_as(store: &mem::MemStore, value: &str) -> Option<LeaseId> {
    claim(store, "key".into(), value.to_owned(), TTL).await.unwrap()
}

fn is_written(store: &mem::MemStore) -> bool {
    store.inspect(|core| core.get(&"key".into()).into_entry().is_some())
}

#[tokio::test(start_paused = true)]
async fn own_key_is_claimed_again_under_a_new_lease_and_anothers_is_not() {
    let store = mem::open();
    let first = claim_as(&store, "a").await.unwrap();
    assert_eq!(claim_as(&store, "b").await, None);
    let second = claim_as(&store, "a").await.unwrap();
    store.end_lease(first).await.unwrap();
    assert!(is_written(&store), "the key is attached to the new lease");
    store.end_lease(second).await.unwrap();
    assert!(!is_written(&store));
}
