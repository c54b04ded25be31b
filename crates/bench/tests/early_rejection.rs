//! Checks of early rejection in virtual time, with many gateways and old information.

use citrongw_bench::early_rejection::{ClassOutcome, Policy, Scenario, run};

const SEEDS: [u64; 3] = [1, 2, 3];
/// Requests a second of a burst beyond the 480 of the steady load: a quarter more than
/// the pool serves.
const EXTRA: f64 = 336.0;

/// Guards against rejections while capacity is free.
#[test]
fn nothing_is_rejected_below_saturation() {
    for seed in SEEDS {
        for scenario in [Scenario::steady(), Scenario::steady().with_classes()] {
            let outcome = run(&scenario, Policy::EarlyRejection, seed);
            let rejected: u32 = outcome.classes.iter().map(|it| it.first_rejected).sum();
            assert_eq!((rejected, outcome.rejected_before), (0, 0), "seed {seed}");
        }
    }
}

/// Guards against rules that serve fewer callers in time than sending everything, and
/// against callers that return and are rejected again.
#[test]
fn more_callers_are_in_time_and_none_that_waited_is_rejected_again() {
    for seed in SEEDS {
        for length_s in [3, 14] {
            let scenario = Scenario::steady().with_burst("burst", 0, EXTRA, length_s);
            let of = |policy| -> ClassOutcome { run(&scenario, policy, seed).classes[0] };
            let (all, early) = (of(Policy::SendAll), of(Policy::EarlyRejection));
            let shares = [all, early].map(|it| it.share(it.in_time));
            assert!(shares[0] < shares[1], "{length_s} s, seed {seed}: {shares:?}");
            assert_eq!(early.rejected_again, 0, "{length_s} s, seed {seed}");
        }
    }
}
