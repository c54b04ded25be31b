//! Publish-subscribe channels for gossip items within a node.
//!
//! Membership sends published items to the peers and delivers the items received
//! from them. Published items also reach this node's own subscribers.

use citrongw_protocol::news::News;
use tokio::sync::broadcast;

/// Items buffered for a slow subscriber before it misses some.
const CAPACITY: usize = 4096;

/// Gossip channels of one node.
#[derive(Debug)]
pub struct NewsBoard {
    outgoing_tx: broadcast::Sender<News>,
    local_tx: broadcast::Sender<News>,
}

/// Creates the channels.
pub fn open() -> NewsBoard {
    NewsBoard {
        outgoing_tx: broadcast::channel(CAPACITY).0,
        local_tx: broadcast::channel(CAPACITY).0,
    }
}

impl NewsBoard {
    /// Sends an item to this node's subscribers and to all peers.
    pub fn publish(&self, news: News) {
        // Sending fails only without a receiver, which is fine.
        let _ = self.local_tx.send(news.clone());
        let _ = self.outgoing_tx.send(news);
    }

    /// Sends an item received from a peer to this node's subscribers.
    pub fn deliver(&self, news: News) {
        let _ = self.local_tx.send(news);
    }

    /// Subscribes to the items of this node and its peers.
    pub fn subscribe(&self) -> broadcast::Receiver<News> {
        self.local_tx.subscribe()
    }

    /// Subscribes to the items that this node publishes.
    pub fn subscribe_outgoing(&self) -> broadcast::Receiver<News> {
        self.outgoing_tx.subscribe()
    }
}
