//! A node of a history: the shipped shard, and the course of an attempt around
//! it, each step of which a pause or a death may follow.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use citrongw_coordination::claims::shard::{self, Action, Event, Op, Shard, Verdict};
use citrongw_protocol::{
    claim::{self, ShardId},
    store::{Change, StoreError, Write, WriteResult},
};
use citrongw_state::{
    claim::{
        ClaimKey, ClaimPhase, ClaimRequest, RequestDigest, SettledOutcome, Settlement, StoredBody,
        StoredResponse,
    },
    id::{AttemptId, NodeId, Revision},
    time::Time,
};
use rand::Rng;

use crate::{
    check::RETENTION,
    event::{Answer, AttemptEvent, Call, Delivery, NodeEvent, Origin, StoreCall, StoreReply},
    policy::Policy,
    world::World,
};

/// Longest time that a caller waits.
const DEADLINE: Duration = Duration::from_millis(200);
/// Longest time for a claim.
const CLAIM_DEADLINE: Duration = Duration::from_millis(100);
/// Longest time for an exchange with the backend server.
const SEND_LIMIT: Duration = Duration::from_millis(300);
/// Age at which the variant drops open claims.
const OPEN_AGE: Duration = Duration::from_millis(400);

/// One start of a node.
pub(crate) struct Node {
    /// Its id.
    pub(crate) id: NodeId,
    /// Number of the start at its place.
    pub(crate) start: u64,
    /// Point until which it stands still.
    pub(crate) paused_until: Time,
    /// What its own clock is behind the clock of the history.
    pub(crate) clock_behind: Duration,
    place: usize,
    shard: Shard,
    call: u64,
    base: Option<Revision>,
    attempts: HashMap<AttemptId, Attempt>,
    first_seen: HashMap<AttemptId, Time>,
    seen_open: HashSet<u128>,
}

struct Attempt {
    call: Call,
    claim_deadline: Time,
    stage: Stage,
    told: bool,
    replaces: Option<AttemptId>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    Claiming,
    Held,
    Sending,
    Settling(Answer),
    Ended,
}

impl Node {
    /// Starts a node.
    pub(crate) fn start(world: &mut World, place: usize, start: u64) -> Self {
        let id = NodeId(world.rng.random());
        world.alive.push(id);
        let seed = world.rng.random();
        Self {
            id,
            start,
            paused_until: Time::START,
            clock_behind: world.now.since(Time::START),
            place,
            shard: shard::open(ShardId(0), id, seed, Arc::default()),
            call: 0,
            base: None,
            attempts: HashMap::new(),
            first_seen: HashMap::new(),
            seen_open: HashSet::new(),
        }
    }

    /// Takes in what arrived.
    pub(crate) fn take(&mut self, world: &mut World, event: NodeEvent) {
        match event {
            NodeEvent::Request(call) => self.begin(world, call),
            NodeEvent::Store(origin, reply) => {
                if origin.start == self.start && origin.call == self.call {
                    self.call += 1;
                    let reply = self.believe(world, reply);
                    self.step(world, reply.into());
                }
            }
            NodeEvent::Attempt(start, attempt, event) if start == self.start => {
                self.attempt_event(world, attempt, event);
            }
            NodeEvent::Turn(start) if start == self.start => self.step(world, Event::SlotGranted),
            NodeEvent::Attempt(..) | NodeEvent::Turn(_) => {}
        }
    }

    fn begin(&mut self, world: &mut World, call: Call) {
        let attempt = AttemptId(world.rng.random());
        let call_key = call.key;
        let claim_deadline = world.now + CLAIM_DEADLINE;
        let stage = Stage::Claiming;
        let state = Attempt { call, claim_deadline, stage, told: false, replaces: None };
        self.attempts.insert(attempt, state);
        self.later(world, CLAIM_DEADLINE, attempt, AttemptEvent::ClaimDeadline);
        self.later(world, DEADLINE, attempt, AttemptEvent::CallDeadline);
        if world.policy == Policy::ClaimAfterSend {
            self.send(world, attempt);
        }
        if world.policy == Policy::StaleAnswer && self.seen_open.contains(&call_key) {
            return self.tell(world, attempt, &Answer::Unknown);
        }
        self.claim(world, attempt);
    }

    fn claim(&mut self, world: &mut World, attempt: AttemptId) {
        let state = &self.attempts[&attempt];
        let digest = RequestDigest::of("POST", "/", state.call.body.as_bytes());
        let key = ClaimKey(state.call.key);
        let request =
            ClaimRequest { key, digest, attempt, answer_bytes: 64, retention: retention(world) };
        let replaces = state.replaces;
        self.step(world, Event::Submitted(Op::Claim { request, replaces }));
    }

    fn attempt_event(&mut self, world: &mut World, attempt: AttemptId, event: AttemptEvent) {
        let Some(state) = self.attempts.get_mut(&attempt) else { return };
        match (event, state.stage.clone()) {
            (AttemptEvent::ClaimDeadline, Stage::Claiming) => self.refuse(world, attempt),
            (AttemptEvent::CallDeadline, Stage::Settling(answer)) => {
                self.tell(world, attempt, &answer);
            }
            (AttemptEvent::CallDeadline, Stage::Held | Stage::Sending) => {
                self.tell(world, attempt, &Answer::Unknown);
            }
            (AttemptEvent::Send, Stage::Held) if world.fault("backend not reached") => {
                self.settle(world, attempt, Settlement::NotRun, Answer::NotRun(attempt));
            }
            (AttemptEvent::Send, Stage::Held) => self.send(world, attempt),
            (AttemptEvent::Answered(body), Stage::Sending) => {
                let body = StoredBody::Whole(body);
                let stored = StoredResponse { status: 200, content_type: None, body };
                let answer = completed(&stored);
                let outcome = SettledOutcome::Completed(stored);
                self.settle(world, attempt, Settlement::Sent(outcome), answer);
            }
            (AttemptEvent::BrokenOff, Stage::Sending) => {
                let settlement = Settlement::Sent(SettledOutcome::Unknown);
                self.settle(world, attempt, settlement, Answer::Unknown);
            }
            _ => {}
        }
    }

    /// Gives up a claim that took too long.
    fn refuse(&mut self, world: &mut World, attempt: AttemptId) {
        self.tell(world, attempt, &Answer::NotRun(attempt));
        if world.policy != Policy::SendAfterRefusal {
            self.settle(world, attempt, Settlement::NotRun, Answer::NotRun(attempt));
        }
    }

    fn send(&mut self, world: &mut World, attempt: AttemptId) {
        let Some(state) = self.attempts.get_mut(&attempt) else { return };
        state.stage = Stage::Sending;
        let call = state.call.clone();
        self.later(world, SEND_LIMIT, attempt, AttemptEvent::BrokenOff);
        if world.fault("backend call lost") {
            return;
        }
        let delay = world.network_delay();
        world.after(delay, Delivery::Backend(self.origin(), attempt, call));
    }

    fn settle(
        &mut self,
        world: &mut World,
        attempt: AttemptId,
        settlement: Settlement,
        answer: Answer,
    ) {
        let Some(state) = self.attempts.get_mut(&attempt) else { return };
        state.stage = Stage::Settling(answer);
        let key = ClaimKey(state.call.key);
        self.step(world, Event::Submitted(Op::Settle { key, attempt, settlement }));
    }

    fn step(&mut self, world: &mut World, event: Event) {
        for action in self.shard.step(event, world.now - self.clock_behind) {
            match action {
                Action::Read(_) => world.call_store(self.origin(), StoreCall::Read),
                Action::Write(write) => self.write(world, write),
                Action::Pause(span) => {
                    let event = NodeEvent::Store(self.origin(), StoreReply::Resumed);
                    world.after(span, Delivery::Node(self.place, event));
                }
                Action::RequestSlot => {
                    let delay = world.micros(0..=2_000);
                    let event = NodeEvent::Turn(self.start);
                    world.after(delay, Delivery::Node(self.place, event));
                }
                Action::ReleaseSlot => {}
                Action::ReportVerdict(attempt, verdict) => self.verdict(world, attempt, verdict),
                Action::ReportSettled(attempt) => self.ended(world, attempt),
            }
        }
    }

    fn verdict(&mut self, world: &mut World, attempt: AttemptId, verdict: Verdict) {
        let server_drops_repeats = world.check.server_drops_repeats;
        let Some(state) = self.attempts.get_mut(&attempt) else { return };
        if !matches!(state.stage, Stage::Claiming) {
            return;
        }
        if matches!(verdict, Verdict::Open { .. }) {
            self.seen_open.insert(state.call.key);
        }
        let answer = match verdict {
            Verdict::Won if world.now < state.claim_deadline || state.told => {
                state.stage = Stage::Held;
                let delay = world.micros(0..=2_000);
                return self.later(world, delay, attempt, AttemptEvent::Send);
            }
            Verdict::Won => return self.refuse(world, attempt),
            Verdict::Open { node, attempt: holder } if !world.alive.contains(&node) => {
                world.check.count("open claim of a dead node");
                if server_drops_repeats && state.replaces.is_none() {
                    state.replaces = Some(holder);
                    return self.claim(world, attempt);
                }
                Answer::Unknown
            }
            Verdict::Settled { outcome: SettledOutcome::Unknown, attempt: holder }
                if server_drops_repeats && state.replaces.is_none() =>
            {
                state.replaces = Some(holder);
                return self.claim(world, attempt);
            }
            Verdict::Open { .. } | Verdict::Settled { outcome: SettledOutcome::Unknown, .. } => {
                Answer::Unknown
            }
            Verdict::Settled { outcome: SettledOutcome::Completed(stored), .. } => {
                completed(&stored)
            }
            Verdict::Reused => Answer::Reused,
            Verdict::Full | Verdict::NotAClaim => Answer::NotRun(attempt),
        };
        state.stage = Stage::Ended;
        self.tell(world, attempt, &answer);
    }

    fn ended(&mut self, world: &mut World, attempt: AttemptId) {
        let Some(state) = self.attempts.get_mut(&attempt) else { return };
        if let Stage::Settling(answer) = std::mem::replace(&mut state.stage, Stage::Ended) {
            self.tell(world, attempt, &answer);
        }
    }

    fn tell(&mut self, world: &mut World, attempt: AttemptId, answer: &Answer) {
        let Some(state) = self.attempts.get_mut(&attempt) else { return };
        if !std::mem::replace(&mut state.told, true) {
            world.send_answer(&state.call, answer);
        }
    }

    fn later(&self, world: &mut World, delay: Duration, attempt: AttemptId, event: AttemptEvent) {
        let event = NodeEvent::Attempt(self.start, attempt, event);
        world.after(delay, Delivery::Node(self.place, event));
    }

    fn origin(&self) -> Origin {
        Origin { node: self.place, start: self.start, call: self.call }
    }

    fn write(&mut self, world: &mut World, mut write: Write) {
        self.base = match write.expected {
            citrongw_protocol::store::Expected::Revision(revision) => Some(revision),
            citrongw_protocol::store::Expected::Absent => Some(Revision(0)),
        };
        match world.policy {
            Policy::DropOpenClaims => self.drop_open(world.now, &mut write),
            Policy::ClaimByRead => {
                let reply = StoreReply::Write(Ok(WriteResult::Committed(Revision(
                    self.base.map_or(1, |it| it.0 + 1),
                ))));
                let event = NodeEvent::Store(self.origin(), reply);
                world.after(Duration::ZERO, Delivery::Node(self.place, event));
            }
            Policy::LeaseForCompareAndSwap => {
                if let Err(reply) = world.take_lease(self.id) {
                    let event = NodeEvent::Store(self.origin(), reply);
                    return world.after(Duration::ZERO, Delivery::Node(self.place, event));
                }
            }
            _ => {}
        }
        world.call_store(self.origin(), StoreCall::Write(write));
    }

    /// What a broken variant makes of a reply.
    fn believe(&mut self, world: &World, reply: StoreReply) -> StoreReply {
        match reply {
            StoreReply::Write(Err(StoreError::NoResponse))
                if world.policy == Policy::TrustLostReply =>
            {
                let revision = Revision(self.base.map_or(1, |it| it.0 + 1));
                StoreReply::Write(Ok(WriteResult::Committed(revision)))
            }
            reply => reply,
        }
    }

    fn drop_open(&mut self, now: Time, write: &mut Write) {
        let Change::Put(value) = &mut write.change else { return };
        let mut table = claim::decode(value).unwrap();
        let open: Vec<_> = table
            .claims()
            .filter(|(_, it)| matches!(it.phase, ClaimPhase::Open { .. }))
            .map(|(key, it)| (key, it.attempt))
            .collect();
        for (key, attempt) in open {
            let seen_at = *self.first_seen.entry(attempt).or_insert(now);
            if OPEN_AGE < now.since(seen_at) {
                table.settle(key, attempt, &Settlement::NotRun);
            }
        }
        *value = claim::encode(&table).unwrap();
    }
}

fn retention(world: &World) -> Duration {
    if world.policy == Policy::ShortRetention { RETENTION / 10 } else { RETENTION }
}

fn completed(stored: &StoredResponse) -> Answer {
    match &stored.body {
        StoredBody::Whole(body) => Answer::Completed(body.clone()),
        StoredBody::TooLarge => Answer::Completed(Bytes::new()),
    }
}
