//! Rate, latency and store calls under an offered load.

use std::time::Duration;

use citrongw_coordination::claims::driver::ClaimResult;
use citrongw_protocol::claim::ShardId;
use citrongw_state::claim::ClaimRequest;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

use super::{
    CLAIM_DEADLINE, NODES, completed, exponential, new_request,
    node::{self, Node},
    run_paused, single, store,
};
use crate::report::Report;

/// Duration of the offered load.
const SPAN: Duration = Duration::from_secs(4);
/// Duration of a call at its backend server.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Upper bound of the latency histogram, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Round-trip time to the owner of the shard.
const FORWARD_TIME: Duration = Duration::from_millis(1);

/// How claims are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// Production behaviour: each node batches its own claims.
    Batched,
    /// Each node forwards its claims to the owner of the shard, which batches
    /// them.
    Forwarded,
    /// One write per claim and per settlement.
    Single,
}

/// Parameters of one run.
#[derive(Debug, Clone, Copy)]
struct Run {
    policy: Policy,
    shards: u32,
    latency_ms: u64,
    rate_per_s: f64,
}

/// Measures all combinations of latency, rate, policy and number of shards.
pub fn report(report: &Report, seed: u64, full: bool) {
    let rates: &[f64] = if full { &[20.0, 100.0, 500.0, 2000.0] } else { &[20.0, 100.0, 1000.0] };
    let shard_counts: &[u32] = if full { &[1, 4, 16, 64] } else { &[4, 64] };
    for latency_ms in [1, 5, 20] {
        for &rate_per_s in rates {
            for policy in [Policy::Batched, Policy::Forwarded, Policy::Single] {
                for &shards in shard_counts {
                    let run = Run { policy, shards, latency_ms, rate_per_s };
                    report_run(report, seed, run);
                }
            }
        }
    }
}

fn report_run(report: &Report, seed: u64, run: Run) {
    let load = run_paused(measure(seed, run));
    let Run { policy, shards, latency_ms, rate_per_s } = run;
    let policy = match policy {
        Policy::Batched => "batched",
        Policy::Forwarded => "forwarded",
        Policy::Single => "one-write-per-claim",
    };
    let at = format!("{latency_ms} ms, {rate_per_s}/s offered, {shards} shards");
    let add = |what: &str, value: f64, unit: &str| {
        report.add(policy, &format!("{what} at {at}"), value, unit);
    };
    add("completed", load.completed as f64 / load.span.as_secs_f64(), "calls/s");
    add("refused", load.refused as f64 / load.offered as f64, "share");
    add("added latency p50", load.added_us.value_at_quantile(0.5) as f64 / 1e3, "ms");
    add("added latency p99", load.added_us.value_at_quantile(0.99) as f64 / 1e3, "ms");
    let per_call = |count: u64| count as f64 / load.completed.max(1) as f64;
    add("writes per completed call", per_call(load.writes), "writes");
    add("reads per completed call", per_call(load.reads), "reads");
}

struct Load {
    offered: u64,
    completed: u64,
    refused: u64,
    added_us: Histogram<u64>,
    span: Duration,
    reads: u64,
    writes: u64,
}

async fn measure(seed: u64, run: Run) -> Load {
    let mut rng = SmallRng::seed_from_u64(seed);
    let service = store::open(Duration::from_millis(run.latency_ms));
    let nodes: Vec<Node> = (0..NODES).map(|_| node::open(&mut rng, &service)).collect();
    let started_at = Instant::now();
    let mut tasks = Vec::new();
    while started_at.elapsed() < SPAN {
        tokio::time::sleep(exponential(&mut rng, Duration::from_secs_f64(1.0 / run.rate_per_s)))
            .await;
        let request = new_request(&mut rng, run.shards);
        let node = match run.policy {
            Policy::Forwarded => ShardId::of(request.key).0 as usize % NODES,
            Policy::Batched | Policy::Single => rng.random_range(0..NODES),
        };
        let node = nodes[node].clone();
        tasks.push(tokio::spawn(call(run.policy, node, request)));
    }
    let mut load = Load {
        offered: tasks.len() as u64,
        completed: 0,
        refused: 0,
        added_us: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("bounds are in order"),
        span: SPAN,
        reads: 0,
        writes: 0,
    };
    for task in tasks {
        match task.await.ok().flatten() {
            Some(added) => {
                load.completed += 1;
                load.added_us.saturating_record(added.as_micros() as u64);
            }
            None => load.refused += 1,
        }
    }
    load.span = started_at.elapsed();
    (load.reads, load.writes) = service.calls();
    load
}

/// Makes one call. Returns the latency added by the claim and the settlement,
/// or none if the claim was refused.
async fn call(policy: Policy, node: Node, request: ClaimRequest) -> Option<Duration> {
    let sent_at = Instant::now();
    let deadline = sent_at + CLAIM_DEADLINE;
    if policy == Policy::Single {
        let claim = single::claim(node.store.as_ref(), node.id, &request);
        let claimed = tokio::time::timeout_at(deadline, claim).await;
        if !matches!(claimed, Ok(Ok(true))) {
            return None;
        }
        tokio::time::sleep(SERVICE_TIME).await;
        let end = completed();
        single::settle(node.store.as_ref(), request.key, request.attempt, &end).await.ok()?;
        return Some(sent_at.elapsed() - SERVICE_TIME);
    }
    if policy == Policy::Forwarded {
        tokio::time::sleep(FORWARD_TIME).await;
    }
    let ClaimResult::Won(permit) = node.claims.claim(request, None, deadline).await else {
        return None;
    };
    tokio::time::sleep(SERVICE_TIME).await;
    if policy == Policy::Forwarded {
        tokio::time::sleep(FORWARD_TIME).await;
    }
    permit.begin().settle(completed()).await;
    Some(sent_at.elapsed() - SERVICE_TIME)
}
