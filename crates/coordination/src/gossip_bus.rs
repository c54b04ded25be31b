//! Publish-subscribe channels for gossip items within a node.
//!
//! Membership sends published items to the peers and delivers the items received
//! from them. Published items also reach this node's own subscribers.

use citrongw_protocol::gossip_item::GossipItem;
use tokio::sync::broadcast;

/// Items buffered for a slow subscriber before it misses some.
const CAPACITY: usize = 4096;

/// Gossip channels of one node.
#[derive(Debug)]
pub struct GossipBus {
    outgoing_tx: broadcast::Sender<GossipItem>,
    local_tx: broadcast::Sender<GossipItem>,
}

/// Creates the channels.
pub fn open() -> GossipBus {
    GossipBus {
        outgoing_tx: broadcast::channel(CAPACITY).0,
        local_tx: broadcast::channel(CAPACITY).0,
    }
}

impl GossipBus {
    /// Sends an item to this node's subscribers and to all peers.
    pub fn publish(&self, item: GossipItem) {
        // Sending fails only without a receiver, which is fine.
        let _ = self.local_tx.send(item.clone());
        let _ = self.outgoing_tx.send(item);
    }

    /// Sends an item received from a peer to this node's subscribers.
    pub fn publish_local(&self, item: GossipItem) {
        let _ = self.local_tx.send(item);
    }

    /// Subscribes to the items of this node and its peers.
    pub fn subscribe(&self) -> broadcast::Receiver<GossipItem> {
        self.local_tx.subscribe()
    }

    /// Subscribes to the items that this node publishes.
    pub fn subscribe_outgoing(&self) -> broadcast::Receiver<GossipItem> {
        self.outgoing_tx.subscribe()
    }
}
