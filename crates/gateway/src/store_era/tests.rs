use bytes::Bytes;
use citrongw_fakes::kv::mem::{self, MemStore};
use citrongw_protocol::store::Change;

use super::*;

const TTL: Duration = Duration::from_secs(10);

fn open_wrapped(store: &MemStore) -> (Arc<dyn Store>, NewestEra) {
    let newest = open();
    (wrap(Arc::new(store.clone()), newest.clone()), newest)
}

fn put(key: &str, expected: Expected, lease: Option<LeaseId>) -> Write {
    Write { key: key.into(), expected, change: Change::Put(Bytes::from_static(b"x")), lease }
}

fn restore(store: &MemStore) {
    store.inspect(|core| {
        let backup = core.clone();
        core.restore(backup);
    });
}

#[tokio::test(start_paused = true)]
async fn lease_of_an_earlier_era_neither_renews_nor_ends_that_of_another() {
    let store = mem::open();
    let backup = store.inspect(|core| core.clone());
    let (first, _) = open_wrapped(&store);
    let (second, _) = open_wrapped(&store);
    let lost = first.grant_lease(TTL).await.unwrap();
    store.inspect(|core| core.restore(backup));
    let granted = second.grant_lease(TTL).await.unwrap();
    assert_eq!(lost.id, granted.id, "the id is granted again");
    second.compare_and_swap(put("k", Expected::Absent, Some(granted))).await.unwrap();
    first.get("k".into()).await.unwrap();
    assert!(matches!(first.renew_lease(lost).await, Err(StoreError::Refused { .. })));
    first.end_lease(lost).await.unwrap();
    assert!(second.get("k".into()).await.unwrap().into_entry().is_some());
}

#[tokio::test(start_paused = true)]
async fn write_that_expects_a_revision_of_an_earlier_era_is_refused() {
    let store = mem::open();
    let (wrapped, newest) = open_wrapped(&store);
    let write = wrapped.compare_and_swap(put("k", Expected::Absent, None)).await.unwrap();
    let WriteResult::Committed(revision) = write else { panic!("{write:?}") };
    restore(&store);
    // The client does not know of the restore yet; the number fits by chance.
    let expected = Expected::Revision(revision);
    let unnoticed = wrapped.compare_and_swap(put("k", expected, None)).await;
    assert_eq!(unnoticed, Err(StoreError::NoResponse));
    assert_eq!(newest.get(), StoreEra(1));
    let noticed = wrapped.compare_and_swap(put("k", expected, None)).await;
    assert!(matches!(noticed, Err(StoreError::Refused { .. })), "{noticed:?}");
}

#[tokio::test(start_paused = true)]
async fn response_of_an_earlier_era_is_dropped() {
    let store = mem::open();
    let (wrapped, newest) = open_wrapped(&store);
    newest.record(StoreEra(1));
    assert_eq!(wrapped.get("k".into()).await, Err(StoreError::NoResponse));
    assert_eq!(wrapped.grant_lease(TTL).await, Err(StoreError::NoResponse));
    restore(&store);
    assert!(wrapped.get("k".into()).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn first_response_begins_no_new_era_and_a_restore_does() {
    let store = mem::open();
    restore(&store);
    let (wrapped, newest) = open_wrapped(&store);
    wrapped.get("k".into()).await.unwrap();
    assert_eq!(newest.wait_after(StoreEra(1)).now_or_never(), None);
    restore(&store);
    wrapped.get("k".into()).await.unwrap();
    assert_eq!(newest.wait_after(StoreEra(1)).now_or_never(), Some(()));
}
