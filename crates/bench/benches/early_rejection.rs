//! Responses in time, late and rejected by request class, with and without early
//! rejection.

use citrongw_bench::{
    args::Bench,
    early_rejection::{self, Policy, Retries, Scenario},
    report::{self, Report},
};

fn main() {
    let args = Bench::from_env_or_exit();
    let report = report::open("early_rejection", args.seed());
    let pool = Scenario::steady;
    let classes = || pool().with_classes();
    let scenarios = [
        pool(),
        pool().with_burst("burst_3_s", 0, 336.0, 3),
        pool().with_burst("burst_14_s", 0, 336.0, 14),
        classes().with_burst("urgent_burst_3_s", 0, 336.0, 3),
        classes().with_burst("urgent_burst_14_s", 0, 336.0, 14),
        classes().with_burst("least_urgent_burst_3_s", 2, 336.0, 3),
        Scenario { name: "third_lost", lost: 12, ..classes().with_burst("", 0, 0.0, 5) },
        Scenario {
            name: "retry_at_once",
            retries: Retries::AtOnce,
            ..pool().with_burst("", 0, 336.0, 3)
        },
    ];
    for scenario in &scenarios {
        for policy in Policy::ALL {
            print(&report, scenario, policy, args.seed());
        }
    }
}

fn print(report: &Report, scenario: &Scenario, policy: Policy, seed: u64) {
    let outcome = early_rejection::run(scenario, policy, seed);
    let name = scenario.name;
    for (class, counts) in scenario.classes.iter().zip(&outcome.classes) {
        let add = |measure: &str, count| {
            let measure = format!("{name}/priority_{}/{measure}", class.priority);
            report.add(policy.name(), &measure, counts.share(count), "share");
        };
        add("in_time", counts.in_time);
        add("late", counts.late);
        add("rejected_again", counts.rejected_again);
        add("timed_out", counts.timed_out);
        add("first_rejected", counts.first_rejected);
    }
    let before = f64::from(outcome.rejected_before);
    report.add(policy.name(), &format!("{name}/rejected_before"), before, "requests");
    let wait = outcome.longest_wait.as_secs_f64();
    report.add(policy.name(), &format!("{name}/longest_wait"), wait, "s");
    let burst_end = scenario.warm_up + scenario.burst_length();
    let until = outcome.time_until_as_before(scenario.warm_up, burst_end);
    let until = until.map_or(-1.0, |it| it.as_secs_f64());
    report.add(policy.name(), &format!("{name}/as_before_after"), until, "s");
}
