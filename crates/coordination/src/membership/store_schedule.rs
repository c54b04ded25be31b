//! What a node reads from and writes to the key-value service.
//!
//! Only the first nodes of a zone read, so that the service's calls grow with
//! the zones and not with the nodes. A node that holds no configuration reads
//! for itself, ever less often. The first node of a zone keeps the zone's node
//! record, one write for all changes of a few seconds.

use std::{collections::BTreeSet, time::Duration};

use citrongw_protocol::{
    decision::Decision,
    node_record::{NodeRecord, VersionedNodeRecord},
    peer::MemberState,
    store::{Expected, StoreResult},
};
use citrongw_state::{
    id::{AttemptId, NodeId, Revision},
    time::Time,
};
use rand::Rng;

use super::{Action, Membership};
use crate::config::{document::OfferOutcome, edit::StoredConfig, held_config::HeadStatus};

/// Nodes of a zone that read.
const READERS: usize = 2;
/// Pause between two reads of the configuration key.
const HEAD_INTERVAL: Duration = Duration::from_secs(1);
/// Pause between two reads of the node records.
const RECORDS_INTERVAL: Duration = Duration::from_secs(10);
/// Pause between two writes of the zone's record.
const WRITE_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a dead member is taken off the record.
const REMOVE_AFTER: Duration = Duration::from_secs(10);
/// Longest pause after failures.
const MAX_BACK_OFF: Duration = Duration::from_secs(8);
/// Time in which a peer may bring the document before it is read.
const PEER_FIRST: Duration = Duration::from_millis(150);
/// Time after which a call without end is forgotten.
const CALL_LOST: Duration = Duration::from_secs(10);

/// Calls of one node.
#[derive(Debug)]
pub(super) struct StoreSchedule {
    head_at: Time,
    records_at: Time,
    write_at: Time,
    document_at: Option<(Time, Time)>,
    head_sent: Option<Time>,
    failures: u32,
    refresh_asked: bool,
}

impl StoreSchedule {
    pub(super) fn new(now: Time) -> Self {
        Self {
            head_at: now,
            records_at: now,
            write_at: now + WRITE_INTERVAL,
            document_at: None,
            head_sent: None,
            failures: 0,
            refresh_asked: false,
        }
    }

    /// Reads again soon.
    pub(super) fn refresh(&mut self) {
        self.refresh_asked = true;
    }

    fn head_pending(&self, now: Time) -> bool {
        self.head_sent.is_some_and(|at| now.since(at) < CALL_LOST)
    }
}

impl Membership {
    /// Starts the calls that are due.
    pub(super) fn start_store_calls(&mut self, now: Time, actions: &mut Vec<Action>) {
        let place = self.rank_in_zone();
        let lacks = self.held_config.document().is_none();
        let due = (place < READERS || lacks) && self.store_schedule.head_at <= now;
        if (due || self.store_schedule.refresh_asked) && !self.store_schedule.head_pending(now) {
            self.store_schedule.refresh_asked = false;
            self.store_schedule.head_sent = Some(now);
            self.store_schedule.head_at = now + self.jittered(HEAD_INTERVAL);
            actions.push(Action::ReadHead);
        }
        if place < READERS && self.store_schedule.records_at <= now {
            self.store_schedule.records_at = now + self.jittered(RECORDS_INTERVAL);
            actions.push(Action::ReadRecords);
        }
        if let Some((due, asked_at)) = self.store_schedule.document_at
            && due <= now
        {
            self.store_schedule.document_at = None;
            actions.push(Action::ReadDocument { requested_at: asked_at });
        }
        if place == 0 && self.store_schedule.write_at <= now {
            self.store_schedule.write_at = now + self.jittered(WRITE_INTERVAL);
            self.write_record(now, actions);
        }
    }

    /// Whether this node is one of those that read the service.
    pub fn is_store_reader(&self) -> bool {
        self.rank_in_zone() < READERS
    }

    /// Record of the zone without this node, and what must stand there.
    pub fn record_without_this(&mut self) -> Option<(Expected, NodeRecord)> {
        let held = self.held_config.own_record()?;
        let expected = Expected::Revision(held.revision);
        let mut members = held.record.members.clone();
        members.remove(&self.this.id);
        let attempt = AttemptId(self.random_id());
        Some((expected, self.held_config.next_record(members, attempt)?))
    }

    fn write_record(&mut self, now: Time, actions: &mut Vec<Action>) {
        let attempt = AttemptId(self.random_id());
        let members = self.record_members(now);
        let Some(record) = self.held_config.next_record(members, attempt) else { return };
        let held = self.held_config.own_record().map(|it| it.revision);
        let expected = held.map_or(Expected::Absent, Expected::Revision);
        actions.push(Action::WriteRecord { expected, record });
    }

    /// Live members of the zone, and dead ones that may yet return.
    fn record_members(&self, now: Time) -> BTreeSet<NodeId> {
        let mut members: BTreeSet<NodeId> = self.members.live_in_zone(&self.this.zone).collect();
        let recorded = self.held_config.own_record();
        for node in recorded.iter().flat_map(|it| &it.record.members) {
            let Some(member) = self.members.get(*node) else { continue };
            let dead = member.update.state == MemberState::Dead;
            if dead && now.since(member.changed_at) < REMOVE_AFTER {
                members.insert(*node);
            }
        }
        members
    }

    pub(super) fn take_head(
        &mut self,
        found: &StoreResult<Option<Revision>>,
        asked_at: Time,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        self.store_schedule.head_sent = None;
        let Ok(found) = *found else { return self.back_off(now) };
        self.store_schedule.failures = 0;
        match self.held_config.take_head(found, asked_at) {
            HeadStatus::Unchanged => self.store_schedule.document_at = None,
            HeadStatus::WentBack => {
                self.store_schedule.document_at = None;
                let (held, found) = (self.held_config.token().config, found.unwrap_or_default());
                actions.push(Action::Decided(Decision::ConfigWentBack { held, found }));
            }
            HeadStatus::Newer if self.held_config.document().is_none() => {
                actions.push(Action::ReadDocument { requested_at: asked_at });
            }
            HeadStatus::Newer => {
                let waiting = self.store_schedule.document_at.is_some();
                if !waiting {
                    self.store_schedule.document_at = Some((now + PEER_FIRST, asked_at));
                }
            }
        }
    }

    fn back_off(&mut self, now: Time) {
        let pause = HEAD_INTERVAL * 2u32.saturating_pow(self.store_schedule.failures);
        self.store_schedule.failures = (self.store_schedule.failures + 1).min(8);
        self.store_schedule.head_at = now + self.jittered(pause.min(MAX_BACK_OFF));
    }

    pub(super) fn take_document(
        &mut self,
        current: StoreResult<Option<Box<StoredConfig>>>,
        asked_at: Time,
        actions: &mut Vec<Action>,
    ) {
        let Ok(Some(current)) = current else { return };
        let revision = current.revision;
        if self.held_config.take_current(*current, asked_at) == OfferOutcome::Forked {
            let held = self.held_config.token().config;
            actions.push(Action::Decided(Decision::ConfigForked { held, found: revision }));
        }
    }

    pub(super) fn take_records(
        &mut self,
        records: StoreResult<Vec<VersionedNodeRecord>>,
        now: Time,
    ) {
        if let Ok(records) = records {
            self.held_config.take_records(records, now);
        }
    }

    pub(super) fn take_written(
        &mut self,
        written: StoreResult<Option<VersionedNodeRecord>>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        // A write without answer may have taken effect: read before the next.
        let Ok(Some(found)) = written else { return self.store_schedule.records_at = now };
        actions.push(Action::Decided(Decision::NodesRecorded {
            zone: found.zone.clone(),
            members: found.record.members.len(),
            revision: found.revision,
        }));
        self.held_config.take_records([found], now);
    }

    /// `pause`, a quarter more or less.
    fn jittered(&mut self, pause: Duration) -> Duration {
        pause.mul_f64(self.rng.random_range(0.75..1.25))
    }
}
