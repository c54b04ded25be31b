//! Control of one fabric domain on one node.
//!
//! All agreed state is in the domain's record. A node keeps only the record as
//! last read, the one write in flight, and the reports of the instances. A
//! write without a response proves nothing: the record is read back, and only its
//! content counts.

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
    observed_instance::ObservedInstance,
};

/// Initial backoff after a store call without a response. Doubles with each
/// failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum backoff.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Write of the record in flight.
#[derive(Debug, Clone)]
pub(super) struct PendingWrite {
    pub(super) attempt: AttemptId,
    pub(super) sent_at: Time,
    pub(super) record: Arc<DomainRecord>,
    pub(super) decisions: Vec<ControlDecision>,
}

/// In-memory state of a replica, kept beside its record.
#[derive(Debug, Clone, Copy)]
pub(super) struct TrackedReplica {
    /// When the replica stopped serving.
    pub(super) down_since: Option<Time>,
    /// When its members last changed, or the replica was first observed.
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
    pub(super) read_in_flight: bool,
    pub(super) retry_at: Time,
    pub(super) retry_delay: Duration,
    pub(super) write: Option<PendingWrite>,
    pub(super) unconfirmed_write: Option<PendingWrite>,
    /// When this node, as owner, sent its last confirmed write.
    pub(super) confirmed_at: Option<Time>,
    /// Time until which orders of an earlier owner may still arrive.
    pub(super) predecessor_orders_until: Time,
    pub(super) renewal_due: bool,
    pub(super) instances: BTreeMap<InstanceId, ObservedInstance>,
    pub(super) tracked_replicas: BTreeMap<ReplicaId, TrackedReplica>,
    pub(super) draining_since: BTreeMap<ReplicaId, Time>,
    /// Longest request time that any profile has allowed so far.
    pub(super) longest_request: Duration,
    pub(super) claims: ClaimTracker,
    pub(super) step_times: StepTimes,
    pub(super) stragglers: Vec<InstanceId>,
    pub(super) mass_outage_since: Option<Time>,
    rng: SmallRng,
}

/// Creates the control of a domain whose record is unknown.
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
        read_in_flight: false,
        retry_at: Time::START,
        retry_delay: INITIAL_RETRY_DELAY,
        write: None,
        unconfirmed_write: None,
        confirmed_at: None,
        predecessor_orders_until: Time::START,
        renewal_due: false,
        instances: BTreeMap::new(),
        tracked_replicas: BTreeMap::new(),
        draining_since: BTreeMap::new(),
        longest_request: Duration::ZERO,
        claims: ClaimTracker::default(),
        step_times: StepTimes::default(),
        stragglers: Vec::new(),
        mass_outage_since: None,
        rng: SmallRng::seed_from_u64(seed),
    }
}

impl DomainControl {
    /// Domain that is controlled.
    pub fn domain(&self) -> &FabricDomainId {
        &self.domain
    }

    /// The record as last read.
    pub fn record(&self) -> Option<&Arc<DomainRecord>> {
        self.record.as_ref()
    }

    /// Revision of the record as last read.
    pub fn record_revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Whether a write is in flight or has an unknown outcome.
    pub fn has_open_write(&self) -> bool {
        self.write.is_some() || self.must_read
    }

    /// Whether the record, as last read, names this node as owner.
    pub fn is_owner(&self) -> bool {
        self.record.as_ref().is_some_and(|it| it.owner == Some(self.node))
    }

    /// Instances whose status is to be polled, with the address of each engine.
    pub fn poll_targets(&self) -> Vec<(InstanceId, std::net::SocketAddr)> {
        if !self.is_owner() {
            return Vec::new();
        }
        let listed = self.instances.values().filter_map(|it| it.listed.as_ref());
        let mut targets: BTreeMap<InstanceId, std::net::SocketAddr> =
            listed.map(|it| (it.id.clone(), it.engine_addr)).collect();
        if let Some(record) = &self.record {
            for member in record.allocated_members().chain(&record.releasing) {
                targets.entry(member.instance.clone()).or_insert(member.engine_addr);
            }
        }
        targets.into_iter().collect()
    }

    /// Handles one event and returns the resulting actions. Status reports,
    /// instance lists and order replies are only stored; decisions wait for the
    /// next event of another kind.
    pub fn step(&mut self, ctx: &Context<'_>, event: Event, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let is_only_stored =
            matches!(event, Event::Status(..) | Event::Listed(_) | Event::OrderReplied(..));
        self.handle(event, now, &mut actions);
        if is_only_stored {
            return actions;
        }
        self.decide(ctx, now, &mut actions);
        self.send_orders(ctx, now, &mut actions);
        actions
    }

    fn handle(&mut self, event: Event, now: Time, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Read(found) => self.handle_read(found, now, actions),
            Event::RecordReceived(record, revision) => {
                if self.revision < Some(revision) {
                    self.set_record(Some(record), Some(revision), now);
                }
            }
            Event::ReadFailed => {
                self.read_in_flight = false;
                self.back_off(now);
            }
            Event::Written(attempt, outcome) => self.handle_written(attempt, outcome, now, actions),
            Event::Listed(listed) => self.handle_listed(listed, now),
            Event::Status(instance, status, requested_at) => {
                self.handle_status(&instance, &status, requested_at, now);
            }
            Event::OrderReplied(instance, reply) => self.handle_order_reply(&instance, &reply),
            Event::ForeignRead(ForeignReadPurpose::Claim(replica), found) => {
                self.claims.handle_read(replica, found);
            }
            Event::ForeignRead(ForeignReadPurpose::Check(claims), found) => {
                self.claims
                    .handle_check(&claims, found.as_ref().map(|(record, _)| record.as_ref()));
            }
            Event::ForeignWritten(replica) => self.claims.set_step(replica, ClaimStep::Read),
        }
    }

    fn handle_read(
        &mut self,
        found: Option<(Arc<DomainRecord>, Revision)>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        self.read_in_flight = false;
        self.must_read = false;
        self.retry_delay = INITIAL_RETRY_DELAY;
        let (record, revision) = found.unzip();
        if revision < self.revision {
            return;
        }
        let attempt = record.as_ref().map(|it| it.attempt);
        let unconfirmed_write = self.unconfirmed_write.take_if(|it| Some(it.attempt) == attempt);
        self.set_record(record, revision, now);
        if let Some(unconfirmed_write) = unconfirmed_write {
            self.confirm(&unconfirmed_write, actions);
        }
    }

    fn handle_written(
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
            // response was lost; the attempt id in the record shows it.
            WriteOutcome::Conflict(found) => self.handle_read(found, now, actions),
            WriteOutcome::Uncertain => {
                self.unconfirmed_write = Some(write);
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
        self.retry_at = now + self.retry_delay;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
    }

    fn decide(&mut self, ctx: &Context<'_>, now: Time, actions: &mut Vec<Action>) {
        if self.write.is_some() {
            return;
        }
        if self.must_read {
            if !self.read_in_flight && self.retry_at <= now {
                self.read_in_flight = true;
                actions.push(Action::Read);
            }
            return;
        }
        let Some((record, decisions)) = self.next_record(ctx, now, actions) else { return };
        self.start_write(record, decisions, now, actions);
    }

    fn start_write(
        &mut self,
        mut record: DomainRecord,
        decisions: Vec<ControlDecision>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let attempt = AttemptId(self.rng.random());
        record.attempt = attempt;
        let record = Arc::new(record);
        self.renewal_due = false;
        let (domain, expected) = (self.domain.clone(), self.revision);
        let written = Arc::clone(&record);
        actions.push(Action::Write(RecordWrite { domain, expected, record: written }));
        self.write = Some(PendingWrite { attempt, sent_at: now, record, decisions });
    }

    /// Generates the id of a new replica.
    pub(super) fn new_replica_id(&mut self) -> ReplicaId {
        /// Integers of up to 53 bits are exact in languages that have only
        /// double-precision numbers.
        const ID_BITS: u32 = 53;
        ReplicaId(self.rng.random::<u64>() >> (u64::BITS - ID_BITS))
    }
}
