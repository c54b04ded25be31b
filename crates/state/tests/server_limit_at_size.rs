//! Plays many gateways before one server that states a limit, in virtual time, with
//! datagrams that are lost or late and gateways that restart.

#[path = "server_limit_at_size/cluster.rs"]
mod cluster;

use std::time::Duration;

use citrongw_state::{time::Time, unit::RequestsPerSecond};

use self::cluster::{Load, Phase, Policy};

/// Span over which the requests at a server are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from a server's first statement of a limit until the limit must hold.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Part of a limit that is used while there are enough requests.
const MIN_USED: f64 = 0.9;

/// Request for a permit, reply, and statement for the granter.
const DATAGRAMS_PER_REQUEST: f64 = 3.0;
/// Begins and ends of limits, and changes between them.
const CHANGES: f64 = 5.0;

/// A server that states a limit, doubles it, and states none again.
const PHASES: [Phase; 3] = [
    Phase { from_s: 2, until_s: 22, limit: RequestsPerSecond(4.0) },
    Phase { from_s: 22, until_s: 40, limit: RequestsPerSecond(8.0) },
    Phase { from_s: 46, until_s: 60, limit: RequestsPerSecond(6.9) },
];

const SMALL: Load = Load {
    gateways: 15,
    requests_per_s: 40.0,
    loss: 0.03,
    restarts_per_s: 0.0,
    phases: &PHASES,
    length_s: 60,
    seed: 1,
};

#[test]
fn limit_holds_and_is_used_with_15_95_and_2500_gateways() {
    for gateways in [15, 95, 2_500] {
        check(&Load { gateways, ..SMALL });
    }
}

#[test]
fn limit_holds_and_is_used_while_gateways_restart() {
    for (gateways, restarts_per_s) in [(15, 0.3), (95, 2.0), (2_500, 5.0)] {
        check(&Load { gateways, restarts_per_s, ..SMALL });
    }
}

#[test]
fn limit_holds_with_many_lost_datagrams() {
    for seed in 1..=20 {
        check(&Load { loss: 0.1, seed, ..SMALL });
    }
}

#[test]
fn requests_reach_the_server_freely_once_its_limit_has_ended() {
    for gateways in [15, 95] {
        let load = Load { gateways, requests_per_s: 400.0, ..SMALL };
        let received = cluster::play(&load, Policy::Granter).received;
        let served = count(&received, Time::from_millis(42_000), Time::from_millis(46_000));
        assert!(0.9 * 4.0 * load.requests_per_s <= served as f64, "{gateways}: {served}");
    }
}

#[test]
fn datagrams_are_bounded_by_the_requests_and_the_changes_of_the_limit() {
    for (gateways, requests_per_s) in
        [15, 95, 300, 2_500].into_iter().flat_map(|it| [(it, 20.0), (it, 40.0)])
    {
        let load = Load { gateways, requests_per_s, ..SMALL };
        let played = cluster::play(&load, Policy::Granter);
        let (busiest, mean) = (played.busiest_datagrams_per_s, played.mean_datagrams_per_s);
        println!(
            "{gateways} gateways, {requests_per_s} requests/s: {busiest:.1} datagrams/s at the \
             busiest, mean {mean:.2}"
        );
        let news_per_s = CHANGES * gateways as f64 / load.length_s as f64;
        assert!(busiest <= DATAGRAMS_PER_REQUEST * requests_per_s + news_per_s, "{load:?}");
    }
}

fn check(load: &Load) {
    for policy in [Policy::Granter, Policy::OwnBuckets, Policy::EvenShares] {
        let received = cluster::play(load, policy).received;
        for phase in load.phases {
            let from = Time(Duration::from_secs(phase.from_s) + CONTACT_TIME);
            let until = Time(Duration::from_secs(phase.until_s));
            let most = received
                .iter()
                .filter(|it| from <= **it && **it + WINDOW <= until)
                .map(|it| count(&received, *it, *it + WINDOW))
                .max();
            let most = most.unwrap_or_default();
            let allowed = 1.5 * phase.limit.0 * WINDOW.as_secs_f64() + 5.0;
            let length_s = until.since(from).as_secs_f64();
            let used = count(&received, from, until) as f64 / (phase.limit.0 * length_s);
            println!(
                "{} gateways, {policy:?}, {}: {most} in 4 s ({allowed} allowed), {used:.2} used",
                load.gateways, phase.limit
            );
            if policy == Policy::Granter {
                assert!(most as f64 <= allowed, "{load:?}: {most} in 4 s");
                assert!(MIN_USED <= used, "{load:?}: {used:.2} used");
            }
        }
    }
}

fn count(received: &[Time], from: Time, until: Time) -> usize {
    received.iter().filter(|it| from <= **it && **it < until).count()
}
