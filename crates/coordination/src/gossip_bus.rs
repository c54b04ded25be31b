//! Where the parts of a node give out news and take in those of other nodes.
//!
//! Membership takes what is published here to the peers, and puts in what they
//! sent. Published news also reach this node's own subscribers.

use citrongw_protocol::gossip_item::GossipItem;
use tokio::sync::broadcast;

/// News kept for a slow subscriber.
const CAPACITY: usize = 4096;

/// Board of one node.
#[derive(Debug)]
pub struct GossipBus {
    outgoing_tx: broadcast::Sender<GossipItem>,
    heard_tx: broadcast::Sender<GossipItem>,
}

/// Opens a board.
pub fn open() -> GossipBus {
    GossipBus {
        outgoing_tx: broadcast::channel(CAPACITY).0,
        heard_tx: broadcast::channel(CAPACITY).0,
    }
}

impl GossipBus {
    /// Tells this node's subscribers and all peers.
    pub fn publish(&self, news: GossipItem) {
        // Without a receiver there is nobody to tell.
        let _ = self.heard_tx.send(news.clone());
        let _ = self.outgoing_tx.send(news);
    }

    /// Tells this node's subscribers what a peer sent.
    pub fn publish_local(&self, news: GossipItem) {
        let _ = self.heard_tx.send(news);
    }

    /// News of this node and its peers, from now on.
    pub fn subscribe(&self) -> broadcast::Receiver<GossipItem> {
        self.heard_tx.subscribe()
    }

    /// News that this node publishes, from now on.
    pub fn subscribe_outgoing(&self) -> broadcast::Receiver<GossipItem> {
        self.outgoing_tx.subscribe()
    }
}
