//! Cases of shared limits.

use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn bucket_keeps_to_its_rate() {
    let bucket = ShareBucket::default();
    bucket.set_rate(RequestsPerSecond(10.0));
    let start_ms = 1000;
    let passed = (0..10_000).filter(|ms| bucket.take(Time::from_millis(start_ms + ms)).is_ok());
    let passed = passed.count();
    // Ten seconds, and the burst of one.
    assert!((100..=110).contains(&passed), "{passed}");
}

#[test]
fn shares_never_sum_to_more_than_the_whole() {
    let mut tables = vec![ShareTable::default(); 3];
    let demand = |node: usize, second: u64| match (node, second) {
        (0, 10..) => 0.0,
        (1, 10..) | (0, _) => 90.0,
        _ => 10.0,
    };
    for second in 0..30 {
        let now = Time::START + SECOND * second;
        for (node, table) in tables.iter_mut().enumerate() {
            table.update_own(RequestsPerSecond(demand(node, second.into())), now);
        }
        // News arrives two seconds after it was told.
        for (to, table) in tables.iter_mut().enumerate() {
            for from in (0..3).filter(|it| *it != to) {
                if let Some(told) = second.checked_sub(2) {
                    let rate = RequestsPerSecond(demand(from, told.into()));
                    table.record_report(NodeId(from as u64), told.into(), rate, now);
                }
            }
        }
        let sum: f64 = tables.iter().map(|it| it.share(3, now).0).sum();
        assert!(sum <= 1.0 + 1e-9, "second {second}: {sum}");
        if second == 29 {
            assert!(0.99 < sum, "{sum}");
        }
    }
}
