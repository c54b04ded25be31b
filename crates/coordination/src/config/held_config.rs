//! What a node holds (the configuration and the node records), and whether it
//! may act on it.
//!
//! A node may take requests while either holds:
//! - at a point in time no longer ago than [`Rules::bound`], the service had no newer
//!   version than its own, as it read itself or heard from a peer;
//! - a majority of the recorded nodes held exactly what it holds, at points in
//!   time no longer ago than that.
//!
//! A change is accepted [`Rules::accept_wait`] after a majority was found to hold
//! it. By the first rule a node that missed the change stops before the bound has
//! passed since the commit; by the second, before it has passed since the
//! majority, because two majorities share a node and no node goes back. Both
//! lie within [`IN_FORCE`](super::rules::IN_FORCE) of the acceptance.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use citrongw_protocol::{
    admin_config::{Acceptance, MAX_MISSING_LISTED},
    node_record::{NodeRecord, VersionedNodeRecord},
    peer::{
        ConfigState, ConfigToken, ConfigTransfer, FetchRequest, FetchResponse, HolderQuery,
        HolderReport,
    },
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

/// Time after a change for which a node goes on asking who holds it.
const COLLECT_SPAN: Duration = Duration::from_secs(10);
/// Reads in a row that find an older version before the service counts as gone
/// back.
const BACKWARD_READS: u32 = 3;

/// What one node holds.
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
    /// When a majority was found to hold the token.
    majority_at: Option<Time>,
    /// When a majority was found to hold the document, under any records.
    config_majority_at: Option<Time>,
    is_held_by_all: bool,
    changed_at: Time,
    accepted: Option<Revision>,
    backward_reads: u32,
    went_back_to: Option<Revision>,
    forked: bool,
    /// Whether changes from a peer did not fit, so that the whole is asked for.
    asks_whole: bool,
}

/// What a read of the configuration key calls for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadStatus {
    /// Nothing.
    Unchanged,
    /// The document is newer: read it.
    Newer,
    /// The service lies behind what is held.
    WentBack,
}

impl HeldConfig {
    /// Holds nothing yet.
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
            asks_whole: false,
        }
    }

    /// Document held.
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// Token of all that is held.
    pub fn token(&self) -> ConfigToken {
        self.token
    }

    /// Record of the own zone.
    pub fn own_record(&self) -> Option<&VersionedNodeRecord> {
        self.records.get(&self.zone)
    }

    /// What to say in every message.
    pub fn config_state(&self, now: Time) -> ConfigState {
        let age = self.confirmed_at.map(|at| now.since(at).as_millis() + 1);
        ConfigState {
            token: self.token,
            confirmed_age_ms: age.and_then(|age| u16::try_from(age).ok()),
            settled: self.has_majority(),
        }
    }

    /// Takes in an answered standing, asked for at `asked_at`.
    pub fn apply_config_state(&mut self, standing: &ConfigState, asked_at: Time, now: Time) {
        if standing.settled && standing.token == self.token {
            self.note_majority(now);
        }
        let no_newer = standing.token.config <= self.token.config;
        let Some(age_ms) = standing.confirmed_age_ms.filter(|_| no_newer) else { return };
        self.confirm(asked_at - Duration::from_millis(age_ms.into()));
    }

    /// Takes in what an answering node that holds `token` knows of holders.
    pub fn take_holders(
        &mut self,
        from: NodeId,
        token: ConfigToken,
        holders: Option<&HolderReport>,
        asked_at: Time,
    ) {
        if token != self.token {
            return;
        }
        self.holders.add_node(from, asked_at);
        if let Some(holders) = holders {
            self.holders.add(from, holders, asked_at);
        }
    }

    /// Takes in who ever held the token, as a question tells.
    pub fn take_ever_held(&mut self, from: NodeId, token: ConfigToken, bits: &[u8]) {
        if token == self.token {
            self.holders.add_ever(from, bits);
        }
    }

    /// What a question tells a node of the own zone.
    pub fn ever_held_bits(&self, now: Time) -> Vec<u8> {
        match self.holders_wanted(now) {
            HolderQuery::EverHeld => self.holders.ever_held_bits(),
            HolderQuery::None | HolderQuery::Ages => Vec::new(),
        }
    }

    /// What to tell a node of the own zone, or of another.
    pub fn holders_for(
        &mut self,
        wanted: HolderQuery,
        same_zone: bool,
        now: Time,
    ) -> Option<HolderReport> {
        self.holders.add_node(self.node, now);
        self.holders.holders_for(wanted, same_zone, now)
    }

    /// What questions should ask of holders: all ages while the service is
    /// silent; who ever held it while that is not yet known of everybody.
    pub fn holders_wanted(&self, now: Time) -> HolderQuery {
        if self.confirmed_at.is_none_or(|at| self.rules.max_age / 3 < now.since(at)) {
            return HolderQuery::Ages;
        }
        let recent = now.since(self.changed_at) < COLLECT_SPAN;
        if !self.has_majority() || (recent && !self.is_held_by_all) {
            return HolderQuery::EverHeld;
        }
        HolderQuery::None
    }

    /// Whether a majority holds all that this node holds.
    pub fn has_majority(&self) -> bool {
        self.majority_at.is_some()
    }

    /// Takes in a read of the configuration key that was sent at `asked_at`.
    pub fn take_head(&mut self, found: Option<Revision>, asked_at: Time) -> HeadStatus {
        let held = self.document.as_ref().map(|it| it.version.revision);
        if found == held {
            self.backward_reads = 0;
            self.went_back_to = None;
            self.confirm(asked_at);
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

    /// Takes in the document read after a head that was asked for at `asked_at`.
    pub fn take_current(&mut self, current: StoredConfig, asked_at: Time) -> OfferOutcome {
        let revision = current.revision;
        let offer = document::offer_read(&mut self.document, current);
        self.after_offer(offer, asked_at);
        if self.token.config == revision && self.document.is_some() {
            self.confirm(asked_at);
        }
        offer
    }

    /// Takes in a document from a peer.
    pub fn take_transfer(&mut self, transfer: &ConfigTransfer, now: Time) -> OfferOutcome {
        let offer = document::offer(&mut self.document, transfer);
        self.after_offer(offer, now);
        offer
    }

    fn after_offer(&mut self, offer: OfferOutcome, now: Time) {
        self.forked = match offer {
            OfferOutcome::Applied => false,
            OfferOutcome::Forked => true,
            OfferOutcome::NotNewer | OfferOutcome::DigestMismatch => self.forked,
        };
        self.asks_whole = offer == OfferOutcome::DigestMismatch;
        if offer == OfferOutcome::Applied {
            self.went_back_to = None;
            self.backward_reads = 0;
            self.restart_count(now);
        }
    }

    /// Takes in node records; older ones than those held change nothing.
    pub fn take_records(
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
            self.restart_count(now);
        }
    }

    fn restart_count(&mut self, now: Time) {
        let before = self.token.config;
        let mut hasher = blake3::Hasher::new();
        if let Some(document) = &self.document {
            hasher.update(&document.version.digest.0);
        }
        for (zone, record) in &self.records {
            hasher.update(zone.as_str().as_bytes());
            hasher.update(&record.revision.0.to_le_bytes());
        }
        let mut digest = [0; 8];
        hasher.finalize_xof().fill(&mut digest);
        let config = self.document.as_ref().map_or(Revision(0), |it| it.version.revision);
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

    /// Notes whether a majority holds the token by now, and accepts.
    pub fn update_acceptance(&mut self, now: Time) {
        self.holders.add_node(self.node, now);
        if self.majority_at.is_none() || !self.is_held_by_all {
            let tally = self.holders.tally();
            self.is_held_by_all = tally.holding == tally.recorded;
            if tally.majority {
                self.note_majority(now);
            }
        }
        let waited =
            self.config_majority_at.is_some_and(|at| self.rules.accept_wait <= now.since(at));
        if waited && self.document.is_some() {
            self.accepted = self.accepted.max(Some(self.token.config));
        }
    }

    fn note_majority(&mut self, at: Time) {
        self.majority_at.get_or_insert(at);
        self.config_majority_at.get_or_insert(at);
    }

    /// Latest accepted version.
    pub fn accepted(&self) -> Option<Revision> {
        self.accepted
    }

    /// Until when the node may take requests; None if it must not.
    pub fn serve_until(&self) -> Option<Time> {
        self.document.as_ref()?;
        self.confirmed_at.max(self.holders.majority_since()).map(|at| at + self.rules.max_age)
    }

    /// Standing for the rest of the node.
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

    /// Adds to a question what is held.
    pub fn fill_request(&self, request: &mut FetchRequest) {
        let held = self.document.as_ref().filter(|_| !self.asks_whole);
        request.config = held.map(|it| it.version);
        let version = |it: &VersionedNodeRecord| (it.zone.clone(), it.revision);
        request.records = self.records.values().map(version).collect();
    }

    /// Adds to an answer what the asker lacks.
    pub fn fill_response(&self, request: &FetchRequest, answer: &mut FetchResponse) {
        answer.config = self.document.as_ref().and_then(|it| it.transfer_to(request.config));
        let lacks = |it: &&VersionedNodeRecord| {
            let theirs = request.records.iter().find(|(zone, _)| *zone == it.zone);
            theirs.is_none_or(|(_, revision)| *revision < it.revision)
        };
        answer.records = self.records.values().filter(lacks).cloned().collect();
    }

    /// Record that the own zone should have, given its members as they are.
    pub fn next_record(&self, members: BTreeSet<NodeId>, attempt: AttemptId) -> Option<NodeRecord> {
        let Some(held) = self.own_record() else {
            return Some(NodeRecord { attempt, members, before: None });
        };
        let record = &held.record;
        let under_way = record.before.is_some();
        if under_way && !self.has_majority() {
            return None;
        }
        if members != record.members {
            let before = Some(record.members.clone());
            return Some(NodeRecord { attempt, members, before });
        }
        under_way.then_some(NodeRecord { attempt, members, before: None })
    }
}
