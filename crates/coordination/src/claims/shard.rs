//! Step function of one shard. All waiting claims and settlements share one
//! compare-and-swap, and one call to the service is in flight at a time.
//!
//! Calls need a slot, which the node grants to its shards at the rate that the
//! service supports. The batch is assembled when the slot is granted, so that
//! all operations waiting for it share the write.
//!
//! A write without a response may still take effect as long as the key has the
//! value that it expects. The absence of the write proves nothing until a value
//! of a later revision has been observed. The shard is therefore read back,
//! each operation looks for its attempt id, and an operation that is missing is
//! written again on the value read. An operation takes effect once, whichever
//! copy of it arrives.

mod batch;
mod event;
mod view;

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use citrongw_protocol::{
    claim::{self, ShardId},
    store::{Change, Entry, Expected, Snapshot, StoreError, StoreResult, Write, WriteResult},
};
use citrongw_state::{
    claim::{ClaimPhase, ClaimTable, Settlement},
    id::{AttemptId, NodeId, Revision},
    time::Time,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use self::{batch::Batch, view::View};
pub use self::{
    batch::Verdict,
    event::{Action, Event, Op},
};
use super::counters::{ClaimCounters, Counted};

/// Initial backoff after a failed call. Doubles with each further failure.
const FAILURE_BACKOFF: Duration = Duration::from_millis(5);
/// Maximum backoff after failed calls.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_millis(500);
/// Base of the backoff after repeated conflicts. Doubles with each further
/// conflict.
const CONFLICT_BACKOFF: Duration = Duration::from_millis(1);
/// Maximum backoff after conflicts.
const MAX_CONFLICT_BACKOFF: Duration = Duration::from_millis(64);

/// State of one shard on one node.
#[derive(Debug)]
pub struct Shard {
    id: ShardId,
    node: NodeId,
    view: Option<View>,
    /// Precondition of a write on the newest value observed so far.
    newest: Option<Expected>,
    settled_seen_at: HashMap<AttemptId, Time>,
    queue: VecDeque<Queued>,
    call: Option<Call>,
    /// Value on which a write without a response may still take effect.
    uncertain_base: Option<Expected>,
    must_read: bool,
    is_contended: bool,
    slot: SlotState,
    failures: u32,
    conflicts: u32,
    rng: SmallRng,
    counters: Arc<ClaimCounters>,
}

/// State of the slot for calls to the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlotState {
    /// Neither held nor requested.
    None,
    /// Requested.
    Requested,
    /// Held, until a write is committed or a call fails.
    Held,
    /// Held, with no more calls to make.
    Finished,
}

#[derive(Debug)]
struct Queued {
    op: Op,
    submitted_at: Time,
    /// Whether a write that contains the operation may have reached the
    /// service.
    maybe_written: bool,
    verdict: Option<Verdict>,
}

#[derive(Debug)]
enum Call {
    Read {
        requested_at: Time,
    },
    /// The write contains the first `ops` operations of the queue.
    Write {
        requested_at: Time,
        base: Expected,
        table: ClaimTable,
        ops: usize,
    },
    Pause,
}

/// Creates a shard whose content is unknown.
pub fn open(id: ShardId, node: NodeId, seed: u64, counters: Arc<ClaimCounters>) -> Shard {
    Shard {
        id,
        node,
        view: None,
        newest: None,
        settled_seen_at: HashMap::new(),
        queue: VecDeque::new(),
        call: None,
        uncertain_base: None,
        must_read: false,
        is_contended: false,
        slot: SlotState::None,
        failures: 0,
        conflicts: 0,
        rng: SmallRng::seed_from_u64(seed),
        counters,
    }
}

impl Shard {
    /// Handles an event and returns the resulting actions.
    pub fn step(&mut self, event: Event, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Submitted(op) => self.submit(op, now, &mut actions),
            Event::ReadDone(res) => self.end_read(res, now, &mut actions),
            Event::WriteDone(res) => self.end_write(res, now, &mut actions),
            Event::Resumed => self.call = None,
            Event::SlotGranted => self.slot = SlotState::Held,
        }
        if self.slot == SlotState::Held {
            self.start_next_call(now, &mut actions);
        }
        self.update_slot(&mut actions);
        actions
    }

    /// Releases the slot if no call is in flight, and requests the next one if
    /// operations wait.
    fn update_slot(&mut self, actions: &mut Vec<Action>) {
        let is_calling = matches!(self.call, Some(Call::Read { .. } | Call::Write { .. }));
        if matches!(self.slot, SlotState::Held | SlotState::Finished) && !is_calling {
            self.slot = SlotState::None;
            actions.push(Action::ReleaseSlot);
        }
        if self.slot == SlotState::None && self.call.is_none() && !self.queue.is_empty() {
            self.slot = SlotState::Requested;
            actions.push(Action::RequestSlot);
        }
    }

    /// Whether the claims of the shard are in memory.
    pub fn has_cached_claims(&self) -> bool {
        self.view.is_some()
    }

    /// Frees the memory of a shard that is not in use. The known ages of its
    /// claims are kept.
    pub fn drop_cached_claims(&mut self) {
        if self.call.is_none() && self.queue.is_empty() {
            self.view = None;
        }
    }

    fn submit(&mut self, op: Op, now: Time, actions: &mut Vec<Action>) {
        if let Op::Settle { attempt, settlement: Settlement::NotRun, .. } = &op {
            let attempt = *attempt;
            if let Some(maybe_written) = self.cancel(attempt) {
                if !maybe_written {
                    actions.push(Action::ReportSettled(attempt));
                    return;
                }
            }
        }
        self.queue.push_back(Queued { op, submitted_at: now, maybe_written: false, verdict: None });
    }

    /// Removes a claim from the queue. Returns whether it may have been
    /// written, or `None` if it was not queued.
    fn cancel(&mut self, attempt: AttemptId) -> Option<bool> {
        let is_claim =
            |it: &Queued| matches!(&it.op, Op::Claim { request, .. } if request.attempt == attempt);
        let idx = self.queue.iter().position(is_claim)?;
        let queued = self.queue.remove(idx)?;
        match &mut self.call {
            Some(Call::Write { ops, .. }) if idx < *ops => *ops -= 1,
            _ => {}
        }
        Some(queued.maybe_written)
    }

    fn end_read(&mut self, res: StoreResult<Snapshot>, now: Time, actions: &mut Vec<Action>) {
        let Some(Call::Read { requested_at }) = self.call.take() else { return };
        match res {
            Ok(snapshot) => {
                let before = self.newest;
                if !self.observe(snapshot.into_entry(), requested_at, now) {
                    return self.fail(actions);
                }
                self.failures = 0;
                self.must_read = false;
                if before == self.newest {
                    self.is_contended = false;
                }
            }
            Err(_) => self.fail(actions),
        }
    }

    fn end_write(&mut self, res: StoreResult<WriteResult>, now: Time, actions: &mut Vec<Action>) {
        let Some(Call::Write { requested_at, base, table, ops }) = self.call.take() else { return };
        match res {
            Ok(WriteResult::Committed(revision)) => {
                self.slot = SlotState::Finished;
                self.commit(revision, table, requested_at, now);
                self.report_results(ops, actions);
            }
            Ok(WriteResult::Conflict(entry)) => {
                self.counters.add(Counted::Conflict);
                if !self.observe(entry, requested_at, now) {
                    return self.fail(actions);
                }
                self.is_contended = true;
                self.failures = 0;
                self.conflicts += 1;
                if 1 < self.conflicts {
                    let pause = CONFLICT_BACKOFF * 2u32.pow(self.conflicts.min(16));
                    self.pause(pause.min(MAX_CONFLICT_BACKOFF), actions);
                }
            }
            Err(StoreError::NoResponse) => {
                self.uncertain_base = Some(base);
                self.must_read = true;
                self.fail(actions);
            }
            Err(StoreError::NotReached | StoreError::Refused { .. }) => self.fail(actions),
        }
    }

    /// Adopts an observed value. Returns false if it cannot be decoded or is older
    /// than the newest one observed.
    fn observe(&mut self, entry: Option<Entry>, requested_at: Time, now: Time) -> bool {
        let Some(view) = view::decode(entry, requested_at, now) else { return false };
        if self.newest.is_some_and(|newest| view::is_before(view.expected, newest)) {
            return false;
        }
        self.set_view(view, now);
        true
    }

    fn commit(&mut self, revision: Revision, table: ClaimTable, requested_at: Time, now: Time) {
        self.failures = 0;
        self.conflicts = 0;
        let expected = Expected::Revision(revision);
        self.set_view(View { expected, table, requested_at, received_at: now }, now);
    }

    fn set_view(&mut self, view: View, now: Time) {
        if self.uncertain_base.is_some_and(|base| base != view.expected) {
            self.uncertain_base = None;
        }
        let mut settled_seen_at = HashMap::with_capacity(self.settled_seen_at.len());
        for (_, claim) in view.table.claims() {
            if matches!(claim.phase, ClaimPhase::Settled { .. }) {
                let seen_at = self.settled_seen_at.get(&claim.attempt).copied().unwrap_or(now);
                settled_seen_at.insert(claim.attempt, seen_at);
            }
        }
        self.settled_seen_at = settled_seen_at;
        self.newest = Some(view.expected);
        self.view = Some(view);
    }

    /// Reports the results of the first `ops` operations of the queue.
    fn report_results(&mut self, ops: usize, actions: &mut Vec<Action>) {
        for queued in self.queue.drain(..ops) {
            report_result(&self.counters, queued, actions);
        }
    }

    fn fail(&mut self, actions: &mut Vec<Action>) {
        self.counters.add(Counted::Failure);
        self.failures += 1;
        let pause = FAILURE_BACKOFF * 2u32.pow(self.failures.min(16) - 1);
        self.pause(pause.min(MAX_FAILURE_BACKOFF), actions);
    }

    fn pause(&mut self, longest: Duration, actions: &mut Vec<Action>) {
        self.call = Some(Call::Pause);
        actions.push(Action::Pause(longest.mul_f64(self.rng.random_range(0.5..=1.0))));
    }

    /// Starts the next call if operations wait and none is in flight.
    fn start_next_call(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.call.is_some() || self.queue.is_empty() {
            return;
        }
        let Some(view) = self.view.as_ref().filter(|_| !self.must_read) else {
            return self.start_read(now, actions);
        };
        let settled_seen_at = &self.settled_seen_at;
        let known_age =
            |attempt| settled_seen_at.get(&attempt).map_or(Duration::ZERO, |it| now.since(*it));
        let mut batch = Batch::new(self.node, view.table.clone());
        batch.advance(now.since(view.received_at), known_age);
        let is_uncertain = self.uncertain_base == Some(view.expected);
        for queued in &mut self.queue {
            queued.verdict = Some(batch.decide(&queued.op, is_uncertain));
        }
        let (base, requested_at) = (view.expected, view.requested_at);
        if !batch.must_write {
            return self.report_without_write(requested_at, now, actions);
        }
        if self.is_contended && requested_at < now && view.received_at < now {
            return self.start_read(now, actions);
        }
        self.start_write(base, batch.table, now, actions);
    }

    /// Reports the results that the view determines. The other operations need
    /// a newer view.
    fn report_without_write(&mut self, requested_at: Time, now: Time, actions: &mut Vec<Action>) {
        for queued in std::mem::take(&mut self.queue) {
            let is_final = queued.verdict.as_ref().is_some_and(Verdict::is_final);
            if is_final || queued.submitted_at <= requested_at {
                report_result(&self.counters, queued, actions);
            } else {
                self.queue.push_back(queued);
            }
        }
        if !self.queue.is_empty() {
            self.start_read(now, actions);
        }
    }

    fn start_read(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.counters.add(Counted::Read);
        self.call = Some(Call::Read { requested_at: now });
        actions.push(Action::Read(self.id.key()));
    }

    fn start_write(
        &mut self,
        base: Expected,
        table: ClaimTable,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let Ok(value) = claim::encode(&table) else { return self.fail(actions) };
        self.counters.add(Counted::Write);
        for queued in &mut self.queue {
            queued.maybe_written = true;
        }
        let ops = self.queue.len();
        self.call = Some(Call::Write { requested_at: now, base, table, ops });
        let change = Change::Put(value);
        let write = Write { key: self.id.key(), expected: base, change, lease: None };
        actions.push(Action::Write(write));
    }
}

fn report_result(counters: &ClaimCounters, queued: Queued, actions: &mut Vec<Action>) {
    match queued.op {
        Op::Claim { request, .. } => {
            let verdict = queued.verdict.unwrap_or(Verdict::Full);
            match verdict {
                Verdict::Won => counters.add(Counted::Won),
                Verdict::Full => counters.add(Counted::Full),
                _ => {}
            }
            actions.push(Action::ReportVerdict(request.attempt, verdict));
        }
        Op::Settle { attempt, .. } => {
            counters.add(Counted::Settled);
            actions.push(Action::ReportSettled(attempt));
        }
    }
}

#[cfg(test)]
mod tests;
