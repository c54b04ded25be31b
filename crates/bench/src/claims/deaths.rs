//! Unknown outcomes under node failures: the single claim compared with one
//! that has a separate phase for the send, written between claim and send.
//!
//! The phase is a second claim under a key derived from the key of the call. A
//! dead attempt with only the first claim has not sent, so that its call can be
//! repeated; the outcome of an attempt with both is unknown.

use std::time::Duration;

use citrongw_coordination::claims::{driver::ClaimResult, shard::Verdict};
use citrongw_protocol::claim::SHARDS;
use citrongw_state::{
    claim::{ClaimKey, ClaimRequest},
    id::AttemptId,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

use super::{
    CLAIM_DEADLINE, NODES, completed, exponential, new_request,
    node::{self, Node},
    run_paused, store,
};
use crate::report::Report;

/// Calls per second over all nodes.
const RATE_PER_S: f64 = 20.0;
/// Mean duration of a call at its backend server.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Mean lifetime of a node, far shorter than in production so that failures
/// occur.
const MEAN_NODE_LIFETIME: Duration = Duration::from_secs(4);
/// Latency of a store call.
const LATENCY: Duration = Duration::from_millis(5);

/// Phases that an attempt records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phases {
    /// Claim, then settlement.
    Single,
    /// Claim, then send, then settlement.
    WithSend,
}

/// Measures both variants, with and without a delay between claim and send.
pub fn report(report: &Report, seed: u64, full: bool) {
    let span = Duration::from_secs(if full { 3600 } else { 300 });
    for wait_ms in [0, 100] {
        for (phases, policy) in
            [(Phases::Single, "single-claim"), (Phases::WithSend, "claim-and-sent-phase")]
        {
            let deaths = run_paused(measure(seed, phases, Duration::from_millis(wait_ms), span));
            let at = format!("{wait_ms} ms from claim to send, node life 4 s");
            let share = |count: u64| count as f64 / deaths.calls as f64;
            report.add(policy, &format!("unknown at {at}"), share(deaths.unknown), "share");
            report.add(policy, &format!("writes per call at {at}"), share(deaths.writes), "writes");
            report.add(policy, &format!("deaths at {at}"), deaths.deaths as f64, "nodes");
        }
    }
}

#[derive(Debug, Default)]
struct Deaths {
    calls: u64,
    unknown: u64,
    writes: u64,
    deaths: u64,
}

async fn measure(seed: u64, phases: Phases, wait: Duration, span: Duration) -> Deaths {
    let mut rng = SmallRng::seed_from_u64(seed);
    let service = store::open(LATENCY);
    let mut nodes: Vec<Node> = (0..NODES).map(|_| node::open(&mut rng, &service)).collect();
    let mut ends_at: Vec<Instant> =
        nodes.iter().map(|_| Instant::now() + exponential(&mut rng, MEAN_NODE_LIFETIME)).collect();
    let mut deaths = Deaths::default();
    let mut requests = Vec::new();
    let started_at = Instant::now();
    while started_at.elapsed() < span {
        let mean = Duration::from_secs_f64(1.0 / RATE_PER_S);
        tokio::time::sleep(exponential(&mut rng, mean)).await;
        for (node, ends_at) in nodes.iter_mut().zip(&mut ends_at) {
            if *ends_at <= Instant::now() {
                node.link.kill();
                deaths.deaths += 1;
                *node = node::open(&mut rng, &service);
                *ends_at = Instant::now() + exponential(&mut rng, MEAN_NODE_LIFETIME);
            }
        }
        let node = nodes[rng.random_range(0..nodes.len())].clone();
        let request = new_request(&mut rng, SHARDS);
        let service_time = exponential(&mut rng, SERVICE_TIME);
        requests.push(request);
        tokio::spawn(call(node, request, phases, wait, service_time));
    }
    tokio::time::sleep(CLAIM_DEADLINE).await;
    deaths.writes = service.calls().1;
    deaths.calls = requests.len() as u64;
    let observer = node::open(&mut rng, &service);
    for request in requests {
        if is_unknown(&observer, request, phases).await {
            deaths.unknown += 1;
        }
    }
    deaths
}

/// Claim of the send phase of a call.
fn sent_request(request: ClaimRequest) -> ClaimRequest {
    ClaimRequest { key: ClaimKey(request.key.0 ^ (1 << 100)), answer_bytes: 0, ..request }
}

async fn call(
    node: Node,
    request: ClaimRequest,
    phases: Phases,
    wait: Duration,
    service_time: Duration,
) {
    let deadline = Instant::now() + CLAIM_DEADLINE;
    let claimed = node.claims.claim(request, None, deadline).await;
    let ClaimResult::Won(permit) = claimed else { return };
    tokio::time::sleep(wait).await;
    let sent = match phases {
        Phases::Single => None,
        Phases::WithSend => Some(node.claims.claim(sent_request(request), None, deadline).await),
    };
    tokio::time::sleep(service_time).await;
    if node.link.is_alive() {
        permit.begin().settle(completed()).await;
    }
    // The send phase costs one more write and ends with the settlement of the
    // claim.
    std::mem::forget(sent);
}

/// Whether a repeated call would receive `unknown`.
async fn is_unknown(observer: &Node, request: ClaimRequest, phases: Phases) -> bool {
    let open = is_open(observer, request).await;
    match phases {
        Phases::Single => open,
        Phases::WithSend => open && is_open(observer, sent_request(request)).await,
    }
}

async fn is_open(observer: &Node, request: ClaimRequest) -> bool {
    let request = ClaimRequest { attempt: AttemptId(request.attempt.0 ^ 1), ..request };
    let deadline = Instant::now() + CLAIM_DEADLINE;
    let claimed = observer.claims.claim(request, None, deadline).await;
    matches!(claimed, ClaimResult::Lost(Verdict::Open { .. }))
}
