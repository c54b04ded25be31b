//! Time until a configuration change is in force and its cost, for nodes over a
//! simulated network in simulated time. The baseline is a node that polls the
//! store every second and keeps serving with whatever configuration it has.

use citrongw_bench::{
    args::Bench,
    report::{self, Report},
    spread::measure::{self, Figures, Scenario},
};

const NODES: usize = 20;
const FULL_NODES: usize = 80;
const ZONES: usize = 3;
const EDITS: u32 = 12;
const SLOPE_NODES: [usize; 5] = [5, 10, 20, 40, 80];
const LARGE: [(usize, usize); 3] = [(320, 4), (1000, 14), (2500, 14)];
const LARGE_EDITS: u32 = 3;
const PRESENT: &str = "gossip";
const BASELINE: &str = "poll-1s";

fn main() {
    let args = Bench::from_env_or_exit();
    let report = report::open("spread", args.seed());
    let nodes = if args.full { FULL_NODES } else { NODES };
    for scenario in Scenario::ALL {
        let figures = measure::run(scenario, measure::settings(nodes, ZONES, args.seed()), EDITS);
        print(&report, scenario.name(), nodes, &figures);
    }
    for nodes in SLOPE_NODES {
        let figures =
            measure::run(Scenario::Loss, measure::settings(nodes, ZONES, args.seed()), EDITS);
        print(&report, "slope", nodes, &figures);
    }
    if args.full {
        for (nodes, zones) in LARGE {
            let settings = measure::settings(nodes, zones, args.seed());
            let figures = measure::run(Scenario::Loss, settings, LARGE_EDITS);
            print(&report, "slope", nodes, &figures);
        }
    }
}

fn print(report: &Report, scenario: &str, nodes: usize, figures: &Figures) {
    let add = |measure: &str, value: f64, unit: &str| {
        report.add(PRESENT, &format!("{scenario}/{nodes}/{measure}"), value, unit);
    };
    add("in_force_p50", quantile(&figures.in_force_s, 0.5), "s");
    add("in_force_max", quantile(&figures.in_force_s, 1.0), "s");
    add("accepted_p50", quantile(&figures.accepted_s, 0.5), "s");
    add("accepted_max", quantile(&figures.accepted_s, 1.0), "s");
    add("accepted", figures.accepted_s.len() as f64, "edits");
    add("committed", figures.committed as f64, "edits");
    add("lacking", figures.not_in_force as f64, "nodes");
    add("conflicts", figures.conflicts as f64, "edits");
    add("reverts_and_stale", figures.violations as f64, "count");
    add("serving_share", figures.serving_share, "share");
    add("service_calls", figures.calls_per_min, "1/min");
    add("sent_mean", figures.bytes_per_s, "B/s");
    add("sent_max", figures.max_bytes_per_s, "B/s");
    add("sent_acks", figures.ack_bytes_per_s, "B/s");
    add("sent_tcp", figures.exchange_bytes_per_s, "B/s");
    add("cpu", figures.cpu_share, "share");
    let polls = nodes as f64 * 60.0;
    report.add(BASELINE, &format!("{scenario}/{nodes}/service_calls"), polls, "1/min");
}

fn quantile(values: &[f64], share: f64) -> f64 {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    let idx = (values.len().saturating_sub(1) as f64 * share).round() as usize;
    values.get(idx).copied().unwrap_or(f64::NAN)
}
