//! Driver that asks the members of the replicas for their status, and puts
//! what they say into the replica table.
//!
//! [`told`] divides the asking among the nodes: one node asks the members of a
//! replica and tells those that take an interest in it.

pub mod peer_status;
pub mod poll_assignment;

use std::{sync::Arc, time::Duration};

use citrongw_protocol::engine::{Engine, EngineStatus};
use citrongw_state::{replica::ReceivedReport, time::Time};
use futures::{StreamExt, stream};
use tokio::task::JoinHandle;

use crate::{
    clock::Clock,
    node_view::NodeView,
    replica_table::{ReceivedLoad, ReplicaEntry, ReplicaTable},
};

/// Pause between two status calls to an instance.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// Status calls at once.
const STATUS_PARALLEL: usize = 32;

/// What the driver works with.
pub struct StatusWatch {
    /// Client of the engines.
    pub engine: Arc<dyn Engine>,
    /// Replicas known.
    pub table: Arc<ReplicaTable>,
    /// Live nodes.
    pub nodes: Arc<NodeView>,
    /// Where other nodes are asked, if they can be.
    pub peers: Option<Arc<dyn peer_status::QueryPeers>>,
    /// Clock of the node.
    pub clock: Clock,
}

/// Spawns the driver.
pub fn spawn(watch: StatusWatch) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            poll_once(&watch).await;
            tokio::time::sleep(STATUS_INTERVAL).await;
        }
    })
}

/// Asks once for all that this node has to know.
pub async fn poll_once(watch: &StatusWatch) {
    let entries = watch.table.entries();
    let duty = poll_assignment::assign(&entries, &watch.nodes, watch.peers.is_some());
    let asked = duty.from_peers.into_iter().map(|(node, entries)| ask_peer(watch, node, entries));
    let unheard: Vec<Arc<ReplicaEntry>> =
        stream::iter(asked).buffer_unordered(STATUS_PARALLEL).concat().await;
    // A replica whose watcher does not tell is asked here.
    let own = duty.direct.into_iter().chain(unheard);
    let members =
        own.flat_map(|entry| (0..entry.spec.members.len()).map(move |idx| (entry.clone(), idx)));
    stream::iter(members)
        .for_each_concurrent(STATUS_PARALLEL, |(entry, idx)| {
            ask_member(watch.engine.as_ref(), entry, idx, watch.clock)
        })
        .await;
}

async fn ask_peer(
    watch: &StatusWatch,
    node: crate::node_view::NodeInfo,
    entries: Vec<Arc<ReplicaEntry>>,
) -> Vec<Arc<ReplicaEntry>> {
    let Some(peers) = &watch.peers else { return entries };
    let asked_at = watch.clock.now();
    let ids = entries.iter().map(|it| it.spec.id).collect();
    match peers.query(&node, ids).await {
        Ok(response) => peer_status::apply_response(&entries, &response, asked_at),
        Err(error) => {
            tracing::debug!(%error, node = %node.id, "could not ask peer for status");
            entries
        }
    }
}

async fn ask_member(engine: &dyn Engine, entry: Arc<ReplicaEntry>, idx: usize, clock: Clock) {
    let asked_at = clock.now();
    match engine.status(entry.spec.members[idx].engine_addr).await {
        Ok(status) => take_status(&entry, idx, &status, asked_at),
        Err(error) => {
            let instance = &entry.spec.members[idx].instance;
            tracing::debug!(%error, %instance, "could not ask instance for its status");
        }
    }
}

fn take_status(entry: &ReplicaEntry, idx: usize, status: &EngineStatus, asked_at: Time) {
    entry.set_report(idx, ReceivedReport { report: status.member, requested_at: asked_at });
    if idx == 0 {
        entry.set_load(ReceivedLoad { report: status.load, requested_at: asked_at });
    }
}
