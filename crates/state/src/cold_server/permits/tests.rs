use rand::{Rng, SeedableRng, rngs::StdRng};

use super::*;
use crate::{
    cold_server::{ColdBounds, ColdStart},
    server_limit::permits,
    unit::RequestsPerSecond,
};

/// Requests that granter and substitute may grant in one second.
const MAX_GRANTED: usize = 32;

fn limit() -> ColdLimit {
    let start = ColdStart { duration: Duration::from_secs(3), per_s: RequestsPerSecond(26.0) };
    ColdLimit::new(start, ColdBounds { overage: 1.5, slack: 5.0 })
}

fn most_in_1s(granted_ms: &[u64]) -> usize {
    let in_1s =
        |from: u64| granted_ms.iter().filter(|it| (from..from + 1_000).contains(it)).count();
    granted_ms.iter().map(|it| in_1s(*it)).max().unwrap_or_default()
}

/// A bucket that was idle must not add a burst to what it grants in a second.
#[test]
fn granter_and_substitute_stay_below_the_bound_after_a_pause() {
    let mut most = 0;
    for granter in [ColdGranter::Granter, ColdGranter::Substitute] {
        let mut bucket = permits::open(Time::START);
        let times = 60_000..64_000;
        let granted: Vec<u64> = times
            .filter(|it| {
                let now = Time::from_millis(*it);
                take(&mut bucket, None, limit(), granter, now) == Permit::Granted
            })
            .collect();
        most += most_in_1s(&granted);
    }
    assert!((26..=MAX_GRANTED).contains(&most), "{most}");
}

/// Plays cut off gateways that ask all the time, and returns when tokens were used.
fn shares(gateways: usize, cut_off: usize, seed: u64) -> Vec<u64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut granted = Vec::new();
    for _ in 0..cut_off {
        let mut share = ColdShare::default();
        let mut ask_at = rng.random_range(0..500);
        while ask_at < 10_000 {
            match share.take(limit(), gateways, Time::from_millis(ask_at), rng.random()) {
                Permit::Granted => {
                    granted.push(ask_at);
                    ask_at += 1;
                }
                Permit::Denied { wait } => {
                    ask_at += u64::try_from(wait.as_millis()).unwrap().max(1);
                }
            }
        }
    }
    granted
}

/// With shares whose tokens are kept or due together, half of the gateways would send at
/// the same time.
#[test]
fn shares_of_half_of_the_gateways_leave_room_for_the_granter() {
    for gateways in [4, 15, 122, 2_500] {
        for seed in 1..=50 {
            let granted = shares(gateways, gateways / 2, seed);
            let most = most_in_1s(&granted);
            assert!(most + MAX_GRANTED <= 44, "{gateways} gateways, seed {seed}: {most}");
        }
    }
}

#[test]
fn token_of_a_share_expires() {
    let mut share = ColdShare::default();
    let limit = limit();
    let Permit::Denied { .. } = share.take(limit, 122, Time::START, 0.5) else {
        panic!("the first token is due later");
    };
    let interval_ms = (122.0 / limit.share_rate() * 1_000.0) as u64;
    let expired = Time::from_millis(interval_ms / 2 + 500);
    assert!(matches!(share.take(limit, 122, expired, 0.5), Permit::Denied { .. }));
    let due = Time::from_millis(interval_ms / 2 + interval_ms + 10);
    assert_eq!(share.take(limit, 122, due, 0.5), Permit::Granted, "the phase has changed");
}
