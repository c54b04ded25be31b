//! Plays the return of a zone's servers in virtual time: all are empty and cold, and most
//! gateways learn of them within the same half second.

#[path = "cold_zone_at_size/fleet.rs"]
mod fleet;

use self::fleet::{Load, Played, Rule};

/// Requests in any one second that a cold server may get: 26 x 1.5 + 5.
const BOUND: usize = 44;
/// Part of the requests that may find no server: denied by all cold ones, and the rest
/// full.
const MAX_REJECTED: f64 = 0.01;

/// Requests a second that a cold server gets at least: half of what it tolerates. Its
/// part of the load is 22.
const MIN_PER_S: f64 = 13.0;
/// Requests in flight at a warm server with 20 slots: the others of its model may wait
/// for one more round.
const MAX_BUSIEST: u32 = 40;

/// Three zones with 18 domains' replicas of a model and 540 requests a second, a third
/// of whose replicas returns.
const LOAD: Load =
    Load { gateways: 122, replicas: 24, returning: 8, requests_per_s: 540.0, seed: 1 };

#[test]
fn no_server_of_a_zone_that_returns_gets_more_than_it_may() {
    for (gateways, seed) in [(30, 1), (122, 1), (122, 2), (122, 3), (300, 4)] {
        check(&Load { gateways, seed, ..LOAD });
    }
}

/// Two thirds of the replicas return, with traffic that the rest cannot serve.
#[test]
fn bound_holds_where_most_servers_are_cold() {
    for seed in 1..=2 {
        let load = Load { returning: 16, seed, ..LOAD };
        let played = fleet::play(&load, Rule::Permits);
        println!("{load:?}: {played:?}");
        assert!(played.most_in_1s <= BOUND, "{load:?}: {played:?}");
    }
}

fn check(load: &Load) {
    let [none, permits] = [Rule::None, Rule::Permits].map(|it| fleet::play(load, it));
    println!("{} gateways, seed {}: before {none:?}, now {permits:?}", load.gateways, load.seed);
    let Played { most_in_1s, mean_per_s, rejected, busiest_warm } = permits;
    assert!(most_in_1s <= BOUND, "{load:?}: {most_in_1s} in one second");
    assert!(rejected <= MAX_REJECTED, "{load:?}: {rejected} rejected");
    assert!(MIN_PER_S <= mean_per_s, "{load:?}: {mean_per_s} a second at a cold server");
    assert!(busiest_warm <= MAX_BUSIEST, "{load:?}: {busiest_warm} at a warm server");
}
