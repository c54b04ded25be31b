//! Measurements of at-most-once claims on a paused clock.

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

/// Maximum size of a stored response.
const MAX_ANSWER_BYTES: u32 = 1024;
/// Size of each response body.
const ANSWER_BYTES: usize = 200;
/// Time for which each claim is retained.
const RETENTION: Duration = Duration::from_secs(3600);
/// Number of nodes.
const NODES: usize = 20;
/// Deadline of a claim.
const CLAIM_DEADLINE: Duration = Duration::from_secs(2);

/// Runs a future on a paused clock, which advances as soon as every task is
/// idle.
fn run_paused<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O opens");
    runtime.block_on(future)
}

/// Creates a claim of a new key in one of the first `shards` shards.
fn new_request(rng: &mut SmallRng, shards: u32) -> ClaimRequest {
    let base = rng.random::<u128>() >> 32;
    let key = base * u128::from(SHARDS) + u128::from(rng.random_range(0..shards));
    ClaimRequest {
        key: ClaimKey(key),
        digest: RequestDigest(rng.random()),
        attempt: AttemptId(rng.random()),
        answer_bytes: MAX_ANSWER_BYTES,
        retention: RETENTION,
    }
}

/// Settlement with a response of `ANSWER_BYTES`.
fn completed() -> Settlement {
    let body = StoredBody::Whole(vec![b'x'; ANSWER_BYTES].into());
    let content_type = Some("application/json".to_owned());
    Settlement::Sent(SettledOutcome::Completed(StoredResponse { status: 200, content_type, body }))
}

/// Draws an exponentially distributed duration.
fn exponential(rng: &mut SmallRng, mean: Duration) -> Duration {
    mean.mul_f64(-(1.0 - rng.random::<f64>()).ln())
}
