use quickcheck::{Gen, QuickCheck};

use super::*;

const LIMIT: RequestsPerSecond = RequestsPerSecond(4.0);
const WINDOW: Duration = Duration::from_secs(4);

/// Requests granted in `seconds` of requests every `interval_ms`.
fn granted(limit: RequestsPerSecond, role: GranterRole, interval_ms: u64, seconds: u64) -> usize {
    let mut bucket = open(Time::START);
    let times = (0..seconds * 1_000).step_by(usize::try_from(interval_ms).unwrap());
    let permits = times.map(|it| bucket.take(limit, role, Time::from_millis(it)));
    permits.filter(|it| *it == Permit::Granted).count()
}

#[test]
fn bucket_starts_empty_and_grants_the_part_of_its_role() {
    let cases = [
        (GranterRole::Granter, 39..=40),
        (GranterRole::Substitute, 9..=10),
        (GranterRole::Isolated { gateways: 4 }, 9..=10),
    ];
    for (role, expected) in cases {
        let granted = granted(LIMIT, role, 1, 10);
        assert!(expected.contains(&granted), "{role:?}: {granted}");
    }
}

#[test]
fn pause_adds_the_capacity_at_most() {
    let mut bucket = open(Time::START);
    let later = Time::from_millis(60_000);
    let permits = (0..10).map(|_| bucket.take(LIMIT, GranterRole::Granter, later));
    assert_eq!(permits.filter(|it| *it == Permit::Granted).count(), 3);
}

#[test]
fn server_with_a_limit_of_zero_gets_a_trial_request() {
    let granted = granted(RequestsPerSecond(0.0), GranterRole::Granter, 100, 61);
    assert_eq!(granted, 6);
}

#[test]
fn denied_requests_wait_for_tokens_of_their_own() {
    let mut bucket = open(Time::START);
    let mut wait_ms = || match bucket.take(LIMIT, GranterRole::Granter, Time::START) {
        Permit::Granted => 0,
        Permit::Denied { wait } => wait.as_millis(),
    };
    assert_eq!([wait_ms(), wait_ms(), wait_ms()], [250, 500, 750]);
    let longest = (0..100).map(|_| wait_ms()).max().unwrap();
    assert_eq!(longest, MAX_WAIT.as_millis());
}

#[test]
fn repeated_request_takes_no_second_token() {
    let mut bucket = open(Time::START);
    let now = Time::from_millis(250);
    let mut take = |number, now| {
        let request = PermitRequestId { from: NodeId(1), number };
        bucket.take_for(request, LIMIT, GranterRole::Granter, now) == Permit::Granted
    };
    assert!(take(1, now));
    assert!(take(1, now));
    assert!(!take(2, now));
    let later = now + Duration::from_millis(250);
    assert!(take(2, later), "one token was due");
    assert!(!take(1, later), "the first request is forgotten");
}

/// Whether the requests granted at these intervals stay within the limit in any four
/// seconds.
fn windows_hold_the_rate_and_a_full_bucket_at_most(gaps_ms: Vec<u8>) -> bool {
    let (mut bucket, mut now, mut granted) = (open(Time::START), Time::START, Vec::new());
    for gap_ms in gaps_ms {
        now = now + Duration::from_millis(gap_ms.into());
        if bucket.take(LIMIT, GranterRole::Granter, now) == Permit::Granted {
            granted.push(now);
        }
    }
    let window = |from: Time| {
        granted.iter().filter(move |it| from <= **it && it.since(from) < WINDOW).count()
    };
    granted.iter().all(|it| window(*it) as f64 <= LIMIT.0 * (WINDOW + CAPACITY).as_secs_f64())
}

#[test]
fn four_seconds_never_hold_more_than_the_rate_and_a_full_bucket() {
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(400, 1));
    check.quickcheck(windows_hold_the_rate_and_a_full_bucket_at_most as fn(Vec<u8>) -> bool);
}
