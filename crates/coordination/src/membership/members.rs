//! The member list of a node, and the merging of received updates into it.
//!
//! The larger incarnation wins, then the later state. Only a node itself raises
//! its incarnation, to refute an update that reports it suspect, dead or left.
//! Dead and left members stay on the list for a while, so that late messages do
//! not bring them back.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use citrongw_protocol::peer::{MEMBER_BUCKETS, MemberState, MemberUpdate};
use citrongw_state::{
    id::{AvailabilityZone, NodeId},
    time::Time,
};

use crate::node_view::NodeInfo;

/// Time in which a suspected member may refute before it is declared dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which dead and left members stay on the list.
const GONE_RETENTION: Duration = Duration::from_secs(1800);

/// A member of the list.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its state as gossiped.
    pub update: MemberUpdate,
    /// When this node last changed the entry.
    pub changed_at: Time,
}

/// Member list, including this node.
#[derive(Debug)]
pub struct Members {
    this: NodeId,
    table: BTreeMap<NodeId, Member>,
    zones: BTreeMap<AvailabilityZone, BTreeSet<NodeId>>,
    suspects: BTreeSet<NodeId>,
    gone: BTreeSet<NodeId>,
    buckets: [u64; MEMBER_BUCKETS],
}

/// Result of merging an update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The update was not newer than the known entry.
    Known,
    /// The list changed; the update must be gossiped.
    Changed,
    /// The update wrongly reported this node suspect, dead or left; the
    /// refutation must be gossiped.
    Refuted(MemberUpdate),
}

impl Members {
    /// Creates a list with only this node.
    pub fn new(this: &NodeInfo) -> Self {
        let mut members = Self {
            this: this.id,
            table: BTreeMap::new(),
            zones: BTreeMap::new(),
            suspects: BTreeSet::new(),
            gone: BTreeSet::new(),
            buckets: [0; MEMBER_BUCKETS],
        };
        let update = MemberUpdate {
            node: this.id,
            zone: this.zone.clone(),
            region: this.region.clone(),
            addr: this.peer_addr,
            incarnation: 0,
            state: MemberState::Alive,
        };
        members.put(update, Time::START);
        members
    }

    /// Looks up a member by id, including dead and left ones.
    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.table.get(&node)
    }

    /// This node's own entry, sent as its introduction.
    pub fn own(&self) -> Option<&MemberUpdate> {
        self.table.get(&self.this).map(|it| &it.update)
    }

    /// Merges a received update.
    pub fn merge(&mut self, update: &MemberUpdate, now: Time) -> MergeOutcome {
        if update.node == self.this {
            return self.refute(update, now);
        }
        let newer = match self.table.get(&update.node) {
            Some(known) => {
                let known = &known.update;
                (known.incarnation, known.state) < (update.incarnation, update.state)
            }
            None => true,
        };
        if !newer {
            return MergeOutcome::Known;
        }
        self.put(update.clone(), now);
        MergeOutcome::Changed
    }

    fn refute(&mut self, update: &MemberUpdate, now: Time) -> MergeOutcome {
        let Some(own) = self.own().cloned() else { return MergeOutcome::Known };
        let wrong = update.state != MemberState::Alive && own.state == MemberState::Alive;
        if !wrong || update.incarnation < own.incarnation {
            return MergeOutcome::Known;
        }
        let raised = MemberUpdate { incarnation: update.incarnation + 1, ..own };
        self.put(raised.clone(), now);
        MergeOutcome::Refuted(raised)
    }

    /// Sets the state of a member as observed by this node. `None` if the member
    /// is unknown or its state is not earlier.
    pub fn set_state(
        &mut self,
        node: NodeId,
        state: MemberState,
        now: Time,
    ) -> Option<MemberUpdate> {
        let known = &self.table.get(&node)?.update;
        if state <= known.state {
            return None;
        }
        let update = MemberUpdate { state, ..known.clone() };
        self.put(update.clone(), now);
        Some(update)
    }

    fn put(&mut self, update: MemberUpdate, now: Time) {
        if let Some(old) = self.table.remove(&update.node) {
            self.remove_from_index(&old.update);
        }
        self.add_to_index(&update);
        self.table.insert(update.node, Member { update, changed_at: now });
    }

    fn add_to_index(&mut self, update: &MemberUpdate) {
        self.buckets[bucket(update.node)] ^= digest(update);
        match update.state {
            MemberState::Alive | MemberState::Suspect => {
                self.zones.entry(update.zone.clone()).or_default().insert(update.node);
            }
            MemberState::Dead | MemberState::Left => {
                self.gone.insert(update.node);
            }
        }
        if update.state == MemberState::Suspect {
            self.suspects.insert(update.node);
        }
    }

    fn remove_from_index(&mut self, update: &MemberUpdate) {
        self.buckets[bucket(update.node)] ^= digest(update);
        self.gone.remove(&update.node);
        self.suspects.remove(&update.node);
        if let Some(zone) = self.zones.get_mut(&update.zone) {
            zone.remove(&update.node);
            if zone.is_empty() {
                self.zones.remove(&update.zone);
            }
        }
    }

    /// Declares suspects dead that did not refute in time, and removes at most one
    /// member whose retention is over. Returns the updates to be gossiped.
    pub fn expire(&mut self, now: Time) -> Vec<MemberUpdate> {
        let expired = |node: &NodeId| {
            self.table.get(node).is_some_and(|it| SUSPICION_TIMEOUT <= now.since(it.changed_at))
        };
        let expired: Vec<NodeId> = self.suspects.iter().copied().filter(expired).collect();
        self.remove_expired(now);
        expired.into_iter().filter_map(|it| self.set_state(it, MemberState::Dead, now)).collect()
    }

    fn remove_expired(&mut self, now: Time) {
        let retention_over = |node: &NodeId| {
            self.table.get(node).is_some_and(|it| GONE_RETENTION <= now.since(it.changed_at))
        };
        let Some(node) = self.gone.iter().copied().find(retention_over) else { return };
        if let Some(old) = self.table.remove(&node) {
            self.remove_from_index(&old.update);
        }
    }

    /// Live members of a zone in order of id, suspects and this node included.
    pub fn live_in_zone(
        &self,
        zone: &AvailabilityZone,
    ) -> impl ExactSizeIterator<Item = NodeId> + '_ {
        static EMPTY: BTreeSet<NodeId> = BTreeSet::new();
        self.zones.get(zone).unwrap_or(&EMPTY).iter().copied()
    }

    /// Zones with live members, in order of name.
    pub fn zones(&self) -> impl ExactSizeIterator<Item = &AvailabilityZone> {
        self.zones.keys()
    }

    /// Dead and left members.
    pub fn gone(&self) -> impl ExactSizeIterator<Item = NodeId> + '_ {
        self.gone.iter().copied()
    }

    /// Number of suspected members.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Live members, suspects and this node included.
    pub fn alive(&self) -> Vec<NodeInfo> {
        let live = self.zones.values().flatten().filter_map(|it| self.table.get(it));
        live.map(|it| info(&it.update)).collect()
    }

    /// Number of live members, suspects and this node included.
    pub fn alive_count(&self) -> usize {
        self.zones.values().map(BTreeSet::len).sum()
    }

    /// Digest of each bucket of the list, for anti-entropy.
    pub fn buckets(&self) -> [u64; MEMBER_BUCKETS] {
        self.buckets
    }

    /// Members in the buckets whose digest differs from `theirs`.
    pub fn differing(&self, theirs: &[u64; MEMBER_BUCKETS]) -> Vec<MemberUpdate> {
        let differs = |it: &&Member| {
            let idx = bucket(it.update.node);
            self.buckets[idx] != theirs[idx]
        };
        self.table.values().filter(differs).map(|it| it.update.clone()).collect()
    }
}

fn info(update: &MemberUpdate) -> NodeInfo {
    NodeInfo {
        id: update.node,
        zone: update.zone.clone(),
        region: update.region.clone(),
        peer_addr: update.addr,
    }
}

fn bucket(node: NodeId) -> usize {
    (node.0 % MEMBER_BUCKETS as u64) as usize
}

/// Digest over the id and the mutable parts of a member.
fn digest(update: &MemberUpdate) -> u64 {
    let mixed = update.node.0 ^ (u64::from(update.incarnation) << 8) ^ update.state as u64;
    mixed.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(31).wrapping_mul(0xd6e8_feb8_6659_fd93)
}

#[cfg(test)]
mod tests;
