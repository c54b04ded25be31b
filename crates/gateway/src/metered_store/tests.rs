use citrongw_fakes::kv::mem;
use citrongw_protocol::store::{Change, Expected};

use super::*;

#[tokio::test]
async fn calls_are_counted_by_subject() {
    let calls = StoreCalls::default();
    let subjects = vec![("a/b/".into(), "inner"), ("a/".into(), "outer")];
    let store = open(Arc::new(mem::open()), subjects, calls.clone());
    let write = |key: &str| Write {
        key: key.into(),
        expected: Expected::Absent,
        change: Change::Put("x".into()),
        lease: None,
    };
    store.compare_and_swap(write("a/b/1")).await.unwrap();
    store.compare_and_swap(write("a/1")).await.unwrap();
    store.get("c".into()).await.unwrap();
    store.list("a/".into()).await.unwrap();
    store.list("a/".into()).await.unwrap();
    let totals: Vec<String> =
        calls.totals().iter().map(|(labels, total)| format!("{labels}: {total}")).collect();
    assert_eq!(
        totals,
        [
            "inner write answered: 1",
            "other get answered: 1",
            "outer list answered: 2",
            "outer write answered: 1",
        ]
    );
}
