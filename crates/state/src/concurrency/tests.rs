//! Tests of the concurrency limit.

use super::*;

const TARGET: Duration = Duration::from_millis(500);
const FAST: Sample = Sample::FirstToken(Duration::from_millis(200));
const SLOW: Sample = Sample::FirstToken(Duration::from_millis(900));

#[test]
fn grows_only_while_fully_used() {
    let limit = ConcurrencyLimit::default();
    let start = limit.get();
    for _ in 0..100 {
        limit.add(FAST, 1, TARGET, Time::START);
    }
    assert_eq!(limit.get(), start);
    for grown in 1..=start {
        limit.add(FAST, start + grown, TARGET, Time::START);
        assert_eq!(limit.get(), start + grown);
    }
}

#[test]
fn grows_by_one_per_round_once_it_has_shrunk() {
    let limit = ConcurrencyLimit::default();
    limit.add(SLOW, limit.get(), TARGET, Time::from_millis(10));
    let shrunk = limit.get();
    for _ in 0..shrunk + 1 {
        limit.add(FAST, shrunk, TARGET, Time::from_millis(10));
    }
    assert_eq!(limit.get(), shrunk + 1);
}

#[test]
fn shrinks_once_per_round_and_never_below_one() {
    let limit = ConcurrencyLimit::default();
    let start = limit.get();
    for _ in 0..50 {
        limit.add(SLOW, start, TARGET, Time::from_millis(10));
    }
    assert_eq!(limit.get(), (f64::from(start) * SHRINK_FACTOR) as u32);
    for round in 1..200 {
        limit.add(Sample::Overloaded, start, TARGET, Time::from_millis(10 + round * 1000));
    }
    assert_eq!(limit.get(), 1);
}
