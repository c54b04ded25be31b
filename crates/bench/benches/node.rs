//! Cost of a node. This bench measures the request path.

use citrongw_bench::{args::Bench, node::child, report};

fn main() {
    if let Some(path) = child::settings_path() {
        child::run(&path);
        return;
    }
    let args = Bench::from_env_or_exit();
    let report = report::open("node", args.seed());
    citrongw_bench::node::request::run(&report, args.full);
}
