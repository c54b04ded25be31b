//! Times until servers are warm, which are read and published beside the instance list:
//! they change all the time, whereas the list must be equal on all gateways.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use citrongw_protocol::store::{Entry, Key, Snapshot};
use citrongw_state::id::{Revision, ServerIncarnation};

use super::RoutingState;
use crate::{
    adapter::Codec,
    instance::InstanceEntry,
    peers::{
        Peers,
        message::{ColdStatement, PeerMessage},
    },
};

/// Statements in one message, so that it fits into a datagram.
const MAX_STATEMENTS: usize = 12;

/// Entries whose statements were read.
#[derive(Debug, Default)]
pub(super) struct ColdEntries {
    /// Revision of each entry.
    known: HashMap<Key, Revision>,
    /// Statements that are not recorded yet.
    stated: Vec<(ServerIncarnation, Duration)>,
    /// Whether statements were recorded that are not published yet.
    has_news: bool,
}

impl ColdEntries {
    /// Reads the statement of an entry that was written since the last read. The time in
    /// an entry counts from its first read.
    pub(super) fn read(
        &mut self,
        routing: &RoutingState,
        codec: &dyn Codec,
        entry: &Entry,
        decoded: &InstanceEntry,
    ) {
        if !routing.cold.is_enabled() || self.known.get(&entry.key) == Some(&entry.revision) {
            return;
        }
        self.known.insert(entry.key.clone(), entry.revision);
        if let Some(left) = codec.decode_cold_left(entry) {
            let (instance, incarnation) = (decoded.id.clone(), decoded.incarnation);
            self.stated.push((ServerIncarnation { instance, incarnation }, left));
        }
    }

    /// Records the statements of a list that was read.
    pub(super) fn record(&mut self, routing: &RoutingState, snapshot: &Snapshot) {
        if self.known.len() > snapshot.entries.len() {
            let listed: HashSet<&Key> = snapshot.entries.iter().map(|it| &it.key).collect();
            self.known.retain(|key, _| listed.contains(key));
        }
        if !self.stated.is_empty() {
            self.has_news = true;
            routing.record_cold(std::mem::take(&mut self.stated).into_iter());
        }
    }

    /// Publishes what the other gateways cannot derive from the list itself, once for
    /// each write of an entry.
    pub(super) async fn publish(&mut self, routing: &RoutingState, peers: &Peers) {
        if !std::mem::take(&mut self.has_news) {
            return;
        }
        let statements = routing.cold.statements();
        for chunk in statements.chunks(MAX_STATEMENTS) {
            let stated = chunk
                .iter()
                .map(|(server, left)| ColdStatement { server: server.clone(), left: *left });
            let message = PeerMessage::ColdServers(stated.collect());
            match peers.is_reader() {
                true => peers.broadcast(&message).await,
                false => peers.send_to_zone(peers.zone(), &message).await,
            }
        }
    }
}

#[cfg(test)]
mod tests;
