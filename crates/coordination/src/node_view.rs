//! The nodes that this node holds for alive, as other parts read them.

use std::{net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use citrongw_state::id::{AvailabilityZone, NodeId, Region};
use serde::{Deserialize, Serialize};

/// A node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// The node.
    pub id: NodeId,
    /// Its zone.
    pub zone: AvailabilityZone,
    /// Its region.
    pub region: Region,
    /// Its address for peers, UDP and TCP.
    pub peer_addr: SocketAddr,
}

/// Live nodes, this one among them.
#[derive(Debug)]
pub struct NodeView {
    this: NodeInfo,
    alive: ArcSwap<Vec<NodeInfo>>,
}

/// Opens a view that knows this node alone.
pub fn open(this: NodeInfo) -> NodeView {
    let alive = ArcSwap::from_pointee(vec![this.clone()]);
    NodeView { this, alive }
}

impl NodeView {
    /// This node.
    pub fn this(&self) -> &NodeInfo {
        &self.this
    }

    /// Live nodes, by id.
    pub fn alive(&self) -> Arc<Vec<NodeInfo>> {
        self.alive.load_full()
    }

    /// Takes in the live nodes.
    pub fn replace(&self, mut alive: Vec<NodeInfo>) {
        alive.sort_by_key(|it| it.id);
        self.alive.store(Arc::new(alive));
    }
}
