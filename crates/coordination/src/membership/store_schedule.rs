//! A node's reads from and writes to the key-value service.
//!
//! Only the first nodes of a zone read, so that the number of calls grows with
//! the number of zones and not of nodes. A node without a configuration reads
//! for itself, backing off after failures. The first node of a zone maintains
//! the zone's node record and batches the changes of a few seconds into one
//! write.

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

/// Nodes of a zone that read the key-value service.
const READERS: usize = 2;
/// Interval between reads of the configuration key.
const HEAD_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between reads of the node records.
const RECORDS_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between writes of the zone's node record.
const WRITE_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a dead member is removed from the node record.
const REMOVE_AFTER: Duration = Duration::from_secs(10);
/// Maximum delay after failed reads.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Delay before a newer document is read from the service, in which a peer may
/// transfer it.
const PEER_TRANSFER_DELAY: Duration = Duration::from_millis(150);
/// Time after which a read without a result counts as lost.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Schedule of one node's calls to the key-value service.
#[derive(Debug)]
pub(super) struct StoreSchedule {
    next_head_read_at: Time,
    next_records_read_at: Time,
    next_write_at: Time,
    /// When the document is to be read, and when the preceding read of the key
    /// was sent.
    document_read: Option<(Time, Time)>,
    head_read_sent_at: Option<Time>,
    failures: u32,
    refresh_requested: bool,
}

impl StoreSchedule {
    pub(super) fn new(now: Time) -> Self {
        Self {
            next_head_read_at: now,
            next_records_read_at: now,
            next_write_at: now + WRITE_INTERVAL,
            document_read: None,
            head_read_sent_at: None,
            failures: 0,
            refresh_requested: false,
        }
    }

    /// Requests a read of the configuration key at the next tick.
    pub(super) fn refresh(&mut self) {
        self.refresh_requested = true;
    }

    fn head_read_pending(&self, now: Time) -> bool {
        self.head_read_sent_at.is_some_and(|at| now.since(at) < READ_TIMEOUT)
    }
}

impl Membership {
    /// Starts the calls that are due.
    pub(super) fn start_store_calls(&mut self, now: Time, actions: &mut Vec<Action>) {
        let rank = self.rank_in_zone();
        let has_no_config = self.held_config.document().is_none();
        let due = (rank < READERS || has_no_config) && self.store_schedule.next_head_read_at <= now;
        if (due || self.store_schedule.refresh_requested)
            && !self.store_schedule.head_read_pending(now)
        {
            self.store_schedule.refresh_requested = false;
            self.store_schedule.head_read_sent_at = Some(now);
            self.store_schedule.next_head_read_at = now + self.jittered(HEAD_INTERVAL);
            actions.push(Action::ReadHead);
        }
        if rank < READERS && self.store_schedule.next_records_read_at <= now {
            self.store_schedule.next_records_read_at = now + self.jittered(RECORDS_INTERVAL);
            actions.push(Action::ReadRecords);
        }
        if let Some((due, requested_at)) = self.store_schedule.document_read
            && due <= now
        {
            self.store_schedule.document_read = None;
            actions.push(Action::ReadDocument { requested_at });
        }
        if rank == 0 && self.store_schedule.next_write_at <= now {
            self.store_schedule.next_write_at = now + self.jittered(WRITE_INTERVAL);
            self.write_record(now, actions);
        }
    }

    /// Whether this node reads the key-value service for its zone.
    pub fn is_store_reader(&self) -> bool {
        self.rank_in_zone() < READERS
    }

    /// The zone's node record without this node, and the condition of its write.
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

    /// Live members of the zone, and recently dead ones that may return.
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

    pub(super) fn handle_head_read(
        &mut self,
        found: &StoreResult<Option<Revision>>,
        requested_at: Time,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        self.store_schedule.head_read_sent_at = None;
        let Ok(found) = *found else { return self.back_off(now) };
        self.store_schedule.failures = 0;
        match self.held_config.check_head(found, requested_at) {
            HeadStatus::Unchanged => self.store_schedule.document_read = None,
            HeadStatus::WentBack => {
                self.store_schedule.document_read = None;
                let (held, found) = (self.held_config.token().config, found.unwrap_or_default());
                actions.push(Action::LogDecision(Decision::ConfigWentBack { held, found }));
            }
            HeadStatus::Newer if self.held_config.document().is_none() => {
                actions.push(Action::ReadDocument { requested_at });
            }
            HeadStatus::Newer => {
                let scheduled = self.store_schedule.document_read.is_some();
                if !scheduled {
                    self.store_schedule.document_read =
                        Some((now + PEER_TRANSFER_DELAY, requested_at));
                }
            }
        }
    }

    fn back_off(&mut self, now: Time) {
        let pause = HEAD_INTERVAL * 2u32.saturating_pow(self.store_schedule.failures);
        self.store_schedule.failures = (self.store_schedule.failures + 1).min(8);
        self.store_schedule.next_head_read_at = now + self.jittered(pause.min(MAX_BACKOFF));
    }

    pub(super) fn handle_document_read(
        &mut self,
        current: StoreResult<Option<Box<StoredConfig>>>,
        requested_at: Time,
        actions: &mut Vec<Action>,
    ) {
        let Ok(Some(current)) = current else { return };
        let revision = current.revision;
        if self.held_config.offer_stored(*current, requested_at) == OfferOutcome::Forked {
            let held = self.held_config.token().config;
            actions.push(Action::LogDecision(Decision::ConfigForked { held, found: revision }));
        }
    }

    pub(super) fn handle_records_read(
        &mut self,
        records: StoreResult<Vec<VersionedNodeRecord>>,
        now: Time,
    ) {
        if let Ok(records) = records {
            self.held_config.merge_records(records, now);
        }
    }

    pub(super) fn handle_record_written(
        &mut self,
        written: StoreResult<Option<VersionedNodeRecord>>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        // A write without a response may have been applied: read before the next write.
        let Ok(Some(found)) = written else {
            return self.store_schedule.next_records_read_at = now;
        };
        actions.push(Action::LogDecision(Decision::NodesRecorded {
            zone: found.zone.clone(),
            members: found.record.members.len(),
            revision: found.revision,
        }));
        self.held_config.merge_records([found], now);
    }

    /// `pause` with a jitter of up to a quarter.
    fn jittered(&mut self, pause: Duration) -> Duration {
        pause.mul_f64(self.rng.random_range(0.75..1.25))
    }
}
