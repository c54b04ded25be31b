//! Tests of the encoding of shards.

use std::time::Duration;

use citrongw_state::{
    claim::{ClaimRequest, RequestDigest, SettledOutcome, Settlement, StoredBody, StoredResponse},
    id::{AttemptId, NodeId},
};

use super::*;

/// Table with one claim whose numbers have the longest encoding.
fn largest_table(response: Option<&'static [u8]>) -> ClaimTable {
    let mut table = ClaimTable::default();
    let request = ClaimRequest {
        key: ClaimKey(u128::MAX),
        digest: RequestDigest(u128::MAX),
        attempt: AttemptId(u128::MAX),
        answer_bytes: 64 * 1024,
        retention: Duration::MAX,
    };
    table.open(&request, NodeId(u64::MAX));
    if let Some(response) = response {
        let body = StoredBody::Whole(Bytes::from_static(response));
        let content_type = Some("application/json".to_owned());
        let response = StoredResponse { status: u16::MAX, content_type, body };
        let settlement = Settlement::Sent(SettledOutcome::Completed(response));
        table.settle(request.key, request.attempt, &settlement);
        table.advance_ages(Duration::from_millis(u64::MAX - 1), |_| Duration::ZERO);
    }
    table
}

#[test]
fn a_shard_round_trips_within_its_reserved_size() {
    const HEAD_BYTES: usize = 4;
    for table in [ClaimTable::default(), largest_table(None), largest_table(Some(&[7; 60_000]))] {
        let value = encode(&table).unwrap();
        assert!(value.len() <= table.reserved_bytes() + HEAD_BYTES, "{}", value.len());
        assert_eq!(decode(&value).unwrap(), table);
    }
}

#[test]
fn invalid_values_are_rejected() {
    for value in [&b""[..], b"\x00", b"\x02\x00", b"\x01", b"\x01\x05"] {
        assert!(decode(value).is_err(), "{value:?}");
    }
}
