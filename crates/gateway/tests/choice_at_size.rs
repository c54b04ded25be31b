//! Plays a load of many gateways and replicas in virtual time and checks how
//! long callers wait for their first event.

#[path = "choice_at_size/fleet.rs"]
mod fleet;

use std::time::Duration;

use self::fleet::{Load, Placement};

/// Time to the first event that 9 in 10 callers get at this size.
const FIRST_EVENT_P90: Duration = Duration::from_millis(400);

/// 95 gateways in 5 zones with uneven traffic before 100 replicas, three
/// quarters of whose slots are taken.
const FULL_DAY: Load = Load {
    zone_requests_per_s: &[194.0, 194.0, 144.0, 171.0, 188.0],
    gateways_per_zone: 19,
    replicas_per_zone: 20,
    down_in_first_zone: 0,
    slow_every: 0,
    length: Duration::from_secs(8),
    seed: 1,
};

/// The same with a fifth of the first zone's replicas down.
const DOMAIN_DOWN: Load = Load { down_in_first_zone: 4, ..FULL_DAY };

/// The same with most of the first zone's replicas down.
const ZONE_DOWN: Load = Load { down_in_first_zone: 16, ..FULL_DAY };

/// The same with one replica in six slow.
const SLOW_REPLICAS: Load = Load { slow_every: 6, ..FULL_DAY };

#[test]
fn replicas_of_many_gateways_fill_evenly() {
    check(&FULL_DAY);
}

#[test]
fn zone_that_lost_replicas_uses_those_of_others() {
    check(&DOMAIN_DOWN);
}

#[test]
fn zone_that_lost_most_replicas_leaves_none_idle_elsewhere() {
    check(&ZONE_DOWN);
}

#[test]
fn slow_replicas_do_not_delay_callers_while_others_have_free_slots() {
    check(&SLOW_REPLICAS);
}

fn check(load: &Load) {
    let choosing = fleet::play(load, Placement::Gateways);
    let best = fleet::play(load, Placement::AllKnowing);
    let random = fleet::play(load, Placement::Random);
    println!("gateways {choosing}\nall-knowing {best}\nrandom {random}");
    assert!(choosing.p90 <= FIRST_EVENT_P90, "p90 of the first event is {:?}", choosing.p90);
}
