//! First token, time between tokens and prefix hits by policy and load.

use citrongw_bench::{
    args::Bench,
    report,
    routing::{self, Policy, Scenario},
};

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
    let base = if args.full { full() } else { Scenario::default() };
    for load in LOADS {
        let scenario = Scenario { load, ..base };
        for policy in POLICIES {
            let outcome = routing::run(&scenario, policy, args.seed());
            outcome.print(&report, policy.name(), load);
        }
    }
}

fn full() -> Scenario {
    Scenario { replicas: 400, nodes: 100, stragglers: 24, ..Scenario::default() }
}
