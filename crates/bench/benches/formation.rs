//! Bench `formation`: group downtime and stranded accelerators over a recorded
//! failure trace, and how replica control scales.

use std::time::{Duration, Instant};

use citrongw_bench::{
    args::Bench,
    control_world::measure::Measures,
    formation::{self, baseline, scale},
    report::{self, Report},
};
use citrongw_state::objective::Objective;

/// Policy against which the objectives are compared.
const BASELINE: &str = "rebuild-on-first-fit";
/// Number of timed plans; their median is reported.
const PLANS: usize = 15;

fn main() {
    let args = Bench::from_env_or_exit();
    let report = report::open("formation", args.seed());
    let first_fit = baseline::replay();
    add_measures(&report, BASELINE, &first_fit);
    for objective in [Objective::GroupDowntime, Objective::StrandedAccelerators] {
        let own = formation::replay(objective, args.seed()).measures;
        let policy = objective.to_string();
        add_measures(&report, &policy, &own);
        let downtime = own.downtime_s / first_fit.downtime_s;
        report.add(&policy, "group downtime over the baseline's", downtime, "ratio");
        let stranded = own.stranded_accelerator_s / first_fit.stranded_accelerator_s;
        report.add(&policy, "stranded accelerators over the baseline's", stranded, "ratio");
        let waiting = own.waiting_accelerator_s / first_fit.waiting_accelerator_s;
        report.add(&policy, "stranded and not loading over the baseline's", waiting, "ratio");
    }
    add_calls(&report, args.seed(), args.full);
    add_time_to_decide(&report);
}

fn add_measures(report: &Report, policy: &str, measures: &Measures) {
    report.add(policy, "group downtime", measures.downtime_s, "s");
    report.add(policy, "stranded accelerators", measures.stranded_accelerator_s, "accelerator-s");
    let waiting = measures.waiting_accelerator_s;
    report.add(policy, "stranded and not loading", waiting, "accelerator-s");
}

fn add_calls(report: &Report, seed: u64, full: bool) {
    let span = Duration::from_secs(if full { 3600 } else { 300 });
    for domains in [10, 100, 1000] {
        let calls = scale::count_calls(domains, span, seed);
        let policy = format!("{domains} domains, {} replicas", domains * 4);
        report.add(&policy, "reads of the service", calls.reads_per_h, "1/h");
        report.add(&policy, "writes of the service", calls.writes_per_h, "1/h");
        report.add(&policy, "restarts of instances", calls.restarts_per_h, "1/h");
        let writes = calls.writes_per_h / calls.restarts_per_h;
        report.add(&policy, "writes for a restart", writes, "1");
    }
}

fn add_time_to_decide(report: &Report) {
    let fleet = scale::open_fleet(1000);
    let time_plan = |_| {
        let begin = Instant::now();
        std::hint::black_box(fleet.plan());
        begin.elapsed()
    };
    let mut times: Vec<Duration> = (0..PLANS).map(time_plan).collect();
    times.sort_unstable();
    let median_ms = times[PLANS / 2].as_secs_f64() * 1e3;
    report.add("1000 domains, 10000 replicas", "time to decide", median_ms, "ms");
}
