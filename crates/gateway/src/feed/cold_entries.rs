//! Times until servers are warm, which are read and published beside the instance list:
//! they change all the time, whereas the list must be equal on all gateways.

use std::{collections::HashMap, time::Duration};

use citrongw_protocol::store::{Key, Snapshot};
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
    /// Revision of each entry that states a time.
    read: HashMap<Key, Revision>,
    /// Whether the last read had a statement that was not read before.
    has_news: bool,
}

impl ColdEntries {
    /// Records the statements of entries that were written since the last read. The time
    /// in an entry counts from its first read.
    pub(super) fn record(
        &mut self,
        routing: &RoutingState,
        codec: &dyn Codec,
        snapshot: &Snapshot,
        decoded: &[(InstanceEntry, Revision)],
    ) {
        let mut known = std::mem::take(&mut self.read);
        let mut lefts: HashMap<Revision, Duration> = HashMap::new();
        let mut stated: Vec<(ServerIncarnation, Duration)> = Vec::new();
        for entry in &snapshot.entries {
            let before = known.remove(&entry.key);
            if before == Some(entry.revision) {
                self.read.insert(entry.key.clone(), entry.revision);
            } else if let Some(left) = codec.decode_cold_left(entry) {
                self.read.insert(entry.key.clone(), entry.revision);
                lefts.insert(entry.revision, left);
            }
        }
        for (entry, revision) in decoded {
            if let Some(left) = lefts.get(revision) {
                let (instance, incarnation) = (entry.id.clone(), entry.incarnation);
                stated.push((ServerIncarnation { instance, incarnation }, *left));
            }
        }
        self.has_news = !stated.is_empty();
        if self.has_news {
            routing.record_cold(stated.into_iter());
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
