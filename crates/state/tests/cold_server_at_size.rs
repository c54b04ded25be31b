//! Plays many gateways before one server that starts during traffic, in virtual time. The
//! server is the first choice of far more requests than it tolerates while cold.

#[path = "cold_server_at_size/cluster.rs"]
mod cluster;

use std::time::Duration;

use citrongw_state::time::Time;

use self::cluster::{COLD_START, Fault, Load, Played, Policy, START};

/// Requests in any one second that the settings allow: 26 x 1.5 + 5.
const BOUND: usize = 44;
/// Part of what a cold server tolerates that it gets while no gateway fails.
const MIN_USED: f64 = 0.5;
/// Longest time that a request waits for a permit: two exchanges that time out.
const MAX_WAIT: Duration = Duration::from_millis(100);
const SIZES: [usize; 3] = [15, 122, 2_500];
const SEEDS: u64 = 20;

const LOAD: Load = Load {
    gateways: 122,
    // Requests of a model with two thirds of 540 a second, of which a server that looked
    // empty would attract nearly all.
    requests_per_s: 360.0,
    loss: 0.03,
    cut_off: 0.0,
    fault: Fault::None,
    unnoticed_per_s: 0.0,
    repeats: 1,
    seed: 1,
};

#[test]
fn bound_holds_and_what_the_server_tolerates_is_used() {
    for gateways in SIZES {
        check(&Load { gateways, ..LOAD }, MIN_USED);
    }
}

/// Gateways that reach neither the key-value service nor other gateways still count.
#[test]
fn bound_holds_with_half_of_the_gateways_cut_off() {
    for gateways in SIZES {
        check(&Load { gateways, cut_off: 0.5, ..LOAD }, 0.0);
    }
}

#[test]
fn bound_holds_with_all_gateways_cut_off() {
    for gateways in SIZES {
        check(&Load { gateways, cut_off: 1.0, ..LOAD }, 0.0);
    }
}

#[test]
fn bound_holds_while_the_granter_is_killed_slow_or_partitioned() {
    for fault in [Fault::GranterKilled, Fault::GranterSlow, Fault::GranterPartitioned] {
        for cut_off in [0.0, 0.5] {
            for gateways in SIZES {
                check(&Load { gateways, cut_off, fault, ..LOAD }, 0.0);
            }
        }
    }
}

/// A bucket that was used in one cold phase must not add to the next one.
#[test]
fn bound_holds_for_a_server_that_restarts_again_and_again() {
    for gateways in SIZES {
        check(&Load { gateways, cut_off: 0.5, repeats: 4, ..LOAD }, 0.0);
    }
}

/// A server that becomes cold again gets its usual part of 540 requests a second for 24
/// servers until its entry is read, up to two seconds later, and from gateways that are
/// cut off all the time. Its level is its own load, so that it attracts no more than a few
/// requests beyond that part once it is known to be cold.
#[test]
fn bound_holds_for_a_server_that_becomes_cold_without_notice() {
    for cut_off in [0.0, 0.5] {
        for gateways in SIZES {
            let load = Load { requests_per_s: 30.0, unnoticed_per_s: 22.5, ..LOAD };
            check(&Load { gateways, cut_off, ..load }, 0.0);
        }
    }
}

#[test]
fn bound_holds_with_many_lost_datagrams() {
    for gateways in SIZES {
        check(&Load { gateways, loss: 0.2, ..LOAD }, 0.0);
    }
}

fn check(load: &Load, min_used: f64) {
    for policy in [Policy::Permits, Policy::SharesOnly, Policy::ServerLimit, Policy::None] {
        let (mut most, mut used, mut wait) = (0, 0.0, Duration::ZERO);
        for seed in 1..=SEEDS {
            let load = Load { seed, ..*load };
            let played = cluster::play(&load, policy);
            let of_seed = most_in_1s(&played);
            if policy == Policy::Permits {
                assert!(of_seed <= BOUND, "{load:?}: {of_seed} in one second");
                assert!(played.max_wait <= MAX_WAIT, "{load:?}: {:?}", played.max_wait);
            }
            most = most.max(of_seed);
            used += used_part(&played) / SEEDS as f64;
            wait = wait.max(played.max_wait);
        }
        println!(
            "{} gateways, {:.0}% cut off, {:?}, {policy:?}: {most} in 1 s, {used:.2} used, \
             longest wait {wait:?}",
            load.gateways,
            100.0 * load.cut_off,
            load.fault
        );
        if policy == Policy::Permits {
            assert!(min_used <= used, "{load:?}: {used:.2} used");
        }
    }
}

fn most_in_1s(played: &Played) -> usize {
    let received = &played.received;
    let second = Duration::from_secs(1);
    let until = |from: Time| received.partition_point(|it| *it < from + second);
    received.iter().enumerate().map(|(idx, at)| until(*at) - idx).max().unwrap_or_default()
}

/// Part of what the server tolerates that it gets in its first cold phase.
fn used_part(played: &Played) -> f64 {
    let until = START + COLD_START.duration;
    let count = played.received.iter().filter(|it| **it < until).count();
    count as f64 / (COLD_START.per_s.0 * COLD_START.duration.as_secs_f64())
}
