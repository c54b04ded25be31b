//! Seeded histories of edits under replacements, partitions, pauses and
//! outages. The checks must detect the violations of each broken variant.

use std::thread;

use citrongw_bench::spread::{
    check::Violation,
    faults::{self, Outcome},
    fleet::Broken,
};
use citrongw_coordination::config::rules::Rules;

const HISTORIES: u64 = 10_000;
const THREADS: u64 = 4;

fn run_all(histories: u64, rules: Rules, broken: Broken) -> Vec<(u64, Outcome)> {
    let run = |thread: u64| {
        let seeds = (0..histories).filter(move |seed| seed % THREADS == thread);
        thread::spawn(move || {
            seeds.map(|seed| (seed, faults::run(seed, rules, broken))).collect::<Vec<_>>()
        })
    };
    let threads: Vec<_> = (0..THREADS).map(run).collect();
    threads.into_iter().flat_map(|it| it.join().unwrap()).collect()
}

fn violations(outcomes: &[(u64, Outcome)]) -> Vec<(u64, Violation)> {
    let each = |(seed, it): &(u64, Outcome)| {
        it.violations.iter().map(|violation| (*seed, *violation)).collect::<Vec<_>>()
    };
    outcomes.iter().flat_map(each).collect()
}

#[test]
fn invariants_hold_in_every_history() {
    let outcomes = run_all(HISTORIES, Rules::default(), Broken::default());
    let found = violations(&outcomes);
    assert!(found.is_empty(), "{} violations, such as {:?}", found.len(), &found[..1]);
    let committed: u64 = outcomes.iter().map(|(_, it)| u64::from(it.committed)).sum();
    let accepted: u64 = outcomes.iter().map(|(_, it)| u64::from(it.accepted)).sum();
    println!("{HISTORIES} histories, {committed} edits committed, {accepted} versions accepted");
    // Guards against histories in which nothing happens.
    assert!(HISTORIES < committed && HISTORIES < accepted);
}

#[test]
fn violations_of_broken_variants_are_detected() {
    const FEW: u64 = 600;
    let correct = Rules::default();
    let long_bound = Rules { max_age: 4 * correct.max_age, ..correct };
    let no_wait = Rules { accept_wait: std::time::Duration::ZERO, ..correct };
    let none = Broken::default();
    type Expected = fn(&Violation) -> bool;
    let served_stale: Expected = |it| matches!(it, Violation::ServedStale { .. });
    let reverted: Expected = |it| matches!(it, Violation::Reverted { .. });
    let both: Expected = |it| matches!(it, Violation::BothCommitted { .. });
    let cases = [
        ("stale nodes serve on", long_bound, none, served_stale),
        ("accepted at once", no_wait, none, served_stale),
        ("old returns", correct, Broken { rejoins_with_old: true, ..none }, reverted),
        ("edits overwrite", correct, Broken { edits_overwrite: true, ..none }, both),
    ];
    for (name, rules, broken, expected) in cases {
        let found = violations(&run_all(FEW, rules, broken));
        let caught = found.iter().filter(|(_, it)| expected(it)).count();
        println!("{name}: {caught} violations in {FEW} histories");
        assert!(0 < caught, "{name} was not detected");
    }
}
