//! Requests in flight at each replica from all gateways.
//!
//! With many gateways and few replicas, each gateway sees only part of a
//! replica's requests, and a load reported in a response is outdated by the next
//! request. So the gateways publish to each other how many requests they have at
//! each replica.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use citrongw_state::{
    id::{Epoch, NodeId, ReplicaId},
    time::Time,
};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    fleet::{Fleet, ReplicaKey},
    node::Gateway,
    peers::message::PeerMessage,
};

/// Shortest interval between messages of a gateway.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Longest interval between messages of a gateway.
const MAX_INTERVAL: Duration = Duration::from_millis(1_000);
/// Part of the interval that is added for each gateway. It bounds the messages
/// that one gateway receives to 200 a second.
const INTERVAL_PER_NODE: Duration = Duration::from_millis(5);
/// Time after which a gateway's report of its requests no longer counts.
const REPORT_EXPIRY: Duration = Duration::from_millis(2_500);
/// Longest time without a message while requests are in flight: less than half of
/// the expiry, so that one message may be lost.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_100);
/// Limit on the replicas of one message, so that it fits into a datagram.
const MAX_REPLICAS: usize = 60;

/// Requests of one gateway in flight at a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRequests {
    /// Id of the replica.
    pub replica: ReplicaId,
    /// Epoch of the replica.
    pub epoch: Epoch,
    /// Number of requests.
    pub requests: u32,
}

#[derive(Debug)]
struct Report {
    received_at: Time,
    requests: HashMap<ReplicaKey, u32>,
}

/// Latest report of each other gateway.
#[derive(Debug, Default)]
pub struct PeerLoads {
    reports: Mutex<HashMap<NodeId, Report>>,
}

impl PeerLoads {
    /// Records the report of a gateway, which replaces its previous one.
    pub fn record(&self, from: NodeId, in_flight: &[ReplicaRequests], now: Time) {
        let requests = in_flight.iter().map(|it| {
            let key = ReplicaKey { replica: it.replica, epoch: it.epoch };
            (key, it.requests)
        });
        let report = Report { received_at: now, requests: requests.collect() };
        let mut reports = self.lock();
        reports.retain(|_, it| now.since(it.received_at) < REPORT_EXPIRY);
        reports.insert(from, report);
    }

    /// Requests of the other gateways at a replica, without expired reports.
    pub fn requests_at(&self, key: &ReplicaKey, now: Time) -> u32 {
        let reports = self.lock();
        let fresh = reports.values().filter(|it| now.since(it.received_at) < REPORT_EXPIRY);
        fresh.filter_map(|it| it.requests.get(key)).sum()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NodeId, Report>> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Interval between messages when there are `nodes` gateways.
fn interval(nodes: usize) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    INTERVAL_PER_NODE.saturating_mul(nodes).clamp(MIN_INTERVAL, MAX_INTERVAL)
}

/// Requests of this gateway at each replica that has any.
fn own_requests(fleet: &Fleet) -> Vec<ReplicaRequests> {
    let mut own: Vec<ReplicaRequests> = fleet
        .replicas()
        .filter_map(|it| {
            let key = it.replica.as_ref()?;
            let requests = it.stats.in_flight();
            (requests != 0).then_some(ReplicaRequests {
                replica: key.replica,
                epoch: key.epoch,
                requests,
            })
        })
        .collect();
    own.truncate(MAX_REPLICAS);
    own
}

/// Publishes this gateway's requests to the other gateways; never returns.
pub(crate) async fn publish(gateway: Arc<Gateway>) {
    let mut last: Option<(Time, Vec<ReplicaRequests>)> = None;
    loop {
        sleep(interval(gateway.peers.cluster().nodes.len())).await;
        let now = gateway.clock.now();
        let own = own_requests(&gateway.routing.fleet.load());
        let is_due = last.as_ref().is_none_or(|(at, sent)| {
            *sent != own || (!own.is_empty() && KEEPALIVE_INTERVAL <= now.since(*at))
        });
        if is_due {
            gateway.peers.broadcast(&PeerMessage::Load(own.clone())).await;
            last = Some((now, own));
        }
    }
}

#[cfg(test)]
mod tests;
