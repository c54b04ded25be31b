//! The members that a node knows, and how what it hears of them is merged.
//!
//! The larger incarnation wins, then the later state. Only a node itself raises
//! its incarnation, to refute what is said of it. Those that are gone stay on
//! the list for a while, so that late messages do not bring them back.

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

/// Time for which a suspect may refute.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which the gone are kept.
const GONE_KEPT: Duration = Duration::from_secs(1800);

/// Member as known.
#[derive(Debug, Clone)]
pub struct Member {
    /// What is told of it.
    pub update: MemberUpdate,
    /// When its state last changed here.
    pub changed_at: Time,
}

/// Members, this node among them.
#[derive(Debug)]
pub struct Members {
    this: NodeId,
    table: BTreeMap<NodeId, Member>,
    zones: BTreeMap<AvailabilityZone, BTreeSet<NodeId>>,
    suspects: BTreeSet<NodeId>,
    gone: BTreeSet<NodeId>,
    buckets: [u64; MEMBER_BUCKETS],
}

/// What a merge did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Nothing new.
    Known,
    /// The list changed; to be passed on.
    Changed,
    /// Something wrong is said of this node; the refutation is to be passed on.
    Refuted(MemberUpdate),
}

impl Members {
    /// Knows this node alone.
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

    /// Member by id.
    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.table.get(&node)
    }

    /// This node as it tells of itself.
    pub fn own(&self) -> Option<&MemberUpdate> {
        self.table.get(&self.this).map(|it| &it.update)
    }

    /// Merges what was heard.
    pub fn merge(&mut self, update: &MemberUpdate, now: Time) -> MergeOutcome {
        if update.node == self.this {
            return self.refute(update, now);
        }
        let newer = match self.table.get(&update.node) {
            Some(held) => {
                let held = &held.update;
                (held.incarnation, held.state) < (update.incarnation, update.state)
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

    /// Sets the state of a member, as this node found. None if nothing changed.
    pub fn set_state(
        &mut self,
        node: NodeId,
        state: MemberState,
        now: Time,
    ) -> Option<MemberUpdate> {
        let held = &self.table.get(&node)?.update;
        if state <= held.state {
            return None;
        }
        let update = MemberUpdate { state, ..held.clone() };
        self.put(update.clone(), now);
        Some(update)
    }

    fn put(&mut self, update: MemberUpdate, now: Time) {
        if let Some(old) = self.table.remove(&update.node) {
            self.unindex(&old.update);
        }
        self.index(&update);
        self.table.insert(update.node, Member { update, changed_at: now });
    }

    fn index(&mut self, update: &MemberUpdate) {
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

    fn unindex(&mut self, update: &MemberUpdate) {
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

    /// Turns suspects that did not refute into the dead, and forgets those that
    /// are long gone. Returns what is to be passed on.
    pub fn expire(&mut self, now: Time) -> Vec<MemberUpdate> {
        let late = |node: &NodeId| {
            self.table.get(node).is_some_and(|it| SUSPICION_TIMEOUT <= now.since(it.changed_at))
        };
        let late: Vec<NodeId> = self.suspects.iter().copied().filter(late).collect();
        self.forget(now);
        late.into_iter().filter_map(|it| self.set_state(it, MemberState::Dead, now)).collect()
    }

    fn forget(&mut self, now: Time) {
        let long_gone = |node: &NodeId| {
            self.table.get(node).is_some_and(|it| GONE_KEPT <= now.since(it.changed_at))
        };
        let Some(node) = self.gone.iter().copied().find(long_gone) else { return };
        if let Some(old) = self.table.remove(&node) {
            self.unindex(&old.update);
        }
    }

    /// Live members of a zone, in order, this node among them.
    pub fn live_in_zone(
        &self,
        zone: &AvailabilityZone,
    ) -> impl ExactSizeIterator<Item = NodeId> + '_ {
        static EMPTY: BTreeSet<NodeId> = BTreeSet::new();
        self.zones.get(zone).unwrap_or(&EMPTY).iter().copied()
    }

    /// Zones with live members, in order.
    pub fn zones(&self) -> impl ExactSizeIterator<Item = &AvailabilityZone> {
        self.zones.keys()
    }

    /// Members that are gone.
    pub fn gone(&self) -> impl ExactSizeIterator<Item = NodeId> + '_ {
        self.gone.iter().copied()
    }

    /// Suspects now.
    pub fn suspects(&self) -> usize {
        self.suspects.len()
    }

    /// Live members, this node among them.
    pub fn alive(&self) -> Vec<NodeInfo> {
        let live = self.zones.values().flatten().filter_map(|it| self.table.get(it));
        live.map(|it| info(&it.update)).collect()
    }

    /// Count of live members.
    pub fn alive_count(&self) -> usize {
        self.zones.values().map(BTreeSet::len).sum()
    }

    /// Digests of the list by bucket.
    pub fn buckets(&self) -> [u64; MEMBER_BUCKETS] {
        self.buckets
    }

    /// Members of the buckets in which `theirs` differs.
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

/// Digest that changes with whatever of a member can change.
fn digest(update: &MemberUpdate) -> u64 {
    let mixed = update.node.0 ^ (u64::from(update.incarnation) << 8) ^ update.state as u64;
    mixed.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(31).wrapping_mul(0xd6e8_feb8_6659_fd93)
}

#[cfg(test)]
mod tests;
