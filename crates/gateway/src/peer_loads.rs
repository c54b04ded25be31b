//! Requests in flight at each replica, over all gateways.
//!
//! Answers the load of many gateways before few replicas: each sees only a part
//! of a replica's requests, and a load told with an answer is old by the next
//! request. So the gateways tell each other how many requests each has where.

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

/// Shortest pause between two messages of a gateway.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Longest such pause.
const MAX_INTERVAL: Duration = Duration::from_millis(1_000);
/// Part of the pause for each gateway, which bounds the messages that one
/// receives to 200 a second.
const INTERVAL_PER_NODE: Duration = Duration::from_millis(5);
/// Time after which requests that a gateway told of no longer count.
const EXPIRY: Duration = Duration::from_millis(2_500);
/// Longest time without a message: below the expiry, so that one may be lost.
const KEEPALIVE: Duration = Duration::from_millis(1_100);
/// Replicas that one message names, at most, so that it fits a datagram.
const MAX_NAMED: usize = 60;

/// Requests that a gateway has at a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightAt {
    /// The replica.
    pub replica: ReplicaId,
    /// Its epoch.
    pub epoch: Epoch,
    /// Requests.
    pub requests: u32,
}

#[derive(Debug)]
struct Told {
    at: Time,
    requests: HashMap<ReplicaKey, u32>,
}

/// What the other gateways told.
#[derive(Debug, Default)]
pub struct PeerLoads {
    told: Mutex<HashMap<NodeId, Told>>,
}

impl PeerLoads {
    /// Takes in what a gateway tells; it replaces what it told before.
    pub fn record(&self, from: NodeId, in_flight: &[InFlightAt], now: Time) {
        let requests = in_flight.iter().map(|it| {
            let key = ReplicaKey { replica: it.replica, epoch: it.epoch };
            (key, it.requests)
        });
        let told = Told { at: now, requests: requests.collect() };
        let mut board = self.lock();
        board.retain(|_, it| now.since(it.at) < EXPIRY);
        board.insert(from, told);
    }

    /// Requests of the other gateways at a replica.
    pub fn requests_at(&self, key: &ReplicaKey, now: Time) -> u32 {
        let board = self.lock();
        let fresh = board.values().filter(|it| now.since(it.at) < EXPIRY);
        fresh.filter_map(|it| it.requests.get(key)).sum()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NodeId, Told>> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Pause between two messages among so many gateways.
fn interval(nodes: usize) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    INTERVAL_PER_NODE.saturating_mul(nodes).clamp(MIN_INTERVAL, MAX_INTERVAL)
}

/// Requests of this gateway at each replica that has any.
fn own(fleet: &Fleet) -> Vec<InFlightAt> {
    let mut own: Vec<InFlightAt> = fleet
        .replicas()
        .filter_map(|it| {
            let key = it.replica.as_ref()?;
            let requests = it.stats.in_flight();
            (requests != 0).then_some(InFlightAt {
                replica: key.replica,
                epoch: key.epoch,
                requests,
            })
        })
        .collect();
    own.truncate(MAX_NAMED);
    own
}

/// Tells the other gateways of this one's requests, for ever.
pub(crate) async fn publish(gateway: Arc<Gateway>) {
    let mut last: Option<(Time, Vec<InFlightAt>)> = None;
    loop {
        sleep(interval(gateway.peers.cluster().nodes.len())).await;
        let now = gateway.clock.now();
        let own = own(&gateway.routing.fleet.load());
        let is_due = last.as_ref().is_none_or(|(at, told)| {
            *told != own || (!own.is_empty() && KEEPALIVE <= now.since(*at))
        });
        if is_due {
            gateway.peers.broadcast(&PeerMessage::Load(own.clone())).await;
            last = Some((now, own));
        }
    }
}

#[cfg(test)]
mod tests;
