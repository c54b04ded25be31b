use super::*;

const TIMES: Estimates = Estimates {
    first_event: Duration::from_millis(90),
    hold: Duration::from_millis(1_100),
    wait_factor: 1.0,
    wait_correction_s: 0.0,
    share: 1.0,
};

const REQUEST: FirstTry =
    FirstTry { target_latency: Duration::from_millis(250), remaining: Duration::from_secs(6) };

fn pool(requests: f64) -> PoolLoad {
    PoolLoad { requests, slots: 720.0 }
}

fn probability(requests: f64, times: &Estimates) -> f64 {
    judge(&REQUEST, &pool(requests), times, 1.0, 0.0).probability
}

/// Guards against rejections while capacity is free, whatever the requests' times.
#[test]
fn nothing_is_rejected_while_a_slot_is_free() {
    let slow = Estimates { first_event: Duration::from_secs(2), wait_factor: 10.0, ..TIMES };
    for times in [TIMES, slow] {
        for requests in [0.0, 528.0, 719.0, 720.0] {
            let judgement = judge(&REQUEST, &pool(requests), &times, 0.0, 0.0);
            assert_eq!((judgement.probability, judgement.retry_after), (0.0, None));
        }
    }
}

/// Guards against a division by zero where servers report no slots.
#[test]
fn pool_without_slots_admits_everything() {
    let unknown = PoolLoad { requests: 50.0, slots: 0.0 };
    assert_eq!(judge(&REQUEST, &unknown, &TIMES, 0.0, 0.0).retry_after, None);
}

/// Guards against a common threshold, at which all gateways reject or admit together,
/// and against a class that gets nothing at all.
#[test]
fn probability_rises_with_the_wait_and_stays_below_one() {
    let rising: Vec<f64> = [740.0, 800.0, 900.0].map(|it| probability(it, &TIMES)).into();
    assert!(rising.is_sorted() && 0.0 < rising[0] && rising[0] < 0.2, "{rising:?}");
    assert_eq!(probability(10_000.0, &TIMES), MAX_PROBABILITY);
}

/// Guards against a more urgent class that is rejected first because it is judged by
/// requests that run after it.
#[test]
fn less_urgent_requests_are_rejected_first() {
    let mut times = ServiceTimes::default();
    for _ in 0..20 {
        times.record_first_event(Duration::from_millis(90), true);
        times.record_end(Duration::from_millis(1_010));
        for priority in [0, 0, 1, 1, 2] {
            times.record_arrival(priority);
        }
    }
    let of = |priority| probability(760.0, &times.estimates(priority).unwrap());
    assert!(of(0) < of(1) && of(1) < of(2), "{} {} {}", of(0), of(1), of(2));
}

/// Guards against callers that return before they count as late, or after more than
/// they honour, and against all returning together.
#[test]
fn retry_after_is_spread_above_the_target_and_within_a_third_of_the_time() {
    let after = |remaining_ms, spread| {
        let request = FirstTry { remaining: Duration::from_millis(remaining_ms), ..REQUEST };
        judge(&request, &pool(900.0), &TIMES, 0.0, spread).retry_after.unwrap()
    };
    assert_eq!(after(6_000, 0.0), Duration::from_millis(375));
    assert_eq!(after(6_000, 1.0), Duration::from_millis(750));
    assert!(after(900, 1.0) <= Duration::from_millis(300));
}
