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
use crate::config::{document::Offer, edit::Current, holding::HeadRead};

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
pub(super) struct StoreDuty {
    head_at: Time,
    records_at: Time,
    write_at: Time,
    document_at: Option<(Time, Time)>,
    head_sent: Option<Time>,
    failures: u32,
    refresh_asked: bool,
}

impl StoreDuty {
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
    pub(super) fn attend_store(&mut self, now: Time, actions: &mut Vec<Action>) {
        let place = self.place();
        let lacks = self.holding.document().is_none();
        let due = (place < READERS || lacks) && self.duty.head_at <= now;
        if (due || self.duty.refresh_asked) && !self.duty.head_pending(now) {
            self.duty.refresh_asked = false;
            self.duty.head_sent = Some(now);
            self.duty.head_at = now + self.jittered(HEAD_INTERVAL);
            actions.push(Action::ReadHead);
        }
        if place < READERS && self.duty.records_at <= now {
            self.duty.records_at = now + self.jittered(RECORDS_INTERVAL);
            actions.push(Action::ReadRecords);
        }
        if let Some((due, asked_at)) = self.duty.document_at
            && due <= now
        {
            self.duty.document_at = None;
            actions.push(Action::ReadDocument { asked_at });
        }
        if place == 0 && self.duty.write_at <= now {
            self.duty.write_at = now + self.jittered(WRITE_INTERVAL);
            self.write_record(now, actions);
        }
    }

    /// Whether this node is one of those that read the service.
    pub fn reads_service(&self) -> bool {
        self.place() < READERS
    }

    /// Record of the zone without this node, and what must stand there.
    pub fn record_without_this(&mut self) -> Option<(Expected, NodeRecord)> {
        let held = self.holding.own_record()?;
        let expected = Expected::Revision(held.revision);
        let mut members = held.record.members.clone();
        members.remove(&self.this.id);
        let attempt = AttemptId(self.draw());
        Some((expected, self.holding.next_record(members, attempt)?))
    }

    fn write_record(&mut self, now: Time, actions: &mut Vec<Action>) {
        let attempt = AttemptId(self.draw());
        let members = self.record_members(now);
        let Some(record) = self.holding.next_record(members, attempt) else { return };
        let held = self.holding.own_record().map(|it| it.revision);
        let expected = held.map_or(Expected::Absent, Expected::Revision);
        actions.push(Action::WriteRecord { expected, record });
    }

    /// Live members of the zone, and dead ones that may yet return.
    fn record_members(&self, now: Time) -> BTreeSet<NodeId> {
        let mut members: BTreeSet<NodeId> = self.members.zone(&self.this.zone).collect();
        let recorded = self.holding.own_record();
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
        self.duty.head_sent = None;
        let Ok(found) = *found else { return self.back_off(now) };
        self.duty.failures = 0;
        match self.holding.take_head(found, asked_at) {
            HeadRead::Known => self.duty.document_at = None,
            HeadRead::WentBack => {
                self.duty.document_at = None;
                let (held, found) = (self.holding.token().config, found.unwrap_or_default());
                actions.push(Action::Decided(Decision::ConfigWentBack { held, found }));
            }
            HeadRead::Newer if self.holding.document().is_none() => {
                actions.push(Action::ReadDocument { asked_at });
            }
            HeadRead::Newer => {
                let waiting = self.duty.document_at.is_some();
                if !waiting {
                    self.duty.document_at = Some((now + PEER_FIRST, asked_at));
                }
            }
        }
    }

    fn back_off(&mut self, now: Time) {
        let pause = HEAD_INTERVAL * 2u32.saturating_pow(self.duty.failures);
        self.duty.failures = (self.duty.failures + 1).min(8);
        self.duty.head_at = now + self.jittered(pause.min(MAX_BACK_OFF));
    }

    pub(super) fn take_document(
        &mut self,
        current: StoreResult<Option<Box<Current>>>,
        asked_at: Time,
        actions: &mut Vec<Action>,
    ) {
        let Ok(Some(current)) = current else { return };
        let revision = current.revision;
        if self.holding.take_current(*current, asked_at) == Offer::Forked {
            let held = self.holding.token().config;
            actions.push(Action::Decided(Decision::ConfigForked { held, found: revision }));
        }
    }

    pub(super) fn take_records(
        &mut self,
        records: StoreResult<Vec<VersionedNodeRecord>>,
        now: Time,
    ) {
        if let Ok(records) = records {
            self.holding.take_records(records, now);
        }
    }

    pub(super) fn take_written(
        &mut self,
        written: StoreResult<Option<VersionedNodeRecord>>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        // A write without answer may have taken effect: read before the next.
        let Ok(Some(found)) = written else { return self.duty.records_at = now };
        actions.push(Action::Decided(Decision::NodesRecorded {
            zone: found.zone.clone(),
            members: found.record.members.len(),
            revision: found.revision,
        }));
        self.holding.take_records([found], now);
    }

    /// `pause`, a quarter more or less.
    fn jittered(&mut self, pause: Duration) -> Duration {
        pause.mul_f64(self.rng.random_range(0.75..1.25))
    }
}
