//! The nodes considered alive by this node, as read by its other components.

use std::{net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use citrongw_state::id::{AvailabilityZone, NodeId, Region};
use serde::{Deserialize, Serialize};

/// Identity and location of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Random id, drawn at each start of the process.
    pub id: NodeId,
    /// Availability zone in which it runs.
    pub zone: AvailabilityZone,
    /// Region of the zone.
    pub region: Region,
    /// Address at which it serves peers over UDP and TCP.
    pub peer_addr: SocketAddr,
}

/// Live nodes, including this one.
#[derive(Debug)]
pub struct NodeView {
    this: NodeInfo,
    alive: ArcSwap<Vec<NodeInfo>>,
}

/// Creates a view with only this node.
pub fn open(this: NodeInfo) -> NodeView {
    let alive = ArcSwap::from_pointee(vec![this.clone()]);
    NodeView { this, alive }
}

impl NodeView {
    /// This node.
    pub fn this(&self) -> &NodeInfo {
        &self.this
    }

    /// Live nodes, in order of id.
    pub fn alive(&self) -> Arc<Vec<NodeInfo>> {
        self.alive.load_full()
    }

    /// Replaces the set of live nodes.
    pub fn replace(&self, mut alive: Vec<NodeInfo>) {
        alive.sort_by_key(|it| it.id);
        self.alive.store(Arc::new(alive));
    }
}
