//! Driver that polls the status of replica members and stores the reports in the
//! replica table.
//!
//! [`poll_assignment`] divides the polling among the nodes: one node, the watcher
//! of a replica, polls its members, and the nodes that track the replica query the
//! watcher by [`peer_status`].

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

/// Pause between polling rounds.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum concurrent status calls.
const STATUS_PARALLEL: usize = 32;

/// Dependencies of the driver.
pub struct StatusWatch {
    /// Client of the engines.
    pub engine: Arc<dyn Engine>,
    /// Replica table, updated by the driver.
    pub table: Arc<ReplicaTable>,
    /// Live nodes.
    pub nodes: Arc<NodeView>,
    /// Client for status queries to other nodes. Without it, this node polls all
    /// replicas itself.
    pub peers: Option<Arc<dyn peer_status::QueryPeers>>,
    /// Clock of this process.
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

/// Polls once the status of all replicas that this node polls or tracks.
pub async fn poll_once(watch: &StatusWatch) {
    let entries = watch.table.entries();
    let assignment = poll_assignment::assign(&entries, &watch.nodes, watch.peers.is_some());
    let queries =
        assignment.from_peers.into_iter().map(|(node, entries)| query_peer(watch, node, entries));
    let unreported: Vec<Arc<ReplicaEntry>> =
        stream::iter(queries).buffer_unordered(STATUS_PARALLEL).concat().await;
    // Replicas that the queried nodes did not report are polled directly.
    let own = assignment.direct.into_iter().chain(unreported);
    let members =
        own.flat_map(|entry| (0..entry.spec.members.len()).map(move |idx| (entry.clone(), idx)));
    stream::iter(members)
        .for_each_concurrent(STATUS_PARALLEL, |(entry, idx)| {
            poll_member(watch.engine.as_ref(), entry, idx, watch.clock)
        })
        .await;
}

async fn query_peer(
    watch: &StatusWatch,
    node: crate::node_view::NodeInfo,
    entries: Vec<Arc<ReplicaEntry>>,
) -> Vec<Arc<ReplicaEntry>> {
    let Some(peers) = &watch.peers else { return entries };
    let requested_at = watch.clock.now();
    let ids = entries.iter().map(|it| it.spec.id).collect();
    match peers.query(&node, ids).await {
        Ok(response) => peer_status::apply_response(&entries, &response, requested_at),
        Err(error) => {
            tracing::debug!(%error, node = %node.id, "could not query a peer for replica status");
            entries
        }
    }
}

async fn poll_member(engine: &dyn Engine, entry: Arc<ReplicaEntry>, idx: usize, clock: Clock) {
    let requested_at = clock.now();
    match engine.status(entry.spec.members[idx].engine_addr).await {
        Ok(status) => store_status(&entry, idx, &status, requested_at),
        Err(error) => {
            let instance = &entry.spec.members[idx].instance;
            tracing::debug!(%error, %instance, "could not get the status of an instance");
        }
    }
}

fn store_status(entry: &ReplicaEntry, idx: usize, status: &EngineStatus, requested_at: Time) {
    entry.set_report(idx, ReceivedReport { report: status.member, requested_at });
    if idx == 0 {
        entry.set_load(ReceivedLoad { report: status.load, requested_at });
    }
}
