//! Simulated node: the production shard, and the life cycle of an attempt
//! around it. A pause or crash may follow each step.

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
    event::{AttemptEvent, Call, Delivery, NodeEvent, Origin, Response, StoreCall, StoreReply},
    policy::Policy,
    world::World,
};

/// Time within which a caller must get a response.
const DEADLINE: Duration = Duration::from_millis(200);
/// Time within which a claim must be made.
const CLAIM_DEADLINE: Duration = Duration::from_millis(100);
/// Timeout of an exchange with the backend server.
const SEND_TIMEOUT: Duration = Duration::from_millis(300);
/// Age at which the variant drops open claims.
const MAX_OPEN_AGE: Duration = Duration::from_millis(400);

/// One incarnation of a node.
pub(crate) struct Node {
    /// Id of this incarnation.
    pub(crate) id: NodeId,
    /// Number of this incarnation at its index.
    pub(crate) incarnation: u64,
    /// Time until which the node is suspended.
    pub(crate) paused_until: Time,
    /// Lag of the node's own clock behind the simulated time.
    pub(crate) clock_behind: Duration,
    idx: usize,
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
    is_response_sent: bool,
    replaces: Option<AttemptId>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    Claiming,
    Held,
    Sending,
    Settling(Response),
    Ended,
}

impl Node {
    /// Starts a new incarnation of a node.
    pub(crate) fn start(world: &mut World, idx: usize, incarnation: u64) -> Self {
        let id = NodeId(world.rng.random());
        world.alive.push(id);
        let seed = world.rng.random();
        Self {
            id,
            incarnation,
            paused_until: Time::START,
            clock_behind: world.now.since(Time::START),
            idx,
            shard: shard::open(ShardId(0), id, seed, Arc::default()),
            call: 0,
            base: None,
            attempts: HashMap::new(),
            first_seen: HashMap::new(),
            seen_open: HashSet::new(),
        }
    }

    /// Handles an event.
    pub(crate) fn handle(&mut self, world: &mut World, event: NodeEvent) {
        match event {
            NodeEvent::Request(call) => self.begin_attempt(world, call),
            NodeEvent::Store(origin, reply) => {
                if origin.incarnation == self.incarnation && origin.call == self.call {
                    self.call += 1;
                    let reply = self.interpret_reply(world, reply);
                    self.step(world, reply.into());
                }
            }
            NodeEvent::Attempt(incarnation, attempt, event) if incarnation == self.incarnation => {
                self.attempt_event(world, attempt, event);
            }
            NodeEvent::SlotGranted(id) if id == self.incarnation => {
                self.step(world, Event::SlotGranted);
            }
            NodeEvent::Attempt(..) | NodeEvent::SlotGranted(_) => {}
        }
    }

    fn begin_attempt(&mut self, world: &mut World, call: Call) {
        let attempt = AttemptId(world.rng.random());
        let call_key = call.key;
        let claim_deadline = world.now + CLAIM_DEADLINE;
        let stage = Stage::Claiming;
        let state =
            Attempt { call, claim_deadline, stage, is_response_sent: false, replaces: None };
        self.attempts.insert(attempt, state);
        self.schedule_attempt_event(world, CLAIM_DEADLINE, attempt, AttemptEvent::ClaimDeadline);
        self.schedule_attempt_event(world, DEADLINE, attempt, AttemptEvent::CallDeadline);
        if world.policy == Policy::ClaimAfterSend {
            self.send(world, attempt);
        }
        if world.policy == Policy::StaleResponse && self.seen_open.contains(&call_key) {
            return self.send_response(world, attempt, &Response::Unknown);
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
            (AttemptEvent::ClaimDeadline, Stage::Claiming) => self.abandon_claim(world, attempt),
            (AttemptEvent::CallDeadline, Stage::Settling(response)) => {
                self.send_response(world, attempt, &response);
            }
            (AttemptEvent::CallDeadline, Stage::Held | Stage::Sending) => {
                self.send_response(world, attempt, &Response::Unknown);
            }
            (AttemptEvent::Send, Stage::Held) if world.draw_fault("backend not reached") => {
                self.settle(world, attempt, Settlement::NotRun, Response::NotRun(attempt));
            }
            (AttemptEvent::Send, Stage::Held) => self.send(world, attempt),
            (AttemptEvent::Responded(body), Stage::Sending) => {
                let body = StoredBody::Whole(body);
                let stored = StoredResponse { status: 200, content_type: None, body };
                let response = completed(&stored);
                let outcome = SettledOutcome::Completed(stored);
                self.settle(world, attempt, Settlement::Sent(outcome), response);
            }
            (AttemptEvent::Interrupted, Stage::Sending) => {
                let settlement = Settlement::Sent(SettledOutcome::Unknown);
                self.settle(world, attempt, settlement, Response::Unknown);
            }
            _ => {}
        }
    }

    /// Abandons a claim whose deadline has passed.
    fn abandon_claim(&mut self, world: &mut World, attempt: AttemptId) {
        self.send_response(world, attempt, &Response::NotRun(attempt));
        if world.policy != Policy::SendAfterRefusal {
            self.settle(world, attempt, Settlement::NotRun, Response::NotRun(attempt));
        }
    }

    fn send(&mut self, world: &mut World, attempt: AttemptId) {
        let Some(state) = self.attempts.get_mut(&attempt) else { return };
        state.stage = Stage::Sending;
        let call = state.call.clone();
        self.schedule_attempt_event(world, SEND_TIMEOUT, attempt, AttemptEvent::Interrupted);
        if world.draw_fault("backend call lost") {
            return;
        }
        let delay = world.network_delay();
        world.schedule(delay, Delivery::Backend(self.origin(), attempt, call));
    }

    fn settle(
        &mut self,
        world: &mut World,
        attempt: AttemptId,
        settlement: Settlement,
        response: Response,
    ) {
        let Some(state) = self.attempts.get_mut(&attempt) else { return };
        state.stage = Stage::Settling(response);
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
                    world.schedule(span, Delivery::Node(self.idx, event));
                }
                Action::RequestSlot => {
                    let delay = world.micros(0..=2_000);
                    let event = NodeEvent::SlotGranted(self.incarnation);
                    world.schedule(delay, Delivery::Node(self.idx, event));
                }
                Action::ReleaseSlot => {}
                Action::ReportVerdict(attempt, verdict) => self.on_verdict(world, attempt, verdict),
                Action::ReportSettled(attempt) => self.on_settled(world, attempt),
            }
        }
    }

    fn on_verdict(&mut self, world: &mut World, attempt: AttemptId, verdict: Verdict) {
        let server_deduplicates = world.check.server_deduplicates;
        let Some(state) = self.attempts.get_mut(&attempt) else { return };
        if !matches!(state.stage, Stage::Claiming) {
            return;
        }
        if matches!(verdict, Verdict::Open { .. }) {
            self.seen_open.insert(state.call.key);
        }
        let response = match verdict {
            Verdict::Won if world.now < state.claim_deadline || state.is_response_sent => {
                state.stage = Stage::Held;
                let delay = world.micros(0..=2_000);
                return self.schedule_attempt_event(world, delay, attempt, AttemptEvent::Send);
            }
            Verdict::Won => return self.abandon_claim(world, attempt),
            Verdict::Open { node, attempt: holder } if !world.alive.contains(&node) => {
                world.check.count("open claim of a dead node");
                if server_deduplicates && state.replaces.is_none() {
                    state.replaces = Some(holder);
                    return self.claim(world, attempt);
                }
                Response::Unknown
            }
            Verdict::Settled { outcome: SettledOutcome::Unknown, attempt: holder }
                if server_deduplicates && state.replaces.is_none() =>
            {
                state.replaces = Some(holder);
                return self.claim(world, attempt);
            }
            Verdict::Open { .. } | Verdict::Settled { outcome: SettledOutcome::Unknown, .. } => {
                Response::Unknown
            }
            Verdict::Settled { outcome: SettledOutcome::Completed(stored), .. } => {
                completed(&stored)
            }
            Verdict::KeyReused => Response::KeyReused,
            Verdict::Full | Verdict::NotAClaim => Response::NotRun(attempt),
        };
        state.stage = Stage::Ended;
        self.send_response(world, attempt, &response);
    }

    fn on_settled(&mut self, world: &mut World, attempt: AttemptId) {
        let Some(state) = self.attempts.get_mut(&attempt) else { return };
        if let Stage::Settling(response) = std::mem::replace(&mut state.stage, Stage::Ended) {
            self.send_response(world, attempt, &response);
        }
    }

    fn send_response(&mut self, world: &mut World, attempt: AttemptId, response: &Response) {
        let Some(state) = self.attempts.get_mut(&attempt) else { return };
        if !std::mem::replace(&mut state.is_response_sent, true) {
            world.send_response(&state.call, response);
        }
    }

    fn schedule_attempt_event(
        &self,
        world: &mut World,
        delay: Duration,
        attempt: AttemptId,
        event: AttemptEvent,
    ) {
        let event = NodeEvent::Attempt(self.incarnation, attempt, event);
        world.schedule(delay, Delivery::Node(self.idx, event));
    }

    fn origin(&self) -> Origin {
        Origin { node: self.idx, incarnation: self.incarnation, call: self.call }
    }

    fn write(&mut self, world: &mut World, mut write: Write) {
        self.base = match write.expected {
            citrongw_protocol::store::Expected::Revision(revision) => Some(revision),
            citrongw_protocol::store::Expected::Absent => Some(Revision::new(0)),
        };
        match world.policy {
            Policy::DropOpenClaims => self.drop_open_claims(world.now, &mut write),
            Policy::ClaimByRead => {
                let reply = StoreReply::Write(Ok(WriteResult::Committed(
                    self.base.unwrap_or_default().next(),
                )));
                let event = NodeEvent::Store(self.origin(), reply);
                world.schedule(Duration::ZERO, Delivery::Node(self.idx, event));
            }
            Policy::LeaseForCompareAndSwap => {
                if let Err(reply) = world.acquire_lease(self.id) {
                    let event = NodeEvent::Store(self.origin(), reply);
                    return world.schedule(Duration::ZERO, Delivery::Node(self.idx, event));
                }
            }
            _ => {}
        }
        world.call_store(self.origin(), StoreCall::Write(write));
    }

    /// Reply as a broken variant interprets it.
    fn interpret_reply(&mut self, world: &World, reply: StoreReply) -> StoreReply {
        match reply {
            StoreReply::Write(Err(StoreError::NoResponse))
                if world.policy == Policy::TrustLostReply =>
            {
                let revision = self.base.unwrap_or_default().next();
                StoreReply::Write(Ok(WriteResult::Committed(revision)))
            }
            reply => reply,
        }
    }

    fn drop_open_claims(&mut self, now: Time, write: &mut Write) {
        let Change::Put(value) = &mut write.change else { return };
        let mut table = claim::decode(value).unwrap();
        let open: Vec<_> = table
            .claims()
            .filter(|(_, it)| matches!(it.phase, ClaimPhase::Open { .. }))
            .map(|(key, it)| (key, it.attempt))
            .collect();
        for (key, attempt) in open {
            let seen_at = *self.first_seen.entry(attempt).or_insert(now);
            if MAX_OPEN_AGE < now.since(seen_at) {
                table.settle(key, attempt, &Settlement::NotRun);
            }
        }
        *value = claim::encode(&table).unwrap();
    }
}

fn retention(world: &World) -> Duration {
    if world.policy == Policy::ShortRetention { RETENTION / 10 } else { RETENTION }
}

fn completed(stored: &StoredResponse) -> Response {
    match &stored.body {
        StoredBody::Whole(body) => Response::Completed(body.clone()),
        StoredBody::TooLarge => Response::Completed(Bytes::new()),
    }
}
