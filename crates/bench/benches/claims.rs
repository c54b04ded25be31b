//! At-most-once claims: rate, latency and calls to the service beside one
//! write per claim, unknown outcomes under node deaths with and without a
//! phase for the send, recovery after an outage, and the size of a shard.

use citrongw_bench::{args::Bench, claims, report};

fn main() {
    let args = Bench::from_env_or_exit();
    let report = report::open("claims", args.seed());
    claims::load::report(&report, args.seed(), args.full);
    claims::deaths::report(&report, args.seed(), args.full);
    claims::outage::report(&report, args.seed());
    claims::size::report(&report);
}
