use super::*;

fn millis(it: u64) -> Duration {
    Duration::from_millis(it)
}

fn learned() -> ServiceTimes {
    let mut times = ServiceTimes::default();
    for _ in 0..MIN_SAMPLES {
        times.record_first_event(millis(90), true);
    }
    for _ in 0..MIN_SAMPLES {
        times.record_end(millis(1_010));
    }
    times
}

/// Guards against decisions from a few samples after the start.
#[test]
fn nothing_is_known_until_enough_responses_were_seen() {
    let mut times = ServiceTimes::default();
    for _ in 1..MIN_SAMPLES {
        times.record_first_event(millis(90), true);
        times.record_end(millis(1_010));
    }
    assert_eq!(times.estimates(0), None);
    let known = learned().estimates(0).unwrap();
    assert_eq!((known.first_event.as_millis(), known.hold.as_millis()), (90, 1_100));
}

/// Guards against a base that grows with the queue, which would hide the overload.
#[test]
fn first_events_from_full_servers_do_not_count() {
    let mut times = learned();
    for _ in 0..1_000 {
        times.record_first_event(millis(900), false);
    }
    assert_eq!(times.estimates(0).unwrap().first_event.as_millis(), 90);
}

/// Guards against one caller that reads its response very slowly.
#[test]
fn extreme_sample_is_bounded() {
    let mut times = learned();
    times.record_end(Duration::from_secs(3_600));
    assert!(times.estimates(0).unwrap().hold < millis(2_500));
}

/// Guards against rejections of newcomers because of late requests in the servers'
/// queues, which run after them.
#[test]
fn measured_waits_shorten_the_expected_one_but_do_not_lengthen_it() {
    let (mut shorter, mut longer) = (learned(), learned());
    for _ in 0..40 {
        shorter.record_wait(0, millis(150), millis(400));
        longer.record_wait(0, millis(900), millis(400));
    }
    let wait = |times: &ServiceTimes| times.estimates(0).unwrap().wait(millis(400));
    assert!(wait(&shorter) < millis(200), "{:?}", wait(&shorter));
    assert_eq!(wait(&longer), millis(400));
    assert_eq!(shorter.estimates(0).unwrap().wait(Duration::ZERO), Duration::ZERO);
}

/// Guards against a sole priority that is judged by another wait than the pool's.
#[test]
fn sole_priority_waits_as_long_as_the_pool_implies() {
    let mut times = learned();
    for _ in 0..100 {
        times.record_arrival(1);
    }
    let known = times.estimates(1).unwrap();
    assert!((known.wait_factor - 1.0).abs() < 1e-9 && (known.share - 1.0).abs() < 1e-9);
}
