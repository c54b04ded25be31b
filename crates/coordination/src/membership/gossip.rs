//! What waits to be passed on, and which of it goes first.
//!
//! Each item is sent a number of times that grows with the logarithm of the
//! members, then forgotten. What a datagram has no room for waits: items of
//! higher rank go first, among equals those sent least often.

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

/// Times that an item is sent, for each binary digit of the number of members.
const SENDS_PER_DIGIT: u32 = 2;
/// Time for which news are known again.
const KNOWN_FOR: Duration = Duration::from_secs(60);
/// News remembered at most; beyond it, those that are known for longest go.
const MAX_KNOWN: usize = 16 * 1024;
/// News told to a node that joins, at most.
const MAX_RECENT: usize = 256;
/// Items that wait at most.
const MAX_WAITING: usize = 4096;

/// Rank of an item; the lower goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Urgent,
    Liveness,
    Joining,
    Records,
}

/// What two items that stand for the same have in common.
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
    News(GossipItem),
}

#[derive(Debug, Clone)]
struct Item {
    rank: Rank,
    sends: u32,
    bytes: usize,
    content: Content,
}

/// Bytes that a datagram has for what is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendLimits {
    /// For anything.
    pub base: usize,
    /// For urgent news and for members that were lost.
    pub priority: usize,
    /// For all of it.
    pub datagram: usize,
}

/// What was taken for a datagram.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Selection {
    /// To be passed on.
    pub gossip: Gossip,
    /// Bytes of what does not press.
    pub base_bytes: usize,
    /// Bytes of what presses.
    pub priority_bytes: usize,
}

/// Queue of one node.
#[derive(Debug, Default)]
pub struct GossipQueue {
    waiting: HashMap<Key, Item>,
    known: HashMap<Key, (u64, Time)>,
    recent: VecDeque<GossipItem>,
}

impl GossipQueue {
    /// Adds a member; it takes the place of what was to be told of it.
    pub fn add_member(&mut self, update: MemberUpdate) {
        let rank = match (update.state, update.incarnation) {
            (MemberState::Alive, 0) => Rank::Joining,
            // A refutation must overtake the suspicion.
            (
                MemberState::Alive | MemberState::Suspect | MemberState::Dead | MemberState::Left,
                _,
            ) => Rank::Liveness,
        };
        self.add(Key::Member(update.node), rank, Content::Member(update));
    }

    /// Adds news. False if they were known.
    pub fn add_item(&mut self, news: &GossipItem, now: Time) -> bool {
        let (key, rank, sequence) = match news {
            GossipItem::Leaving(it) => {
                (Key::Leaving(it.instance.clone(), it.incarnation), Rank::Urgent, 0)
            }
            GossipItem::Suspicion(it) => {
                (Key::Suspicion(it.fingerprint, it.replica, it.incarnation), Rank::Urgent, 0)
            }
            GossipItem::Cleared(it) => (Key::Cleared(it.fingerprint), Rank::Urgent, 0),
            GossipItem::StopNode(node) => (Key::Stop(*node), Rank::Urgent, 0),
            GossipItem::DomainChanged(it) => {
                (Key::Domain(it.domain.clone()), Rank::Records, it.revision.0)
            }
            // Demand travels as sums, not item by item.
            GossipItem::Demand(_) => return false,
        };
        if self.is_known(&key, sequence, now) {
            return false;
        }
        self.make_room(now);
        self.known.insert(key.clone(), (sequence, now));
        self.add(key, rank, Content::News(news.clone()));
        self.recent.push_back(news.clone());
        if MAX_RECENT < self.recent.len() {
            self.recent.pop_front();
        }
        true
    }

    /// News for a node that joins.
    pub fn recent(&self) -> Vec<GossipItem> {
        self.recent.iter().cloned().collect()
    }

    fn add(&mut self, key: Key, rank: Rank, content: Content) {
        let bytes = match &content {
            Content::Member(update) => size(update),
            Content::News(news) => size(news),
        };
        if MAX_WAITING <= self.waiting.len() {
            let last = self.waiting.iter().max_by_key(|(_, it)| (it.rank, it.sends));
            if let Some(last) = last.map(|(key, _)| key.clone()) {
                self.waiting.remove(&last);
            }
        }
        self.waiting.insert(key, Item { rank, sends: 0, bytes, content });
    }

    /// Whether the same was heard before; what carries no sequence may be said
    /// again after a while.
    fn is_known(&self, key: &Key, sequence: u64, now: Time) -> bool {
        let Some((known, at)) = self.known.get(key) else { return false };
        match sequence {
            0 => now.since(*at) < KNOWN_FOR,
            _ => sequence <= *known,
        }
    }

    fn make_room(&mut self, now: Time) {
        if self.known.len() < MAX_KNOWN {
            return;
        }
        self.known.retain(|_, (_, at)| now.since(*at) < KNOWN_FOR);
        if MAX_KNOWN <= self.known.len() {
            let mut times: Vec<Time> = self.known.values().map(|(_, at)| *at).collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.known.retain(|_, (_, at)| median < *at);
        }
    }

    /// Whether something waits that must not wait for the next probe.
    pub fn is_urgent(&self) -> bool {
        self.waiting.values().any(|it| it.rank == Rank::Urgent && it.sends == 0)
    }

    /// Takes what fits into one datagram among `members`.
    pub fn take(&mut self, room: SendLimits, members: usize) -> Selection {
        let mut taken = Selection::default();
        let max_sends = max_sends(members);
        for key in self.in_order() {
            let Some(item) = self.waiting.get_mut(&key) else { continue };
            let presses = item.rank <= Rank::Liveness;
            let in_datagram = taken.priority_bytes + taken.base_bytes + item.bytes;
            let (spent, within) = if presses {
                (&mut taken.priority_bytes, room.priority)
            } else {
                (&mut taken.base_bytes, room.base)
            };
            if within < *spent + item.bytes || room.datagram < in_datagram {
                continue;
            }
            *spent += item.bytes;
            item.sends += 1;
            match &item.content {
                Content::Member(update) => taken.gossip.members.push(update.clone()),
                Content::News(news) => taken.gossip.news.push(news.clone()),
            }
            if max_sends <= item.sends {
                self.waiting.remove(&key);
            }
        }
        taken
    }

    /// Keys of what waits, those to be sent first in front.
    fn in_order(&self) -> Vec<Key> {
        let mut order: Vec<(Rank, u32, &Key)> =
            self.waiting.iter().map(|(key, it)| (it.rank, it.sends, key)).collect();
        order.sort_unstable_by_key(|(rank, sends, _)| (*rank, *sends));
        order.into_iter().map(|(_, _, key)| key.clone()).collect()
    }

    /// Items that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
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
