//! Goodput by load, goodput share of each organisation, and the error of shared
//! limits.

use citrongw_bench::{
    args::Bench,
    overload::{self, LARGE_ORGANISATION, LimitScenario, Policy, Scenario},
    report::{self, Report},
};

/// Numbers of organisations for which the queue cost is measured.
const ORGANISATIONS: [usize; 3] = [10, 100, 1000];
const LOADS: [f64; 6] = [0.5, 0.8, 1.0, 1.5, 2.0, 3.0];
const POLICIES: [Policy; 4] =
    [Policy::Present, Policy::SharedFifo, Policy::UnboundedFifo, Policy::UncancelledFifo];

fn main() {
    let args = Bench::from_env_or_exit();
    let report = report::open("overload", args.seed());
    let base = if args.full {
        Scenario { replicas: 70, nodes: 18, ..Scenario::default() }
    } else {
        Scenario::default()
    };
    for policy in POLICIES {
        print_goodput(&report, &base, policy, args.seed());
    }
    print_limits(&report, args.seed());
    print_queue_cost(&report);
}

fn print_goodput(report: &Report, base: &Scenario, policy: Policy, seed: u64) {
    let mut peak = 0.0_f64;
    let mut last = 0.0;
    for load in LOADS {
        let scenario = Scenario { load, ..*base };
        let outcome = overload::run(&scenario, policy, seed);
        last = outcome.goodput_per_s() / scenario.capacity_per_s();
        peak = peak.max(last);
        let name = policy.name();
        report.add(name, &format!("goodput_at_{load}"), last, "share of capacity");
        let refused = outcome.refused_share();
        report.add(name, &format!("refused_at_{load}"), refused, "share");
        let small = outcome.least_small_share();
        report.add(name, &format!("least_small_organisation_good_at_{load}"), small, "share");
        let large = outcome.goodput_share(LARGE_ORGANISATION);
        report.add(name, &format!("large_organisation_part_at_{load}"), large, "share");
    }
    report.add(policy.name(), "goodput_at_3_of_peak", last / peak, "share");
}

/// Reports the time to enqueue and dequeue a request, and its ratio to the time
/// with the fewest organisations.
fn print_queue_cost(report: &Report) {
    let least = overload::measure_queue_cost(ORGANISATIONS[0]);
    for organisations in ORGANISATIONS {
        let cost = overload::measure_queue_cost(organisations);
        let measure = format!("queue_ns_of_{organisations}_organisations");
        report.add("present", &measure, cost.as_nanos() as f64, "ns");
        let measure = format!("queue_ratio_of_{organisations}_organisations");
        report.add("present", &measure, cost.as_secs_f64() / least.as_secs_f64(), "ratio");
    }
}

fn print_limits(report: &Report, seed: u64) {
    let base = LimitScenario::default();
    let cases = [
        ("steady", base),
        ("below_limit", LimitScenario { demand: 0.8, ..base }),
        ("moving_each_minute", LimitScenario { move_every_s: Some(60.0), ..base }),
        ("moving_each_10_s", LimitScenario { move_every_s: Some(10.0), ..base }),
        (
            "news_late",
            LimitScenario { max_propagation_delay_s: 6.0, move_every_s: Some(10.0), ..base },
        ),
        ("not_connected", LimitScenario { is_connected: false, ..base }),
    ];
    for (name, scenario) in cases {
        let error = overload::measure_limit(&scenario, seed);
        report.add("present", &format!("limit_over_{name}"), error.over(), "share");
        report.add("present", &format!("limit_under_{name}"), error.under(), "share");
    }
}
