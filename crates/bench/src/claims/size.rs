//! Size of a shard's value compared with the value limit of the store.

use std::time::Duration;

use citrongw_protocol::{
    claim::{self, SHARD_LIMIT_BYTES, SHARDS},
    store::MAX_VALUE_BYTES,
};
use citrongw_state::{
    claim::{ClaimTable, SettledOutcome, Settlement, StoredBody, StoredResponse},
    id::NodeId,
};
use rand::{SeedableRng, rngs::SmallRng};

use super::new_request;
use crate::report::Report;

/// Number of claims in the measured shard.
const CLAIMS: usize = 1000;

/// Measures shards with responses of several sizes.
pub fn report(report: &Report) {
    for answer_bytes in [0, 200, 1000] {
        let bytes = bytes_per_claim(answer_bytes);
        let held = SHARD_LIMIT_BYTES as f64 / bytes * f64::from(SHARDS);
        let add = |measure: &str, value: f64, unit: &str| {
            let measure = format!("{measure}, answers of {answer_bytes} B");
            report.add("batched", &measure, value, unit);
        };
        add("settled claim", bytes, "B");
        add("claims held by all shards", held, "claims");
        add("calls a second held for 1 h", held / 3600.0, "calls/s");
        add("calls a second held for 24 h", held / 86_400.0, "calls/s");
        let at_rate = 20.0 * 3600.0 / f64::from(SHARDS) * bytes;
        add("value of a shard at 20 calls/s for 1 h", at_rate, "B");
        add("its share of the limit", at_rate / MAX_VALUE_BYTES as f64, "share");
    }
}

fn bytes_per_claim(answer_bytes: usize) -> f64 {
    let mut rng = SmallRng::seed_from_u64(0);
    let mut table = ClaimTable::default();
    for _ in 0..CLAIMS {
        let request = new_request(&mut rng, SHARDS);
        table.open(&request, NodeId(u64::MAX));
        let body = StoredBody::Whole(vec![b'x'; answer_bytes].into());
        let content_type = Some("application/json".to_owned());
        let answer = StoredResponse { status: 200, content_type, body };
        let settlement = Settlement::Sent(SettledOutcome::Completed(answer));
        table.settle(request.key, request.attempt, &settlement);
    }
    table.advance_ages(Duration::from_secs(1800), |_| Duration::ZERO);
    claim::encode(&table).map_or(0, |it| it.len()) as f64 / CLAIMS as f64
}
