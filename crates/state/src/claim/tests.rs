//! Cases of the claim table.

use super::*;

const KEY: ClaimKey = ClaimKey(7);
const NODE: NodeId = NodeId(1);
const RETENTION: Duration = Duration::from_secs(60);

fn request(attempt: u128, digest: u128) -> ClaimRequest {
    let digest = RequestDigest(digest);
    ClaimRequest {
        key: KEY,
        digest,
        attempt: AttemptId(attempt),
        answer_bytes: 8,
        retention: RETENTION,
    }
}

fn completed() -> SettledOutcome {
    let body = StoredBody::Whole(Bytes::from_static(b"done"));
    SettledOutcome::Completed(StoredResponse { status: 200, content_type: None, body })
}

fn settled_table() -> ClaimTable {
    let mut table = ClaimTable::default();
    table.open(&request(1, 1), NODE);
    assert!(table.settle(KEY, AttemptId(1), &Settlement::Sent(completed())));
    table
}

#[test]
fn standing_of_each_phase() {
    let free = ClaimTable::default();
    let mut open = ClaimTable::default();
    open.open(&request(1, 1), NODE);
    let settled = settled_table();
    let cases = [
        (&free, request(1, 1), ClaimStatus::Unclaimed),
        (&open, request(1, 1), ClaimStatus::OpenBySelf),
        (&open, request(2, 1), ClaimStatus::OpenByOther(NODE)),
        (&open, request(2, 2), ClaimStatus::KeyReused),
        (&settled, request(2, 1), ClaimStatus::Settled(completed())),
        (&settled, request(1, 1), ClaimStatus::Settled(completed())),
        (&settled, request(2, 2), ClaimStatus::KeyReused),
    ];
    for (table, request, expected) in cases {
        assert_eq!(table.claim_status(&request), expected, "{request:?}");
    }
}

#[test]
fn only_the_open_attempt_settles() {
    let mut table = ClaimTable::default();
    table.open(&request(1, 1), NODE);
    assert!(!table.settle(KEY, AttemptId(2), &Settlement::NotRun));
    assert!(table.settle(KEY, AttemptId(1), &Settlement::Sent(completed())));
    assert!(!table.settle(KEY, AttemptId(1), &Settlement::NotRun));
    assert_eq!(table.claim_status(&request(2, 1)), ClaimStatus::Settled(completed()));
}

#[test]
fn a_claim_that_was_not_run_frees_its_key() {
    let mut table = ClaimTable::default();
    table.open(&request(1, 1), NODE);
    assert!(table.settle(KEY, AttemptId(1), &Settlement::NotRun));
    assert_eq!(table.claim_status(&request(2, 2)), ClaimStatus::Unclaimed);
}

#[test]
fn a_replacement_that_was_not_run_leaves_the_outcome_unknown() {
    let mut table = ClaimTable::default();
    table.open(&request(1, 1), NODE);
    table.open(&request(2, 1), NODE);
    assert!(!table.settle(KEY, AttemptId(1), &Settlement::Sent(completed())));
    assert!(table.settle(KEY, AttemptId(2), &Settlement::NotRun));
    assert_eq!(table.claim_status(&request(3, 1)), ClaimStatus::Settled(SettledOutcome::Unknown));
}

#[test]
fn settled_claims_end_with_the_retention_and_open_ones_never() {
    let day = Duration::from_secs(86_400);
    let mut table = settled_table();
    table.advance_ages(RETENTION / 2, |_| Duration::ZERO);
    table.advance_ages(RETENTION / 2 - Duration::from_millis(1), |_| Duration::ZERO);
    assert_eq!(table.len(), 1);
    table.advance_ages(Duration::ZERO, |_| RETENTION);
    assert!(table.is_empty());
    table.open(&request(1, 1), NODE);
    table.advance_ages(day, |_| day);
    assert_eq!(table.len(), 1);
}

#[test]
fn answers_above_the_bound_are_not_kept() {
    let body = Bytes::from_static(b"12345678");
    let bounded = |bound| StoredResponse::bounded(201, Some("t".to_owned()), &body, bound).body;
    assert_eq!(bounded(9), StoredBody::Whole(body.clone()));
    assert_eq!(bounded(8), StoredBody::TooLarge);
}

#[test]
fn keys_and_digests_keep_their_parts_apart() {
    let key = |a: &str, b: &str, c: &str| ClaimKey::of(&a.into(), &b.into(), &c.into());
    assert_ne!(key("a", "b", "c"), key("ab", "", "c"));
    assert_ne!(key("a", "b", "c"), key("a", "b", "d"));
    assert_ne!(RequestDigest::of("POST", "/a", b"b"), RequestDigest::of("POST", "/ab", b""));
}
