//! Targets under overload, and variants that must fail the checks.

use citrongw_bench::overload::{self, LARGE_ORGANISATION, LimitScenario, Policy, Scenario};

const SEED: u64 = 1;
/// Minimum goodput at three times the capacity, as a fraction of the peak.
const MIN_GOODPUT_SHARE: f64 = 0.9;
/// Maximum relative error of a shared limit.
const MAX_LIMIT_ERROR: f64 = 0.05;

fn scenario(load: f64) -> Scenario {
    Scenario {
        replicas: 8,
        nodes: 4,
        load,
        warm_up_s: 40.0,
        measured_s: 15.0,
        ..Scenario::default()
    }
}

/// Goodput at three times the capacity, as a fraction of the peak.
fn kept_goodput(policy: Policy) -> f64 {
    let goodput = |load| overload::run(&scenario(load), policy, SEED).goodput_per_s();
    let loads = [0.5, 1.0, 1.5, 2.0, 3.0];
    let peak = loads.map(goodput).into_iter().fold(0.0, f64::max);
    goodput(3.0) / peak
}

#[test]
fn goodput_does_not_collapse() {
    let kept = kept_goodput(Policy::Present);
    assert!(MIN_GOODPUT_SHARE <= kept, "{kept}");
}

#[test]
fn goodput_collapses_without_bounds() {
    let kept = kept_goodput(Policy::UncancelledFifo);
    assert!(kept < MIN_GOODPUT_SHARE, "{kept}");
}

#[test]
fn small_organisations_keep_their_share() {
    let outcome = overload::run(&scenario(3.0), Policy::Present, SEED);
    assert!(0.95 <= outcome.least_small_share(), "{}", outcome.least_small_share());
    assert!(
        0.5 < outcome.goodput_share(LARGE_ORGANISATION),
        "the large organisation gets the remaining capacity"
    );
}

#[test]
fn small_organisations_starve_in_one_queue() {
    let outcome = overload::run(&scenario(3.0), Policy::SharedFifo, SEED);
    assert!(outcome.least_small_share() < 0.95, "{}", outcome.least_small_share());
}

#[test]
fn limit_holds_over_all_nodes() {
    let base = LimitScenario::default();
    let cases = [
        ("steady", base),
        ("below", LimitScenario { demand: 0.8, ..base }),
        ("moving", LimitScenario { move_every_s: Some(60.0), ..base }),
        ("sudden", LimitScenario { warm_up_s: 0.0, ..base }),
        ("many nodes", LimitScenario { nodes: 40, ..base }),
    ];
    for (name, scenario) in cases {
        let error = overload::measure_limit(&scenario, SEED);
        assert!(error.over() <= MAX_LIMIT_ERROR, "{name}: {error:?}");
        assert!(error.under() <= MAX_LIMIT_ERROR, "{name}: {error:?}");
    }
}

#[test]
fn limit_is_exceeded_without_gossip() {
    let alone = LimitScenario { is_connected: false, ..LimitScenario::default() };
    let error = overload::measure_limit(&alone, SEED);
    assert!(MAX_LIMIT_ERROR < error.over(), "{error:?}");
}
