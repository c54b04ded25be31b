//! Randomised history check of at-most-once calls.
//!
//! Nodes run the production step function of a shard against a store whose
//! calls are delayed, lost, duplicated and reordered, while nodes crash, pause
//! and are replaced, and callers retry through any node. Each history is
//! generated from its seed and checked against the invariants. Deliberately
//! broken variants show that the check detects the violations.

mod check;
mod event;
mod node;
mod policy;
mod world;

use check::{Check, Tally};
use policy::{Policy, ViolationKind};

/// Number of histories of the production policy.
const HISTORIES: u64 = 12_000;
/// Number of histories within which a violation of a broken variant must be
/// found.
const MAX_VARIANT_HISTORIES: u64 = 3_000;

fn tally(policy: Policy, seeds: std::ops::Range<u64>) -> Tally {
    let mut tally = Tally::default();
    for seed in seeds {
        let check = world::run(seed, policy);
        tally.add(&check);
        if let Some(violation) = check.violations.first() {
            panic!("seed {seed}: {}", violation.text);
        }
    }
    tally
}

/// First seed whose history has a violation of the given kind.
fn first_seed(policy: Policy, kind: ViolationKind) -> Option<u64> {
    let has_violation = |check: &Check| check.violations.iter().any(|it| it.kind == kind);
    (0..MAX_VARIANT_HISTORIES).find(|seed| has_violation(&world::run(*seed, policy)))
}

#[test]
fn production_policy_has_no_violations() {
    let threads = 4;
    let share = HISTORIES / threads;
    let tasks: Vec<_> = (0..threads)
        .map(|idx| {
            std::thread::spawn(move || tally(Policy::Production, idx * share..(idx + 1) * share))
        })
        .collect();
    let mut total = Tally::default();
    for task in tasks {
        total.merge(&task.join().unwrap());
    }
    println!("{total:?}");
    // Every kind of event occurred in more than 1% of the number of histories.
    let min_count = HISTORIES / 100;
    for (event, count) in total.counts() {
        assert!(min_count < count, "{event}: {count}");
    }
}

#[test]
fn broken_variants_are_caught() {
    for (policy, kind) in Policy::BROKEN {
        let seed = first_seed(policy, kind);
        let seed = seed.unwrap_or_else(|| panic!("{policy:?} has no violation of kind {kind:?}"));
        println!("{policy:?}: {kind:?} at seed {seed}");
    }
}
