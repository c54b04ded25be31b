//! Routing targets, and variants that must fail the checks.

use citrongw_bench::routing::{self, Outcome, Policy, Scenario};

const SEED: u64 = 1;
/// Maximum 95th percentile of the time to first token.
const MAX_FIRST_TOKEN_S: f64 = 0.52;
/// Maximum 95th percentile of the time between tokens.
const MAX_BETWEEN_TOKENS_MS: f64 = 43.0;

fn run(load: f64, stragglers: usize, policy: Policy) -> Outcome {
    let scenario = Scenario {
        replicas: 30,
        nodes: 8,
        load,
        stragglers,
        warm_up_s: 30.0,
        measured_s: 15.0,
        ..Scenario::default()
    };
    routing::run(&scenario, policy, SEED)
}

#[test]
fn targets_hold_ahead_of_each_baseline() {
    for load in [0.5, 0.8, 0.95] {
        let present = run(load, 2, Policy::Present);
        let first_token_s = present.first_token_s(95.0);
        assert!(first_token_s <= MAX_FIRST_TOKEN_S, "{load}: {first_token_s}");
        let between_tokens_ms = present.between_tokens_ms(95.0);
        assert!(between_tokens_ms <= MAX_BETWEEN_TOKENS_MS, "{load}: {between_tokens_ms}");
        for policy in [Policy::RoundRobin, Policy::LeastOutstanding] {
            let baseline = run(load, 2, policy);
            assert!(first_token_s < baseline.first_token_s(95.0), "{load} {policy:?}");
            assert!(baseline.hit_share() < present.hit_share(), "{load} {policy:?}");
        }
    }
}

#[test]
fn nodes_herd_when_they_follow_one_report() {
    let herding = run(0.8, 2, Policy::LeastReported);
    assert!(MAX_FIRST_TOKEN_S < herding.first_token_s(95.0));
}

#[test]
fn stragglers_slow_tokens_unless_ejected() {
    let present = run(0.8, 4, Policy::Present).between_tokens_ms(95.0);
    assert!(present <= MAX_BETWEEN_TOKENS_MS, "{present}");
    let without = run(0.8, 4, Policy::NoEjection).between_tokens_ms(95.0);
    assert!(MAX_BETWEEN_TOKENS_MS < without, "{without}");
}
