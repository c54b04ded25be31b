//! State that a node holds (the configuration and the node records), and whether
//! the node may act on it.
//!
//! A node may accept requests while one of these is true:
//! - within the last [`Rules::max_age`], the key-value service had no newer version
//!   than the held one, according to a read of this node or to a peer;
//! - within the same time, a majority of the recorded nodes held exactly the same
//!   state as this node.
//!
//! A change is accepted [`Rules::accept_wait`] after a majority is known to hold
//! it. A node that missed the change stops serving, by the first rule, within
//! `max_age` of the commit; by the second, within `max_age` of the majority,
//! because two majorities share a node and no node returns to an older version.
//! Both are within [`IN_FORCE_WITHIN`](super::rules::IN_FORCE_WITHIN) of the
//! acceptance.

mod transfer;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use citrongw_protocol::{
    admin_config::{Acceptance, MAX_MISSING_LISTED},
    node_record::{NodeRecord, VersionedNodeRecord},
    peer::{ConfigState, ConfigToken, HolderQuery, HolderReport},
};
use citrongw_state::{
    id::{AttemptId, AvailabilityZone, NodeId, Revision},
    time::Time,
};

use super::{
    document::{self, Document, OfferOutcome},
    edit::StoredConfig,
    gate::ConfigStatus,
    holders::HolderTable,
    rules::Rules,
};

/// Time after a change for which a node queries which nodes hold it, even if a
/// majority is known to.
const HOLDER_QUERY_PERIOD: Duration = Duration::from_secs(10);
/// Consecutive reads that find an older version before the service is reported
/// as having gone back.
const BACKWARD_READS: u32 = 3;

/// Configuration and node records held by one node.
#[derive(Debug)]
pub struct HeldConfig {
    node: NodeId,
    zone: AvailabilityZone,
    rules: Rules,
    document: Option<Document>,
    records: BTreeMap<AvailabilityZone, VersionedNodeRecord>,
    token: ConfigToken,
    confirmed_at: Option<Time>,
    holders: HolderTable,
    /// When a majority was first known to hold the token.
    majority_at: Option<Time>,
    /// When a majority was first known to hold the document, with any node
    /// records.
    config_majority_at: Option<Time>,
    is_held_by_all: bool,
    changed_at: Time,
    accepted: Option<Revision>,
    backward_reads: u32,
    went_back_to: Option<Revision>,
    forked: bool,
    /// Whether changes from a peer did not match the digest, so that the next
    /// request is for the whole document.
    needs_whole: bool,
}

/// Held version compared with a read of the configuration key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadStatus {
    /// No action is needed.
    Unchanged,
    /// The service has a newer document, which must be read.
    Newer,
    /// The service has an older version than the held one.
    WentBack,
}

impl HeldConfig {
    /// Creates an empty state.
    pub fn new(node: NodeId, zone: AvailabilityZone, rules: Rules) -> Self {
        Self {
            node,
            zone,
            rules,
            document: None,
            records: BTreeMap::new(),
            token: ConfigToken::default(),
            confirmed_at: None,
            holders: HolderTable::default(),
            majority_at: None,
            config_majority_at: None,
            is_held_by_all: false,
            changed_at: Time::START,
            accepted: None,
            backward_reads: 0,
            went_back_to: None,
            forked: false,
            needs_whole: false,
        }
    }

    /// Held configuration document.
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// Revision and digest that identify the held state.
    pub fn token(&self) -> ConfigToken {
        self.token
    }

    /// Node record of this node's zone.
    pub fn own_record(&self) -> Option<&VersionedNodeRecord> {
        self.records.get(&self.zone)
    }

    /// State to send in every message.
    pub fn config_state(&self, now: Time) -> ConfigState {
        let age = self.confirmed_at.map(|at| now.since(at).as_millis() + 1);
        ConfigState {
            token: self.token,
            confirmed_age_ms: age.and_then(|age| u16::try_from(age).ok()),
            settled: self.has_majority(),
        }
    }

    /// Applies the state in a response to a request sent at `requested_at`.
    pub fn apply_config_state(&mut self, state: &ConfigState, requested_at: Time, now: Time) {
        if state.settled && state.token == self.token {
            self.record_majority(now);
        }
        let no_newer = state.token.config <= self.token.config;
        let Some(age_ms) = state.confirmed_age_ms.filter(|_| no_newer) else { return };
        self.confirm(requested_at - Duration::from_millis(age_ms.into()));
    }

    /// Merges holder data from a responding node that holds `token`.
    pub fn add_holders(
        &mut self,
        from: NodeId,
        token: ConfigToken,
        holders: Option<&HolderReport>,
        requested_at: Time,
    ) {
        if token != self.token {
            return;
        }
        self.holders.add_node(from, requested_at);
        if let Some(holders) = holders {
            self.holders.add_report(from, holders, requested_at);
        }
    }

    /// Merges the bitmap of holders attached to a ping.
    pub fn add_ever_held(&mut self, from: NodeId, token: ConfigToken, bits: &[u8]) {
        if token == self.token {
            self.holders.add_ever_held(from, bits);
        }
    }

    /// Bitmap of holders to attach to a ping within the zone.
    pub fn ever_held_bits(&self, now: Time) -> Vec<u8> {
        match self.holder_query(now) {
            HolderQuery::EverHeld => self.holders.ever_held_bits(),
            HolderQuery::None | HolderQuery::Ages => Vec::new(),
        }
    }

    /// Holder data for a node of the same or another zone.
    pub fn holders_for(
        &mut self,
        query: HolderQuery,
        same_zone: bool,
        now: Time,
    ) -> Option<HolderReport> {
        self.holders.add_node(self.node, now);
        self.holders.holders_for(query, same_zone, now)
    }

    /// Holder data that pings request: the ages of all holders while the service
    /// does not respond; the nodes that ever held the token until a majority is
    /// known and, within `HOLDER_QUERY_PERIOD` of a change, until all are.
    pub fn holder_query(&self, now: Time) -> HolderQuery {
        if self.confirmed_at.is_none_or(|at| self.rules.max_age / 3 < now.since(at)) {
            return HolderQuery::Ages;
        }
        let recent = now.since(self.changed_at) < HOLDER_QUERY_PERIOD;
        if !self.has_majority() || (recent && !self.is_held_by_all) {
            return HolderQuery::EverHeld;
        }
        HolderQuery::None
    }

    /// Whether a majority is known to hold the same state as this node.
    pub fn has_majority(&self) -> bool {
        self.majority_at.is_some()
    }

    /// Compares the held version with a read of the configuration key sent at
    /// `requested_at`.
    pub fn check_head(&mut self, found: Option<Revision>, requested_at: Time) -> HeadStatus {
        let held = self.document.as_ref().map(|it| it.version.revision);
        if found == held {
            self.backward_reads = 0;
            self.went_back_to = None;
            self.confirm(requested_at);
            return HeadStatus::Unchanged;
        }
        if held < found {
            return HeadStatus::Newer;
        }
        self.backward_reads += 1;
        if self.backward_reads < BACKWARD_READS {
            return HeadStatus::Unchanged;
        }
        self.went_back_to = Some(found.unwrap_or_default());
        HeadStatus::WentBack
    }

    /// Offers a document read from the service. The preceding read of the key was
    /// sent at `requested_at`.
    pub fn offer_stored(&mut self, current: StoredConfig, requested_at: Time) -> OfferOutcome {
        let revision = current.revision;
        let outcome = document::offer_read(&mut self.document, current);
        self.apply_offer_outcome(outcome, requested_at);
        if self.token.config == revision && self.document.is_some() {
            self.confirm(requested_at);
        }
        outcome
    }

    fn apply_offer_outcome(&mut self, outcome: OfferOutcome, now: Time) {
        self.forked = match outcome {
            OfferOutcome::Applied => false,
            OfferOutcome::Forked => true,
            OfferOutcome::NotNewer | OfferOutcome::DigestMismatch => self.forked,
        };
        self.needs_whole = outcome == OfferOutcome::DigestMismatch;
        if outcome == OfferOutcome::Applied {
            self.went_back_to = None;
            self.backward_reads = 0;
            self.update_token(now);
        }
    }

    /// Merges node records; records that are not newer are ignored.
    pub fn merge_records(
        &mut self,
        records: impl IntoIterator<Item = VersionedNodeRecord>,
        now: Time,
    ) {
        let mut changed = false;
        for record in records {
            let held = self.records.get(&record.zone);
            if held.is_none_or(|it| it.revision < record.revision) {
                self.records.insert(record.zone.clone(), record);
                changed = true;
            }
        }
        if changed {
            self.update_token(now);
        }
    }

    fn update_token(&mut self, now: Time) {
        let before = self.token.config;
        let mut hasher = blake3::Hasher::new();
        if let Some(document) = &self.document {
            hasher.update(&document.version.digest.0);
        }
        for (zone, record) in &self.records {
            hasher.update(zone.as_str().as_bytes());
            hasher.update(&record.revision.number.to_le_bytes());
        }
        let mut digest = [0; 8];
        hasher.finalize_xof().fill(&mut digest);
        let config = self.document.as_ref().map_or(Revision::new(0), |it| it.version.revision);
        self.token = ConfigToken { config, digest: u64::from_le_bytes(digest) };
        self.majority_at = None;
        if self.token.config != before {
            self.config_majority_at = None;
        }
        self.is_held_by_all = false;
        self.changed_at = now;
        self.holders.restart(self.records.values(), &self.zone);
    }

    fn confirm(&mut self, at: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Records whether a majority holds the token, and accepts the configuration
    /// after [`Rules::accept_wait`].
    pub fn update_acceptance(&mut self, now: Time) {
        self.holders.add_node(self.node, now);
        if self.majority_at.is_none() || !self.is_held_by_all {
            let tally = self.holders.tally();
            self.is_held_by_all = tally.holding == tally.recorded;
            if tally.majority {
                self.record_majority(now);
            }
        }
        let waited =
            self.config_majority_at.is_some_and(|at| self.rules.accept_wait <= now.since(at));
        if waited && self.document.is_some() {
            self.accepted = self.accepted.max(Some(self.token.config));
        }
    }

    fn record_majority(&mut self, at: Time) {
        self.majority_at.get_or_insert(at);
        self.config_majority_at.get_or_insert(at);
    }

    /// Latest accepted revision.
    pub fn accepted(&self) -> Option<Revision> {
        self.accepted
    }

    /// Time until which the node may accept requests; `None` if it must not.
    pub fn serve_until(&self) -> Option<Time> {
        self.document.as_ref()?;
        self.confirmed_at.max(self.holders.majority_since()).map(|at| at + self.rules.max_age)
    }

    /// Status for the rest of the node.
    pub fn status(&self) -> ConfigStatus {
        ConfigStatus {
            held: self.document.as_ref().map(|it| it.version.revision),
            confirmed_at: self.confirmed_at,
            went_back_to: self.went_back_to,
            forked: self.forked,
            accepted: self.accepted,
            acceptance: self.acceptance(),
        }
    }

    fn acceptance(&self) -> Option<Acceptance> {
        let revision = self.document.as_ref()?.version.revision;
        let tally = self.holders.tally();
        let number = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let mut missing = tally.missing;
        missing.truncate(MAX_MISSING_LISTED);
        Some(Acceptance {
            revision,
            accepted: Some(revision) <= self.accepted,
            holding: number(tally.holding),
            recorded: number(tally.recorded),
            missing,
        })
    }

    /// Next node record of this zone, given its present members. `None` if the
    /// record is up to date or a change of it is in progress.
    pub fn next_record(&self, members: BTreeSet<NodeId>, attempt: AttemptId) -> Option<NodeRecord> {
        let Some(held) = self.own_record() else {
            return Some(NodeRecord { attempt, members, before: None });
        };
        let record = &held.record;
        let in_progress = record.before.is_some();
        if in_progress && !self.has_majority() {
            return None;
        }
        if members != record.members {
            let before = Some(record.members.clone());
            return Some(NodeRecord { attempt, members, before });
        }
        in_progress.then_some(NodeRecord { attempt, members, before: None })
    }
}
