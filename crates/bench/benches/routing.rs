//! Time to first token, time between tokens and prefix cache hits by policy and
//! load.

use citrongw_bench::{
    args::Bench,
    report::{self, Report},
    routing::{self, Policy, Scenario},
};

/// Numbers of replicas for which the cost of a routing choice is measured.
const SIZES: [usize; 3] = [70, 1000, 10_000];
const LOADS: [f64; 4] = [0.5, 0.7, 0.85, 0.95];
const POLICIES: [Policy; 5] = [
    Policy::Present,
    Policy::NoEjection,
    Policy::RoundRobin,
    Policy::LeastOutstanding,
    Policy::LeastReported,
];

fn main() {
    let args = Bench::from_env_or_exit();
    let report = report::open("routing", args.seed());
    print_cost(&report, args.seed());
    let base = if args.full { full() } else { Scenario::default() };
    for load in LOADS {
        let scenario = Scenario { load, ..base };
        for policy in POLICIES {
            let outcome = routing::run(&scenario, policy, args.seed());
            outcome.print(&report, policy.name(), load);
        }
    }
}

/// Reports the time of one routing choice, and its ratio to the time with the
/// fewest replicas.
fn print_cost(report: &Report, seed: u64) {
    // The first measurement only warms the CPU caches.
    let _ = routing::measure_cost(SIZES[0], seed);
    let least = routing::measure_cost(SIZES[0], seed);
    for replicas in SIZES {
        let present = routing::measure_cost(replicas, seed);
        let scan = routing::measure_scan_cost(replicas, seed);
        let add = |policy: &str, measure: &str, value: f64, unit: &str| {
            report.add(policy, &format!("{measure}_among_{replicas}"), value, unit);
        };
        add("present", "choice_ns", present.as_nanos() as f64, "ns");
        add("present", "choice_ratio", present.as_secs_f64() / least.as_secs_f64(), "ratio");
        add("scan", "choice_ratio", scan.as_secs_f64() / least.as_secs_f64(), "ratio");
    }
}

fn full() -> Scenario {
    Scenario { replicas: 400, nodes: 100, stragglers: 24, ..Scenario::default() }
}
