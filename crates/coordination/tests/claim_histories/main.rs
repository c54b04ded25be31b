//! History check of at-most-once calls.
//!
//! Nodes run the shipped step function of a shard against a store whose calls
//! are delayed, lost, doubled and reordered, while nodes die, pause and are
//! replaced and callers resend through any of them. Each history is drawn from
//! its seed and checked against what must hold. Broken variants show that the
//! check sees what it is for.

mod check;
mod event;
mod node;
mod policy;
mod world;

use check::{Check, Tally};
use policy::{Policy, ViolationKind};

/// Histories of the shipped policy.
const HISTORIES: u64 = 12_000;
/// Histories in which a broken variant must be caught.
const VARIANT_HISTORIES: u64 = 3_000;

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

/// First seed in which a fault came about.
fn first_seed(policy: Policy, fault: ViolationKind) -> Option<u64> {
    let has_fault = |check: &Check| check.violations.iter().any(|it| it.fault == fault);
    (0..VARIANT_HISTORIES).find(|seed| has_fault(&world::run(*seed, policy)))
}

#[test]
fn shipped_policy_holds() {
    let threads = 4;
    let share = HISTORIES / threads;
    let tasks: Vec<_> = (0..threads)
        .map(|idx| {
            std::thread::spawn(move || tally(Policy::Shipped, idx * share..(idx + 1) * share))
        })
        .collect();
    let mut total = Tally::default();
    for task in tasks {
        total.merge(&task.join().unwrap());
    }
    println!("{total:?}");
    // Every kind of event came about.
    let least = HISTORIES / 100;
    for (what, count) in total.counts() {
        assert!(least < count, "{what}: {count}");
    }
}

#[test]
fn broken_variants_are_caught() {
    for (policy, fault) in Policy::BROKEN {
        let seed = first_seed(policy, fault);
        let seed = seed.unwrap_or_else(|| panic!("{policy:?} was not caught by {fault:?}"));
        println!("{policy:?}: {fault:?} at seed {seed}");
    }
}
