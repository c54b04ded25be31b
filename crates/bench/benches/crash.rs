//! Replicas killed by one crashing request, and unrelated requests refused.

use citrongw_bench::{
    args::Bench,
    crash::{self, Outcome, Policy, Scenario},
    report,
};

const POLICIES: [Policy; 5] =
    [Policy::Present, Policy::NoContainment, Policy::BlameAll, Policy::AnyReplica, Policy::NoWait];
/// Number of seeded runs of each scenario.
const RUNS: u64 = 40;
/// Number of runs with `--full`.
const FULL_RUNS: u64 = 400;

fn main() {
    let args = Bench::from_env_or_exit();
    let report = report::open("crash", args.seed());
    let runs = if args.full { FULL_RUNS } else { RUNS };
    let base = Scenario::default();
    let cases = [
        ("usual", base),
        ("domain_dark", Scenario { outage_replicas: 10, ..base }),
        ("one_copy", Scenario { copies: 1, ..base }),
        ("deaths_every_15_s", Scenario { other_death_every_s: Some(15.0), ..base }),
        ("busy", Scenario { requests_per_s: 400.0, ..base }),
    ];
    for (case, scenario) in cases {
        for policy in POLICIES {
            let outcomes: Vec<Outcome> = (0..runs)
                .map(|run| crash::run(&scenario, policy, args.seed() * 10_000 + run))
                .collect();
            let add = |measure: &str, value: f64, unit: &str| {
                report.add(policy.name(), &format!("{measure}_{case}"), value, unit);
            };
            let most_killed = outcomes.iter().map(|it| it.killed).max().unwrap_or_default();
            add("most_replicas_killed", most_killed as f64, "replicas");
            let killed: u64 = outcomes.iter().map(|it| it.killed).sum();
            add("mean_replicas_killed", killed as f64 / runs as f64, "replicas");
            let refused: u64 = outcomes.iter().map(|it| it.innocents_refused).sum();
            add("innocents_refused", refused as f64, "requests");
            let done: u64 = outcomes.iter().map(|it| it.innocents_done).sum();
            add("innocents_done", done as f64, "requests");
            let waited: u64 = outcomes.iter().map(|it| it.innocents_waited).sum();
            add("innocents_waited", waited as f64 / (done as f64).max(1.0), "share");
        }
    }
}
