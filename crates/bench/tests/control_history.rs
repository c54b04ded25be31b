//! Checks that the safety invariants hold in seeded histories of replica
//! control under pauses, lost replies, partitions, outages, takeovers and
//! restarts, and that violations of faulty variants are detected.

use std::thread;

use citrongw_bench::{
    control_history::{self, run},
    control_world::{checker::Violation, variant::Variant},
};

/// Number of histories of the correct system.
const HISTORIES: u64 = 10_000;
/// Number of histories in which violations of a faulty variant must be
/// detected.
const FAULTY_HISTORIES: u64 = 400;
/// Number of threads that run the histories.
const THREADS: u64 = 4;

fn find_violations(variant: Variant, histories: u64) -> Vec<(u64, Violation)> {
    let part = |first: u64| {
        let seeds = (first..histories).step_by(THREADS as usize);
        seeds
            .flat_map(|seed| {
                let world = run(seed, variant);
                world.checker.violations.into_iter().map(move |it| (seed, it))
            })
            .collect::<Vec<_>>()
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|first| scope.spawn(move || part(first))).collect();
        threads.into_iter().flat_map(|it| it.join().unwrap()).collect()
    })
}

#[test]
fn invariants_hold_in_every_history() {
    let violations = find_violations(Variant::None, HISTORIES);
    let shown: Vec<String> =
        violations.iter().take(5).map(|(seed, it)| format!("seed {seed} {it}")).collect();
    assert!(violations.is_empty(), "{} violations: {}", violations.len(), shown.join("; "));
}

#[test]
fn histories_end_repaired_and_exercise_the_checks() {
    let (mut routes, mut orders, mut commits) = (0, 0, 0);
    for seed in 0..200 {
        let world = run(seed, Variant::None);
        routes += world.checker.routes;
        orders += world.checker.orders;
        commits += world.checker.commits;
        assert_eq!(control_history::unformed(&world), Vec::<String>::new(), "seed {seed}");
    }
    assert!(20_000 < routes && 2_000 < orders && 2_000 < commits, "{routes} {orders} {commits}");
}

#[test]
fn violations_of_faulty_variants_are_detected() {
    type Expected = fn(&Violation) -> bool;
    let cases: [(Variant, Expected); 5] = [
        (Variant::BlindWrites, |it| matches!(it, Violation::TwoReplicas { .. })),
        (Variant::ClaimsUnchecked, |it| matches!(it, Violation::TwoReplicas { .. })),
        (Variant::RaisesRefusedEpoch, |it| matches!(it, Violation::OldOrder { .. })),
        (Variant::StaleReports, |it| matches!(it, Violation::MemberMissing { .. })),
        (Variant::ReplicaUnchecked, |it| matches!(it, Violation::ReportDiffers { .. })),
    ];
    for (variant, is_expected) in cases {
        let violations = find_violations(variant, FAULTY_HISTORIES);
        assert!(violations.iter().any(|(_, it)| is_expected(it)), "{variant:?} was not detected");
    }
}
