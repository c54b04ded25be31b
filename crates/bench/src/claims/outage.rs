//! Recovery time of claims after an outage of several minutes.

use std::{sync::Arc, time::Duration};

use citrongw_coordination::claims::driver::ClaimResult;
use citrongw_fakes::kv::mem::Fault;
use citrongw_protocol::claim::SHARDS;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

use super::{
    CLAIM_DEADLINE, NODES, completed, exponential, new_request,
    node::{self, Node},
    run_paused, store,
};
use crate::report::Report;

/// Duration of the outage.
const OUTAGE: Duration = Duration::from_secs(300);
/// Calls per second before, during and after the outage.
const RATE_PER_S: f64 = 50.0;
/// Time before the outage.
const BEFORE: Duration = Duration::from_secs(5);
/// Time after the outage.
const AFTER: Duration = Duration::from_secs(10);
/// Consecutive calls that must all be claimed for the nodes to count as
/// recovered.
const RECOVERY_RUN_CALLS: usize = 50;

/// Measures an outage in which calls are lost, and one in which only replies
/// are lost.
pub fn report(report: &Report, seed: u64) {
    for (fault, what) in [(Fault::Down, "without the calls"), (Fault::ReplyLost, "replies alone")] {
        let outage = run_paused(measure(seed, fault));
        let add = |measure: &str, value: f64, unit: &str| {
            report.add("batched", &format!("{measure}, outage of 300 s, lost {what}"), value, unit);
        };
        add("first claim after the end", outage.first.as_secs_f64() * 1e3, "ms");
        add("all claims again after the end", outage.all.as_secs_f64() * 1e3, "ms");
        add("claims refused in the outage", outage.refused, "share");
        add("calls to the service in the outage", outage.calls_per_s, "calls/s");
    }
}

struct Outage {
    first: Duration,
    all: Duration,
    refused: f64,
    calls_per_s: f64,
}

async fn measure(seed: u64, fault: Fault) -> Outage {
    let mut rng = SmallRng::seed_from_u64(seed);
    let service = store::open(Duration::from_millis(5));
    let nodes: Vec<Node> = (0..NODES).map(|_| node::open(&mut rng, &service)).collect();
    let started_at = Instant::now();
    let (begins_at, ends_at) = (started_at + BEFORE, started_at + BEFORE + OUTAGE);
    let (mut sent_before, mut sent_inside) = (None, None);
    let mut tasks = Vec::new();
    while Instant::now() < ends_at + AFTER {
        let mean = Duration::from_secs_f64(1.0 / RATE_PER_S);
        tokio::time::sleep(exponential(&mut rng, mean)).await;
        let now = Instant::now();
        let is_out = begins_at <= now && now < ends_at;
        match is_out {
            true if sent_before.is_none() => sent_before = Some(service.sent()),
            false if ends_at <= now && sent_inside.is_none() => {
                sent_inside = sent_before.map(|before| service.sent() - before);
            }
            _ => {}
        }
        service.inner.set_fault(if is_out { fault } else { Fault::None });
        let claims = Arc::clone(&nodes[rng.random_range(0..NODES)].claims);
        let request = new_request(&mut rng, SHARDS);
        tasks.push(tokio::spawn(async move {
            let claimed = claims.claim(request, None, now + CLAIM_DEADLINE).await;
            let ClaimResult::Won(permit) = claimed else { return (now, None) };
            let won_at = Instant::now();
            permit.begin().settle(completed()).await;
            (now, Some(won_at))
        }));
    }
    let mut calls = Vec::new();
    for task in tasks {
        calls.extend(task.await.ok());
    }
    summarise(&calls, begins_at, ends_at, sent_inside.unwrap_or_default())
}

type Call = (Instant, Option<Instant>);

fn summarise(calls: &[Call], begins_at: Instant, ends_at: Instant, sent: u64) -> Outage {
    let inside: Vec<&Call> =
        calls.iter().filter(|(at, _)| begins_at <= *at && *at + CLAIM_DEADLINE < ends_at).collect();
    let refused = inside.iter().filter(|(_, won_at)| won_at.is_none()).count();
    let won_after = calls.iter().filter_map(|(_, won_at)| *won_at).filter(|it| ends_at <= *it);
    let first = won_after.min().map_or(AFTER, |it| it.duration_since(ends_at));
    // Start of the first run of consecutive claimed calls.
    let run = calls
        .windows(RECOVERY_RUN_CALLS)
        .find(|run| ends_at <= run[0].0 && run.iter().all(|(_, won_at)| won_at.is_some()));
    let all = run.map_or(AFTER, |run| run[0].0.duration_since(ends_at));
    Outage {
        first,
        all,
        refused: refused as f64 / inside.len() as f64,
        calls_per_s: sent as f64 / OUTAGE.as_secs_f64(),
    }
}
