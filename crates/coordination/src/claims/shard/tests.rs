//! Tests of one shard: batches, lost responses, and withdrawn claims.

use bytes::Bytes;
use citrongw_state::claim::{
    ClaimKey, ClaimRequest, RequestDigest, SettledOutcome, StoredBody, StoredResponse,
};

use super::*;

const NODE: NodeId = NodeId(1);
const RETENTION: Duration = Duration::from_secs(60);

fn open_shard() -> Shard {
    open(ShardId(0), NODE, 1, Arc::default())
}

/// Steps the shard and grants every slot at once.
fn step(shard: &mut Shard, event: Event, now: Time) -> Vec<Action> {
    let mut actions = shard.step(event, now);
    if actions.contains(&Action::RequestSlot) {
        actions.extend(shard.step(Event::SlotGranted, now));
    }
    actions.retain(|it| !matches!(it, Action::RequestSlot | Action::ReleaseSlot));
    actions
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn request(key: u128, attempt: u128) -> ClaimRequest {
    let (key, digest) = (ClaimKey(key), RequestDigest(key));
    ClaimRequest {
        key,
        digest,
        attempt: AttemptId(attempt),
        answer_bytes: 100,
        retention: RETENTION,
    }
}

fn claim_of(key: u128, attempt: u128) -> Event {
    Event::Submitted(Op::Claim { request: request(key, attempt), replaces: None })
}

fn settle(key: u128, attempt: u128, settlement: Settlement) -> Event {
    let (key, attempt) = (ClaimKey(key), AttemptId(attempt));
    Event::Submitted(Op::Settle { key, attempt, settlement })
}

fn entry_of(revision: u64, table: &ClaimTable) -> Option<Entry> {
    let (key, value) = (ShardId(0).key(), claim::encode(table).unwrap());
    Some(Entry { key, value, revision: Revision::new(revision) })
}

fn read_done(revision: u64, entry: Option<Entry>) -> Event {
    let entries = entry.into_iter().collect();
    Event::ReadDone(Ok(Snapshot { revision: Revision::new(revision), entries }))
}

fn written(actions: &[Action]) -> (Expected, ClaimTable) {
    let [Action::Write(write)] = actions else { panic!("{actions:?}") };
    let Change::Put(value) = &write.change else { panic!("{write:?}") };
    (write.expected, claim::decode(value).unwrap())
}

fn committed(revision: u64) -> Event {
    Event::WriteDone(Ok(WriteResult::Committed(Revision::new(revision))))
}

/// A shard whose write of a claim of key 1 by attempt 1 got no response.
fn shard_with_uncertain_write() -> (Shard, ClaimTable) {
    let mut shard = open_shard();
    step(&mut shard, claim_of(1, 1), at(0));
    let (_, table) = written(&step(&mut shard, read_done(0, None), at(1)));
    let actions = step(&mut shard, Event::WriteDone(Err(StoreError::NoResponse)), at(2));
    assert!(matches!(actions[..], [Action::Pause(_)]));
    let actions = step(&mut shard, Event::Resumed, at(9));
    assert_eq!(actions, [Action::Read(ShardId(0).key())]);
    (shard, table)
}

#[test]
fn waiting_operations_share_one_write() {
    let mut shard = open_shard();
    assert_eq!(step(&mut shard, claim_of(1, 1), at(0)), [Action::Read(ShardId(0).key())]);
    assert!(step(&mut shard, claim_of(2, 2), at(0)).is_empty());
    let (expected, table) = written(&step(&mut shard, read_done(0, None), at(1)));
    assert_eq!((expected, table.len()), (Expected::Absent, 2));
    assert!(step(&mut shard, claim_of(3, 3), at(1)).is_empty());
    let actions = step(&mut shard, committed(5), at(2));
    let won = |attempt| Action::ReportVerdict(AttemptId(attempt), Verdict::Won);
    assert_eq!(actions[..2], [won(1), won(2)]);
    let (expected, table) = written(&actions[2..]);
    assert_eq!((expected, table.len()), (Expected::Revision(Revision::new(5)), 3));
}

#[test]
fn a_batch_is_assembled_when_its_slot_is_granted() {
    let mut shard = open_shard();
    assert_eq!(shard.step(claim_of(1, 1), at(0)), [Action::RequestSlot]);
    assert!(shard.step(claim_of(2, 2), at(0)).is_empty());
    assert_eq!(shard.step(Event::SlotGranted, at(5)), [Action::Read(ShardId(0).key())]);
    assert!(shard.step(claim_of(3, 3), at(6)).is_empty());
    let (_, table) = written(&shard.step(read_done(0, None), at(7)));
    assert_eq!(table.len(), 3);
    let actions = shard.step(committed(1), at(8));
    assert_eq!(actions.last(), Some(&Action::ReleaseSlot));
}

#[test]
fn a_write_without_response_is_looked_up_by_attempt() {
    // The write took effect.
    let (mut shard, table) = shard_with_uncertain_write();
    let actions = step(&mut shard, read_done(1, entry_of(1, &table)), at(10));
    assert_eq!(actions, [Action::ReportVerdict(AttemptId(1), Verdict::Won)]);

    // The write has not taken effect: it is repeated on the same value.
    let (mut shard, _) = shard_with_uncertain_write();
    let (expected, table) = written(&step(&mut shard, read_done(0, None), at(10)));
    assert_eq!(expected, Expected::Absent);
    // The first copy arrives late and wins.
    let conflict = Event::WriteDone(Ok(WriteResult::Conflict(entry_of(1, &table))));
    assert_eq!(
        step(&mut shard, conflict, at(11)),
        [Action::ReportVerdict(AttemptId(1), Verdict::Won)]
    );

    // Another attempt was first.
    let (mut shard, _) = shard_with_uncertain_write();
    let mut other = ClaimTable::default();
    other.open(&request(1, 2), NodeId(2));
    let actions = step(&mut shard, read_done(1, entry_of(1, &other)), at(10));
    let verdict = Verdict::Open { node: NodeId(2), attempt: AttemptId(2) };
    assert_eq!(actions, [Action::ReportVerdict(AttemptId(1), verdict)]);
}

#[test]
fn withdrawing_an_uncertain_claim_writes_the_shard() {
    let (mut shard, _) = shard_with_uncertain_write();
    assert!(step(&mut shard, settle(1, 1, Settlement::NotRun), at(9)).is_empty());
    // The claim is not in the shard yet; a write ensures that it never will be.
    let (expected, table) = written(&step(&mut shard, read_done(0, None), at(10)));
    assert_eq!((expected, table.len()), (Expected::Absent, 0));
    assert_eq!(step(&mut shard, committed(1), at(11)), [Action::ReportSettled(AttemptId(1))]);
}

#[test]
fn withdrawing_an_unwritten_claim_needs_no_call() {
    let mut shard = open_shard();
    step(&mut shard, claim_of(1, 1), at(0));
    let actions = step(&mut shard, settle(1, 1, Settlement::NotRun), at(1));
    assert_eq!(actions, [Action::ReportSettled(AttemptId(1))]);
    assert!(step(&mut shard, read_done(0, None), at(2)).is_empty());
}

#[test]
fn withdrawing_a_claim_in_flight_settles_it_after_its_commit() {
    let mut shard = open_shard();
    step(&mut shard, claim_of(1, 1), at(0));
    step(&mut shard, read_done(0, None), at(1));
    step(&mut shard, settle(1, 1, Settlement::NotRun), at(2));
    let (_, table) = written(&step(&mut shard, committed(1), at(3)));
    assert!(table.is_empty());
    assert_eq!(step(&mut shard, committed(2), at(4)), [Action::ReportSettled(AttemptId(1))]);
}

#[test]
fn another_attempt_gets_its_verdict_from_a_later_read() {
    let mut shard = open_shard();
    step(&mut shard, claim_of(1, 1), at(0));
    step(&mut shard, read_done(0, None), at(1));
    step(&mut shard, committed(1), at(2));
    assert_eq!(step(&mut shard, claim_of(1, 2), at(3)), [Action::Read(ShardId(0).key())]);
    let mut table = ClaimTable::default();
    table.open(&request(1, 1), NODE);
    let outcome = SettledOutcome::Unknown;
    table.settle(ClaimKey(1), AttemptId(1), &Settlement::Sent(outcome.clone()));
    let actions = step(&mut shard, read_done(2, entry_of(2, &table)), at(4));
    let verdict = Verdict::Settled { outcome, attempt: AttemptId(1) };
    assert_eq!(actions, [Action::ReportVerdict(AttemptId(2), verdict)]);
    // A settled claim needs a new read too: it may have been dropped and its
    // key reused.
    assert_eq!(step(&mut shard, claim_of(1, 3), at(5)), [Action::Read(ShardId(0).key())]);
}

#[test]
fn a_settled_claim_is_dropped_after_its_retention_by_the_next_write() {
    let mut shard = open_shard();
    step(&mut shard, claim_of(1, 1), at(0));
    step(&mut shard, read_done(0, None), at(1));
    step(&mut shard, committed(1), at(2));
    step(&mut shard, settle(1, 1, Settlement::Sent(SettledOutcome::Unknown)), at(3));
    step(&mut shard, committed(2), at(10));
    let (_, table) = written(&step(&mut shard, claim_of(2, 2), at(60_009)));
    assert_eq!(table.len(), 2);
    step(&mut shard, committed(3), at(60_009));
    let (_, table) = written(&step(&mut shard, claim_of(3, 3), at(60_010)));
    assert_eq!(table.len(), 2);
    assert!(table.get(ClaimKey(1)).is_none());
}

#[test]
fn ages_are_kept_when_claims_are_dropped_from_memory() {
    let mut shard = open_shard();
    let mut table = ClaimTable::default();
    table.open(&request(1, 1), NODE);
    table.settle(ClaimKey(1), AttemptId(1), &Settlement::Sent(SettledOutcome::Unknown));
    step(&mut shard, claim_of(2, 2), at(0));
    written(&step(&mut shard, read_done(1, entry_of(1, &table)), at(1)));
    step(&mut shard, committed(2), at(2));
    shard.drop_cached_claims();
    assert!(!shard.has_cached_claims());
    let actions = step(&mut shard, claim_of(3, 3), at(60_001));
    assert_eq!(actions, [Action::Read(ShardId(0).key())]);
    let (_, table) = written(&step(&mut shard, read_done(2, entry_of(2, &table)), at(60_002)));
    assert!(table.get(ClaimKey(1)).is_none());
    // An older value is rejected afterwards, too.
    shard.step(committed(3), at(60_003));
    shard.drop_cached_claims();
    step(&mut shard, claim_of(4, 4), at(60_004));
    let actions = step(&mut shard, read_done(2, None), at(60_005));
    assert!(matches!(actions[..], [Action::Pause(_)]));
}

#[test]
fn a_full_shard_refuses_claims_but_accepts_settlements() {
    let mut shard = open_shard();
    step(&mut shard, claim_of(1, 1), at(0));
    let mut table = ClaimTable::default();
    let mut large = request(2, 2);
    large.answer_bytes = u32::try_from(claim::SHARD_LIMIT_BYTES).unwrap() - 200;
    table.open(&large, NODE);
    let actions = step(&mut shard, read_done(1, entry_of(1, &table)), at(1));
    assert_eq!(actions, [Action::ReportVerdict(AttemptId(1), Verdict::Full)]);
    let body = vec![7; claim::SHARD_LIMIT_BYTES - 200];
    let response = StoredResponse {
        status: 200,
        content_type: None,
        body: StoredBody::Whole(Bytes::from(body)),
    };
    let settlement = Settlement::Sent(SettledOutcome::Completed(response));
    let actions = step(&mut shard, settle(2, 2, settlement), at(2));
    let [Action::Write(write)] = &actions[..] else { panic!() };
    let Change::Put(value) = &write.change else { panic!() };
    assert!(value.len() < citrongw_protocol::store::MAX_VALUE_BYTES);
}

#[test]
fn a_value_of_an_older_revision_is_rejected() {
    let mut shard = open_shard();
    step(&mut shard, claim_of(1, 1), at(0));
    step(&mut shard, read_done(5, entry_of(5, &ClaimTable::default())), at(1));
    step(&mut shard, committed(6), at(2));
    step(&mut shard, claim_of(1, 2), at(3));
    let actions = step(&mut shard, read_done(4, None), at(4));
    assert!(matches!(actions[..], [Action::Pause(_)]));
}
