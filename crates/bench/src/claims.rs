//! Measures of at-most-once claims, on a paused clock.

pub mod deaths;
pub mod load;
pub mod node;
pub mod outage;
pub mod single;
pub mod size;
pub mod store;

use std::time::Duration;

use citrongw_protocol::claim::SHARDS;
use citrongw_state::{
    claim::{
        ClaimKey, ClaimRequest, RequestDigest, SettledOutcome, Settlement, StoredBody,
        StoredResponse,
    },
    id::AttemptId,
};
use rand::{Rng, rngs::SmallRng};

/// Largest answer that is stored.
const ANSWER_BOUND_BYTES: u32 = 1024;
/// Body of each answer.
const ANSWER_BYTES: usize = 200;
/// Retention of each claim.
const RETENTION: Duration = Duration::from_secs(3600);
/// Nodes of an installation.
const NODES: usize = 20;
/// Longest time that a claim may take.
const CLAIM_DEADLINE: Duration = Duration::from_secs(2);

/// Runs a future on a paused clock, which goes on as soon as nothing runs.
fn run_paused<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O opens");
    runtime.block_on(future)
}

/// Claim of a new key that falls into the first `shards` shards.
fn new_request(rng: &mut SmallRng, shards: u32) -> ClaimRequest {
    let base = rng.random::<u128>() >> 32;
    let key = base * u128::from(SHARDS) + u128::from(rng.random_range(0..shards));
    ClaimRequest {
        key: ClaimKey(key),
        digest: RequestDigest(rng.random()),
        attempt: AttemptId(rng.random()),
        answer_bytes: ANSWER_BOUND_BYTES,
        retention: RETENTION,
    }
}

/// Settlement with an answer of the usual size.
fn completed() -> Settlement {
    let body = StoredBody::Whole(vec![b'x'; ANSWER_BYTES].into());
    let content_type = Some("application/json".to_owned());
    Settlement::Sent(SettledOutcome::Completed(StoredResponse { status: 200, content_type, body }))
}

/// Random pause of a mean length.
fn exponential(rng: &mut SmallRng, mean: Duration) -> Duration {
    mean.mul_f64(-(1.0 - rng.random::<f64>()).ln())
}
