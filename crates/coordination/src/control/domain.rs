//! What one node knows and does for one fabric domain.
//!
//! All that is agreed stands in the domain's record; what is kept here is what
//! this node last read of it, the one write under way, and what the instances
//! said. Nothing is concluded from a write without a reply: the record is read
//! back, and only what it says counts.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use citrongw_protocol::{decision::control::ControlDecision, record::DomainRecord};
use citrongw_state::{
    id::{AttemptId, Epoch, FabricDomainId, InstanceId, NodeId, ReplicaId, Revision},
    slow_members::StepTimes,
    time::Time,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub use super::event::{Action, Event, ForeignReadPurpose, OrderCall, RecordWrite, WriteOutcome};
use super::{
    claim::{ClaimStep, ClaimTracker},
    context::{Context, ControlSettings},
    seen::ObservedInstance,
};

/// First pause before a call without an answer is tried again.
const RETRY_FIRST: Duration = Duration::from_millis(500);
/// Longest such pause.
const RETRY_MOST: Duration = Duration::from_secs(8);

/// Write under way.
#[derive(Debug, Clone)]
pub(super) struct PendingWrite {
    pub(super) attempt: AttemptId,
    pub(super) sent_at: Time,
    pub(super) record: Arc<DomainRecord>,
    pub(super) decisions: Vec<ControlDecision>,
}

/// What is known of a replica beside its record.
#[derive(Debug, Clone, Copy)]
pub(super) struct TrackedReplica {
    /// Since when it has not been serving.
    pub(super) down_since: Option<Time>,
    /// When its members last changed, or it was first seen.
    pub(super) formed_at: Time,
    /// Epoch of its members.
    pub(super) epoch: Epoch,
}

/// Control of one domain on one node.
#[derive(Debug)]
pub struct DomainControl {
    pub(super) settings: ControlSettings,
    pub(super) domain: FabricDomainId,
    pub(super) node: NodeId,
    pub(super) record: Option<Arc<DomainRecord>>,
    pub(super) revision: Option<Revision>,
    pub(super) must_read: bool,
    pub(super) reading: bool,
    pub(super) retry_at: Time,
    pub(super) retry_pause: Duration,
    pub(super) write: Option<PendingWrite>,
    pub(super) unsure: Option<PendingWrite>,
    /// When the last confirmed write of this node as owner was sent.
    pub(super) confirmed_at: Option<Time>,
    /// Until when orders of an earlier owner may still arrive.
    pub(super) predecessor_orders_until: Time,
    pub(super) renew: bool,
    pub(super) seen: BTreeMap<InstanceId, ObservedInstance>,
    pub(super) tracked_replicas: BTreeMap<ReplicaId, TrackedReplica>,
    pub(super) draining_since: BTreeMap<ReplicaId, Time>,
    /// Longest time that a request may take under any profile so far.
    pub(super) longest_request: Duration,
    pub(super) claims: ClaimTracker,
    pub(super) peers: StepTimes,
    pub(super) stragglers: Vec<InstanceId>,
    pub(super) mass_outage_since: Option<Time>,
    rng: SmallRng,
}

/// Opens the control of a domain.
pub fn open(
    domain: FabricDomainId,
    node: NodeId,
    settings: ControlSettings,
    seed: u64,
) -> DomainControl {
    DomainControl {
        settings,
        domain,
        node,
        record: None,
        revision: None,
        must_read: true,
        reading: false,
        retry_at: Time::START,
        retry_pause: RETRY_FIRST,
        write: None,
        unsure: None,
        confirmed_at: None,
        predecessor_orders_until: Time::START,
        renew: false,
        seen: BTreeMap::new(),
        tracked_replicas: BTreeMap::new(),
        draining_since: BTreeMap::new(),
        longest_request: Duration::ZERO,
        claims: ClaimTracker::default(),
        peers: StepTimes::default(),
        stragglers: Vec::new(),
        mass_outage_since: None,
        rng: SmallRng::seed_from_u64(seed),
    }
}

impl DomainControl {
    /// The domain.
    pub fn domain(&self) -> &FabricDomainId {
        &self.domain
    }

    /// The record as last read.
    pub fn record(&self) -> Option<&Arc<DomainRecord>> {
        self.record.as_ref()
    }

    /// Revision of that record.
    pub fn record_revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Whether a write is under way or its outcome unknown.
    pub fn has_open_write(&self) -> bool {
        self.write.is_some() || self.must_read
    }

    /// Whether the record, as last read, names this node as owner.
    pub fn is_owner(&self) -> bool {
        self.record.as_ref().is_some_and(|it| it.owner == Some(self.node))
    }

    /// Instances to ask for their status, with the address of each.
    pub fn poll_targets(&self) -> Vec<(InstanceId, std::net::SocketAddr)> {
        if !self.is_owner() {
            return Vec::new();
        }
        let listed = self.seen.values().filter_map(|it| it.listed.as_ref());
        let mut targets: BTreeMap<InstanceId, std::net::SocketAddr> =
            listed.map(|it| (it.id.clone(), it.engine_addr)).collect();
        if let Some(record) = &self.record {
            for member in record.allocated_members().chain(&record.releasing) {
                targets.entry(member.instance.clone()).or_insert(member.engine_addr);
            }
        }
        targets.into_iter().collect()
    }

    /// Takes one event and says what to do. What instances said is only kept
    /// until the next event of another kind.
    pub fn step(&mut self, ctx: &Context<'_>, event: Event, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let only_kept =
            matches!(event, Event::Status(..) | Event::Listed(_) | Event::OrderReplied(..));
        self.take(event, now, &mut actions);
        if only_kept {
            return actions;
        }
        self.decide(ctx, now, &mut actions);
        self.send_orders(ctx, now, &mut actions);
        actions
    }

    fn take(&mut self, event: Event, now: Time, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Read(found) => self.take_read(found, now, actions),
            Event::RecordReceived(record, revision) => {
                if self.revision < Some(revision) {
                    self.set_record(Some(record), Some(revision), now);
                }
            }
            Event::ReadFailed => {
                self.reading = false;
                self.back_off(now);
            }
            Event::Written(attempt, outcome) => self.take_written(attempt, outcome, now, actions),
            Event::Listed(listed) => self.handle_listed(listed, now),
            Event::Status(instance, status, asked_at) => {
                self.handle_status(&instance, &status, asked_at, now);
            }
            Event::OrderReplied(instance, reply) => self.handle_order_reply(&instance, &reply),
            Event::ForeignRead(ForeignReadPurpose::Claim(replica), found) => {
                self.claims.handle_read(replica, found);
            }
            Event::ForeignRead(ForeignReadPurpose::Check(claims), found) => {
                self.claims
                    .handle_check(&claims, found.as_ref().map(|(record, _)| record.as_ref()));
            }
            Event::ForeignWritten(replica) => self.claims.set(replica, ClaimStep::Read),
        }
    }

    fn take_read(
        &mut self,
        found: Option<(Arc<DomainRecord>, Revision)>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        self.reading = false;
        self.must_read = false;
        self.retry_pause = RETRY_FIRST;
        let (record, revision) = found.unzip();
        if revision < self.revision {
            return;
        }
        let attempt = record.as_ref().map(|it| it.attempt);
        let unsure = self.unsure.take_if(|it| Some(it.attempt) == attempt);
        self.set_record(record, revision, now);
        if let Some(unsure) = unsure {
            self.confirm(&unsure, actions);
        }
    }

    fn take_written(
        &mut self,
        attempt: AttemptId,
        outcome: WriteOutcome,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let Some(write) = self.write.take_if(|it| it.attempt == attempt) else { return };
        match outcome {
            WriteOutcome::Committed(revision) => {
                if self.revision < Some(revision) {
                    self.set_record(Some(Arc::clone(&write.record)), Some(revision), now);
                }
                self.confirm(&write, actions);
            }
            // The conflict may be with an earlier write of this node whose
            // reply was lost; the record says so itself.
            WriteOutcome::Conflict(found) => self.take_read(found, now, actions),
            WriteOutcome::Uncertain => {
                self.unsure = Some(write);
                self.must_read = true;
                self.back_off(now);
            }
        }
    }

    fn set_record(
        &mut self,
        record: Option<Arc<DomainRecord>>,
        revision: Option<Revision>,
        now: Time,
    ) {
        let was_owner = self.is_owner();
        self.record = record;
        self.revision = revision;
        if !self.is_owner() {
            self.confirmed_at = None;
            self.mass_outage_since = None;
        } else if !was_owner {
            self.begin_ownership(now);
        }
        self.track_replicas(now);
    }

    fn back_off(&mut self, now: Time) {
        self.retry_at = now + self.retry_pause;
        self.retry_pause = (self.retry_pause * 2).min(RETRY_MOST);
    }

    fn decide(&mut self, ctx: &Context<'_>, now: Time, actions: &mut Vec<Action>) {
        if self.write.is_some() {
            return;
        }
        if self.must_read {
            if !self.reading && self.retry_at <= now {
                self.reading = true;
                actions.push(Action::Read);
            }
            return;
        }
        let Some((record, decisions)) = self.next_record(ctx, now, actions) else { return };
        self.propose(record, decisions, now, actions);
    }

    fn propose(
        &mut self,
        mut record: DomainRecord,
        decisions: Vec<ControlDecision>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let attempt = AttemptId(self.rng.random());
        record.attempt = attempt;
        let record = Arc::new(record);
        self.renew = false;
        let (domain, expected) = (self.domain.clone(), self.revision);
        let written = Arc::clone(&record);
        actions.push(Action::Write(RecordWrite { domain, expected, record: written }));
        self.write = Some(PendingWrite { attempt, sent_at: now, record, decisions });
    }

    /// Draws the id of a new replica.
    pub(super) fn draw_replica(&mut self) -> ReplicaId {
        /// Bits that survive numbers of other languages.
        const ID_BITS: u32 = 53;
        ReplicaId(self.rng.random::<u64>() >> (u64::BITS - ID_BITS))
    }
}
