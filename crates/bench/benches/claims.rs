//! At-most-once claims: rate, latency and store calls compared with one write
//! per claim, unknown outcomes under node failures with and without a separate
//! send phase, recovery after an outage, and the size of a shard.

use citrongw_bench::{args::Bench, claims, report};

fn main() {
    let args = Bench::from_env_or_exit();
    let report = report::open("claims", args.seed());
    claims::load::report(&report, args.seed(), args.full);
    claims::deaths::report(&report, args.seed(), args.full);
    claims::outage::report(&report, args.seed());
    claims::size::report(&report);
}
