//! Step function of one shard: all claims and settlements that wait share one
//! compare-and-swap, and one call to the service is in flight at a time.
//!
//! Calls are made in turns, which the node grants to its shards at the rate
//! that the service takes. The batch is made up when the turn comes, so that
//! whatever waited for it shares the write.
//!
//! A write without an answer may still take effect, as long as the value it
//! expects stands there. Nothing is concluded from its absence until a value
//! of a later revision has been seen: the shard is read back, each operation
//! looks for its attempt, and what is not there is written again on the value
//! read. So an operation takes effect once, whichever copy of it arrives.

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

/// First pause after a failed call; doubles with each further failure.
const FAILURE_PAUSE: Duration = Duration::from_millis(5);
/// Longest pause after failed calls.
const MAX_FAILURE_PAUSE: Duration = Duration::from_millis(500);
/// First pause after repeated conflicts; doubles with each further one.
const CONFLICT_PAUSE: Duration = Duration::from_millis(1);
/// Longest pause after conflicts.
const MAX_CONFLICT_PAUSE: Duration = Duration::from_millis(64);

/// One shard as one node knows it.
#[derive(Debug)]
pub struct Shard {
    id: ShardId,
    node: NodeId,
    view: Option<View>,
    /// What a write on the newest value ever seen expects.
    newest: Option<Expected>,
    first_seen: HashMap<AttemptId, Time>,
    queue: VecDeque<Queued>,
    call: Option<Call>,
    /// Value on which a write without an answer may still take effect.
    doubt: Option<Expected>,
    read_first: bool,
    contended: bool,
    turn: Turn,
    failures: u32,
    conflicts: u32,
    rng: SmallRng,
    counters: Arc<ClaimCounters>,
}

/// Right to call the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Turn {
    /// Neither held nor asked for.
    None,
    /// Asked for.
    Wanted,
    /// Held, until a write is committed or a call fails.
    Held,
    /// Held, and nothing more to be called.
    Over,
}

#[derive(Debug)]
struct Queued {
    op: Op,
    submitted_at: Time,
    /// Whether a write with its claim may have reached the service.
    written: bool,
    verdict: Option<Verdict>,
}

#[derive(Debug)]
enum Call {
    Read {
        asked_at: Time,
    },
    /// The first `ops` of the queue are in it.
    Write {
        asked_at: Time,
        base: Expected,
        table: ClaimTable,
        ops: usize,
    },
    Pause,
}

/// Opens a shard that nothing is known of.
pub fn open(id: ShardId, node: NodeId, seed: u64, counters: Arc<ClaimCounters>) -> Shard {
    Shard {
        id,
        node,
        view: None,
        newest: None,
        first_seen: HashMap::new(),
        queue: VecDeque::new(),
        call: None,
        doubt: None,
        read_first: false,
        contended: false,
        turn: Turn::None,
        failures: 0,
        conflicts: 0,
        rng: SmallRng::seed_from_u64(seed),
        counters,
    }
}

impl Shard {
    /// Takes in an event.
    pub fn step(&mut self, event: Event, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Submitted(op) => self.submit(op, now, &mut actions),
            Event::ReadDone(res) => self.end_read(res, now, &mut actions),
            Event::WriteDone(res) => self.end_write(res, now, &mut actions),
            Event::Resumed => self.call = None,
            Event::SlotGranted => self.turn = Turn::Held,
        }
        if self.turn == Turn::Held {
            self.pump(now, &mut actions);
        }
        self.pass_turn(&mut actions);
        actions
    }

    /// Ends a turn in which no call is in flight, and asks for the next one.
    fn pass_turn(&mut self, actions: &mut Vec<Action>) {
        let is_calling = matches!(self.call, Some(Call::Read { .. } | Call::Write { .. }));
        if matches!(self.turn, Turn::Held | Turn::Over) && !is_calling {
            self.turn = Turn::None;
            actions.push(Action::ReleaseSlot);
        }
        if self.turn == Turn::None && self.call.is_none() && !self.queue.is_empty() {
            self.turn = Turn::Wanted;
            actions.push(Action::RequestSlot);
        }
    }

    /// Whether the claims of the shard are held.
    pub fn has_cached_claims(&self) -> bool {
        self.view.is_some()
    }

    /// Frees the memory of a shard that is not in use. What is known of the ages
    /// of its claims stays.
    pub fn drop_cached_claims(&mut self) {
        if self.call.is_none() && self.queue.is_empty() {
            self.view = None;
        }
    }

    fn submit(&mut self, op: Op, now: Time, actions: &mut Vec<Action>) {
        if let Op::Settle { attempt, settlement: Settlement::NotRun, .. } = &op {
            let attempt = *attempt;
            if let Some(written) = self.cancel(attempt) {
                if !written {
                    actions.push(Action::ReportSettled(attempt));
                    return;
                }
            }
        }
        self.queue.push_back(Queued { op, submitted_at: now, written: false, verdict: None });
    }

    /// Takes a claim out of the queue. Gives whether it may have been written.
    fn cancel(&mut self, attempt: AttemptId) -> Option<bool> {
        let is_claim =
            |it: &Queued| matches!(&it.op, Op::Claim { request, .. } if request.attempt == attempt);
        let idx = self.queue.iter().position(is_claim)?;
        let queued = self.queue.remove(idx)?;
        match &mut self.call {
            Some(Call::Write { ops, .. }) if idx < *ops => *ops -= 1,
            _ => {}
        }
        Some(queued.written)
    }

    fn end_read(&mut self, res: StoreResult<Snapshot>, now: Time, actions: &mut Vec<Action>) {
        let Some(Call::Read { asked_at }) = self.call.take() else { return };
        match res {
            Ok(snapshot) => {
                let before = self.newest;
                if !self.learn(snapshot.into_entry(), asked_at, now) {
                    return self.fail(actions);
                }
                self.failures = 0;
                self.read_first = false;
                if before == self.newest {
                    self.contended = false;
                }
            }
            Err(_) => self.fail(actions),
        }
    }

    fn end_write(&mut self, res: StoreResult<WriteResult>, now: Time, actions: &mut Vec<Action>) {
        let Some(Call::Write { asked_at, base, table, ops }) = self.call.take() else { return };
        match res {
            Ok(WriteResult::Committed(revision)) => {
                self.turn = Turn::Over;
                self.commit(revision, table, asked_at, now);
                self.deliver(ops, actions);
            }
            Ok(WriteResult::Conflict(entry)) => {
                self.counters.add(Counted::Conflict);
                if !self.learn(entry, asked_at, now) {
                    return self.fail(actions);
                }
                self.contended = true;
                self.failures = 0;
                self.conflicts += 1;
                if 1 < self.conflicts {
                    let pause = CONFLICT_PAUSE * 2u32.pow(self.conflicts.min(16));
                    self.pause(pause.min(MAX_CONFLICT_PAUSE), actions);
                }
            }
            Err(StoreError::NoResponse) => {
                self.doubt = Some(base);
                self.read_first = true;
                self.fail(actions);
            }
            Err(StoreError::NotReached | StoreError::Refused { .. }) => self.fail(actions),
        }
    }

    /// Takes in a value. False if it can't be trusted.
    fn learn(&mut self, entry: Option<Entry>, asked_at: Time, now: Time) -> bool {
        let Some(view) = view::read(entry, asked_at, now) else { return false };
        if self.newest.is_some_and(|newest| view::is_before(view.expected, newest)) {
            return false;
        }
        self.take_view(view, now);
        true
    }

    fn commit(&mut self, revision: Revision, table: ClaimTable, asked_at: Time, now: Time) {
        self.failures = 0;
        self.conflicts = 0;
        let expected = Expected::Revision(revision);
        self.take_view(View { expected, table, asked_at, received_at: now }, now);
    }

    fn take_view(&mut self, view: View, now: Time) {
        if self.doubt.is_some_and(|base| base != view.expected) {
            self.doubt = None;
        }
        let mut first_seen = HashMap::with_capacity(self.first_seen.len());
        for (_, claim) in view.table.claims() {
            if matches!(claim.phase, ClaimPhase::Settled { .. }) {
                let seen_at = self.first_seen.get(&claim.attempt).copied().unwrap_or(now);
                first_seen.insert(claim.attempt, seen_at);
            }
        }
        self.first_seen = first_seen;
        self.newest = Some(view.expected);
        self.view = Some(view);
    }

    /// Answers the first `ops` of the queue.
    fn deliver(&mut self, ops: usize, actions: &mut Vec<Action>) {
        for queued in self.queue.drain(..ops) {
            answer(&self.counters, queued, actions);
        }
    }

    fn fail(&mut self, actions: &mut Vec<Action>) {
        self.counters.add(Counted::Failure);
        self.failures += 1;
        let pause = FAILURE_PAUSE * 2u32.pow(self.failures.min(16) - 1);
        self.pause(pause.min(MAX_FAILURE_PAUSE), actions);
    }

    fn pause(&mut self, longest: Duration, actions: &mut Vec<Action>) {
        self.call = Some(Call::Pause);
        actions.push(Action::Pause(longest.mul_f64(self.rng.random_range(0.5..=1.0))));
    }

    /// Starts the next call, if one is wanted and none is in flight.
    fn pump(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.call.is_some() || self.queue.is_empty() {
            return;
        }
        let Some(view) = self.view.as_ref().filter(|_| !self.read_first) else {
            return self.start_read(now, actions);
        };
        let first_seen = &self.first_seen;
        let known = |attempt| first_seen.get(&attempt).map_or(Duration::ZERO, |it| now.since(*it));
        let mut batch = Batch::new(self.node, view.table.clone());
        batch.advance(now.since(view.received_at), known);
        let in_doubt = self.doubt == Some(view.expected);
        for queued in &mut self.queue {
            queued.verdict = Some(batch.decide(&queued.op, in_doubt));
        }
        let (base, asked_at) = (view.expected, view.asked_at);
        if !batch.must_write {
            return self.answer_without_write(asked_at, now, actions);
        }
        if self.contended && asked_at < now && view.received_at < now {
            return self.start_read(now, actions);
        }
        self.start_write(base, batch.table, now, actions);
    }

    /// Answers what the view settles; the rest needs a newer one.
    fn answer_without_write(&mut self, asked_at: Time, now: Time, actions: &mut Vec<Action>) {
        for queued in std::mem::take(&mut self.queue) {
            let is_final = queued.verdict.as_ref().is_some_and(Verdict::is_final);
            if is_final || queued.submitted_at <= asked_at {
                answer(&self.counters, queued, actions);
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
        self.call = Some(Call::Read { asked_at: now });
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
            queued.written = true;
        }
        let ops = self.queue.len();
        self.call = Some(Call::Write { asked_at: now, base, table, ops });
        let change = Change::Put(value);
        let write = Write { key: self.id.key(), expected: base, change, lease: None };
        actions.push(Action::Write(write));
    }
}

fn answer(counters: &ClaimCounters, queued: Queued, actions: &mut Vec<Action>) {
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
