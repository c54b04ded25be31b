//! The parts of a node that claims use.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use citrongw_coordination::{
    claims::driver::{self, Claims},
    clock,
    node_view::{self, NodeInfo},
    store_guard,
};
use citrongw_protocol::store::Store;
use citrongw_state::id::NodeId;
use rand::{Rng, rngs::SmallRng};

use super::{
    NODES,
    store::{LimitedStore, NodeStore},
};

/// A node with its rate-limited connection to the store.
#[derive(Clone)]
pub struct Node {
    /// Random node id.
    pub id: NodeId,
    /// Connection to the store, which also records whether the node is alive.
    pub link: NodeStore,
    /// The store, limited to the node's share of the rates.
    pub store: Arc<dyn Store>,
    /// Claim driver of the node.
    pub claims: Arc<Claims>,
}

/// Creates a node with a view of [`NODES`] nodes.
pub fn open(rng: &mut SmallRng, service: &Arc<LimitedStore>) -> Node {
    let id = NodeId(rng.random());
    let others = (1..NODES).map(|_| info(NodeId(rng.random())));
    let nodes = Arc::new(node_view::open(info(id)));
    nodes.replace(others.chain([info(id)]).collect());
    let (clock, link) = (clock::open(), NodeStore::new(service));
    let guard = store_guard::open(Arc::new(link.clone()), clock, Arc::clone(&nodes));
    let store: Arc<dyn Store> = Arc::new(guard);
    let claims = Arc::new(driver::spawn(&nodes, &store, clock));
    Node { id, link, store, claims }
}

fn info(id: NodeId) -> NodeInfo {
    let peer_addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    NodeInfo { id, zone: "a".into(), region: "r".into(), peer_addr }
}
