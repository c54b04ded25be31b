//! Gateways that read reports of work. A gateway announces itself to those that it has
//! not heard of, until each knows that the other knows. Others get counts: gateways of earlier builds, and those with the choice by cost off.

use std::collections::HashMap;

use citrongw_state::{id::NodeId, time::Time};
use serde::{Deserialize, Serialize};

use super::{ListedGateway, PeerMessage, Peers};
use crate::lock::lock;

/// Announcement that the sender reads reports of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkReaderAnnouncement {
    /// Whether the sender has heard the same from the receiver.
    known: bool,
    /// Whether the sender has not heard that the receiver knows of it.
    needs_reply: bool,
}

/// What is known of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Reader {
    /// Whether it said that it knows of this gateway.
    knows_this: bool,
    /// Whether it was told, since it last needed that, that this gateway knows of it.
    is_told: bool,
    heard_at: Time,
}

/// Gateways that announced that they read reports of work.
#[derive(Debug, Default)]
pub(super) struct WorkReaders {
    readers: HashMap<NodeId, Reader>,
}

impl WorkReaders {
    /// Records an announcement.
    pub(super) fn record(&mut self, from: NodeId, heard: WorkReaderAnnouncement, now: Time) {
        let unheard = Reader { knows_this: false, is_told: false, heard_at: now };
        let reader = self.readers.entry(from).or_insert(unheard);
        reader.knows_this |= heard.known;
        reader.is_told &= !heard.needs_reply;
        reader.heard_at = now;
    }

    fn is_reader(&self, node: NodeId) -> bool {
        self.readers.contains_key(&node)
    }

    /// Announcement that a gateway needs, if any. It counts as sent.
    fn announcement(&mut self, to: NodeId) -> Option<WorkReaderAnnouncement> {
        let Some(reader) = self.readers.get_mut(&to) else {
            return Some(WorkReaderAnnouncement { known: false, needs_reply: true });
        };
        let is_needed = !reader.knows_this || !reader.is_told;
        reader.is_told = true;
        let needs_reply = !reader.knows_this;
        is_needed.then_some(WorkReaderAnnouncement { known: true, needs_reply })
    }

    /// Forgets gateways that are not listed.
    fn retain(&mut self, is_listed: impl Fn(&NodeId) -> bool, now: Time) {
        // One that has just started may be heard before it is listed.
        let is_new = |it: &Reader| now.since(it.heard_at) < super::NODE_LEASE_TIME;
        self.readers.retain(|node, it| is_listed(node) || is_new(it));
    }
}

impl Peers {
    /// Announces to the other gateways that this one reads reports of work.
    pub(crate) async fn announce_work_reader(&self, now: Time) {
        let cluster = self.cluster.load_full();
        let announcements: Vec<(NodeId, WorkReaderAnnouncement)> = {
            let mut readers = lock(&self.work_readers);
            readers.retain(|it| cluster.nodes.contains_key(it), now);
            let others = cluster.nodes.keys().filter(|it| **it != self.node);
            others.filter_map(|it| Some((*it, readers.announcement(*it)?))).collect()
        };
        for (node, announcement) in announcements {
            self.send_to_gateway(node, &PeerMessage::ReadsWork(announcement)).await;
        }
    }

    /// Sends a report of loads: as work to gateways that read it, as counts to others.
    pub(crate) async fn send_load(
        &self,
        counts: &PeerMessage,
        work: Option<&PeerMessage>,
        is_receiver: impl Fn(&ListedGateway) -> bool,
    ) {
        let Some(work) = work else { return self.send_to(counts, is_receiver).await };
        let cluster = self.cluster.load_full();
        let others = cluster.nodes.iter().filter(|(node, _)| **node != self.node);
        for (node, listed) in others.filter(|(_, it)| is_receiver(it)) {
            let reads_work = lock(&self.work_readers).is_reader(*node);
            self.send(*node, listed.addr, if reads_work { work } else { counts }).await;
        }
    }
}

#[cfg(test)]
mod tests;
