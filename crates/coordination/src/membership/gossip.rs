//! Queue of updates to be gossiped, by priority.
//!
//! Each item is sent a number of times that grows with the logarithm of the
//! number of members, then dropped. Items that do not fit into a datagram stay
//! queued: items of higher rank are sent first, among equals those sent least
//! often.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use citrongw_protocol::{
    gossip_item::GossipItem,
    peer::{Gossip, MemberState, MemberUpdate},
};
use citrongw_state::{
    id::{FabricDomainId, Fingerprint, Incarnation, InstanceId, NodeId, ReplicaId},
    time::Time,
};

/// Sends of an item per binary digit of the number of members.
const SENDS_PER_DIGIT: u32 = 2;
/// Time during which a repeated item counts as a duplicate.
const DEDUP_WINDOW: Duration = Duration::from_secs(60);
/// Maximum items recorded for deduplication; the oldest are evicted.
const MAX_SEEN: usize = 16 * 1024;
/// Maximum recent items kept for a joining node.
const MAX_RECENT: usize = 256;
/// Maximum queued items; beyond it, the last in sending order is evicted.
const MAX_QUEUED: usize = 4096;

/// Rank of an item; the lower is sent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Urgent,
    Liveness,
    Joining,
    Records,
}

/// Identity of an item; a newer item with the same key replaces the older.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Key {
    Member(NodeId),
    Leaving(InstanceId, Incarnation),
    Suspicion(Fingerprint, ReplicaId, Incarnation),
    Cleared(Fingerprint),
    Domain(FabricDomainId),
    Stop(NodeId),
}

#[derive(Debug, Clone)]
enum Content {
    Member(MemberUpdate),
    GossipItem(GossipItem),
}

#[derive(Debug, Clone)]
struct Item {
    rank: Rank,
    sends: u32,
    bytes: usize,
    content: Content,
}

/// Byte limits for the gossip in one datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendLimits {
    /// For items without priority.
    pub base: usize,
    /// For priority items: urgent items and changes of member state.
    pub priority: usize,
    /// For all items together.
    pub datagram: usize,
}

/// Items selected for one datagram.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Selection {
    /// The items.
    pub gossip: Gossip,
    /// Bytes of items without priority.
    pub base_bytes: usize,
    /// Bytes of priority items.
    pub priority_bytes: usize,
}

/// Gossip queue of one node.
#[derive(Debug, Default)]
pub struct GossipQueue {
    queued: HashMap<Key, Item>,
    seen: HashMap<Key, (u64, Time)>,
    recent: VecDeque<GossipItem>,
}

impl GossipQueue {
    /// Queues a member update, replacing a queued one of the same member.
    pub fn add_member(&mut self, update: MemberUpdate) {
        let rank = match (update.state, update.incarnation) {
            (MemberState::Alive, 0) => Rank::Joining,
            // A refutation must spread faster than the suspicion.
            (
                MemberState::Alive | MemberState::Suspect | MemberState::Dead | MemberState::Left,
                _,
            ) => Rank::Liveness,
        };
        self.add(Key::Member(update.node), rank, Content::Member(update));
    }

    /// Queues an item. Returns false for a duplicate.
    pub fn add_item(&mut self, item: &GossipItem, now: Time) -> bool {
        let (key, rank, sequence) = match item {
            GossipItem::Leaving(it) => {
                (Key::Leaving(it.instance.clone(), it.incarnation), Rank::Urgent, 0)
            }
            GossipItem::Suspicion(it) => {
                (Key::Suspicion(it.fingerprint, it.replica, it.incarnation), Rank::Urgent, 0)
            }
            GossipItem::Cleared(it) => (Key::Cleared(it.fingerprint), Rank::Urgent, 0),
            GossipItem::StopNode(node) => (Key::Stop(*node), Rank::Urgent, 0),
            GossipItem::DomainChanged(it) => {
                (Key::Domain(it.domain.clone()), Rank::Records, it.revision.number)
            }
            // Demand is aggregated and sent as sums, see `demand`.
            GossipItem::Demand(_) => return false,
        };
        if self.is_duplicate(&key, sequence, now) {
            return false;
        }
        self.evict_seen(now);
        self.seen.insert(key.clone(), (sequence, now));
        self.add(key, rank, Content::GossipItem(item.clone()));
        self.recent.push_back(item.clone());
        if MAX_RECENT < self.recent.len() {
            self.recent.pop_front();
        }
        true
    }

    /// Recent items, for a joining node.
    pub fn recent(&self) -> Vec<GossipItem> {
        self.recent.iter().cloned().collect()
    }

    fn add(&mut self, key: Key, rank: Rank, content: Content) {
        let bytes = match &content {
            Content::Member(update) => size(update),
            Content::GossipItem(item) => size(item),
        };
        if MAX_QUEUED <= self.queued.len() {
            let last = self.queued.iter().max_by_key(|(_, it)| (it.rank, it.sends));
            if let Some(last) = last.map(|(key, _)| key.clone()) {
                self.queued.remove(&last);
            }
        }
        self.queued.insert(key, Item { rank, sends: 0, bytes, content });
    }

    /// Whether the item is a duplicate. An item without a sequence number is
    /// accepted again after [`DEDUP_WINDOW`].
    fn is_duplicate(&self, key: &Key, sequence: u64, now: Time) -> bool {
        let Some((seen, at)) = self.seen.get(key) else { return false };
        match sequence {
            0 => now.since(*at) < DEDUP_WINDOW,
            _ => sequence <= *seen,
        }
    }

    fn evict_seen(&mut self, now: Time) {
        if self.seen.len() < MAX_SEEN {
            return;
        }
        self.seen.retain(|_, (_, at)| now.since(*at) < DEDUP_WINDOW);
        if MAX_SEEN <= self.seen.len() {
            let mut times: Vec<Time> = self.seen.values().map(|(_, at)| *at).collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.seen.retain(|_, (_, at)| median < *at);
        }
    }

    /// Whether an urgent item is queued that has not been sent yet.
    pub fn is_urgent(&self) -> bool {
        self.queued.values().any(|it| it.rank == Rank::Urgent && it.sends == 0)
    }

    /// Selects the items for one datagram in a cluster of `members` nodes.
    pub fn take(&mut self, limits: SendLimits, members: usize) -> Selection {
        let mut selection = Selection::default();
        let max_sends = max_sends(members);
        for key in self.in_order() {
            let Some(item) = self.queued.get_mut(&key) else { continue };
            let has_priority = item.rank <= Rank::Liveness;
            let in_datagram = selection.priority_bytes + selection.base_bytes + item.bytes;
            let (spent, limit) = if has_priority {
                (&mut selection.priority_bytes, limits.priority)
            } else {
                (&mut selection.base_bytes, limits.base)
            };
            if limit < *spent + item.bytes || limits.datagram < in_datagram {
                continue;
            }
            *spent += item.bytes;
            item.sends += 1;
            match &item.content {
                Content::Member(update) => selection.gossip.members.push(update.clone()),
                Content::GossipItem(item) => selection.gossip.items.push(item.clone()),
            }
            if max_sends <= item.sends {
                self.queued.remove(&key);
            }
        }
        selection
    }

    /// Keys of the queued items in sending order.
    fn in_order(&self) -> Vec<Key> {
        let mut order: Vec<(Rank, u32, &Key)> =
            self.queued.iter().map(|(key, it)| (it.rank, it.sends, key)).collect();
        order.sort_unstable_by_key(|(rank, sends, _)| (*rank, *sends));
        order.into_iter().map(|(_, _, key)| key.clone()).collect()
    }

    /// Number of queued items.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }
}

fn max_sends(members: usize) -> u32 {
    SENDS_PER_DIGIT * (usize::BITS - members.leading_zeros() + 1)
}

fn size(item: &impl serde::Serialize) -> usize {
    postcard::to_stdvec(item).map_or(usize::MAX, |bytes| bytes.len())
}

#[cfg(test)]
mod tests;
