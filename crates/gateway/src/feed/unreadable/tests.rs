use bytes::Bytes;

use super::*;
use crate::metrics;

#[test]
fn unreadable_record_counts_once_for_each_change() {
    let metrics = metrics::open();
    let unreadable = UnreadableRecords::new(&metrics);
    let error = CodecError { message: "nonsense".to_owned() };
    let entry = |key: &str, revision| Entry {
        key: key.into(),
        value: Bytes::new(),
        revision: Revision::new(revision),
    };
    for _ in 0..3 {
        unreadable.add(&entry("a/1", 7), &error);
    }
    assert_eq!(metrics.unreadable_records().get(), 1);
    unreadable.add(&entry("a/1", 8), &error);
    unreadable.add(&entry("b/1", 8), &error);
    assert_eq!(metrics.unreadable_records().get(), 3);
    unreadable.retain(&"a/".into(), |_| false);
    unreadable.add(&entry("b/1", 8), &error);
    assert_eq!(metrics.unreadable_records().get(), 3, "a record under another prefix stays known");
    unreadable.add(&entry("a/1", 8), &error);
    assert_eq!(metrics.unreadable_records().get(), 4, "the record was gone and is back");
}
