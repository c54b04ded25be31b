//! Background tasks of the caller interface: periodic measurements and the gossip
//! items of other nodes.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use citrongw_protocol::{decision::Decision, gossip_item::GossipItem};
use citrongw_state::{
    id::ModelId,
    straggler::{Detector, EjectionChange},
};
use tokio::{sync::broadcast::error::RecvError, task::JoinHandle};

use super::{fleet::TrackedReplica, limits, queue, suspects};
use crate::node::Shared;

/// Interval at which queues and load reports are processed.
const SHORT_TICK: Duration = Duration::from_millis(100);
/// Interval of measurements and of the expiry of old state.
const LONG_TICK: Duration = Duration::from_secs(1);

/// Spawns the background tasks.
pub fn spawn(shared: &Arc<Shared>) -> Vec<JoinHandle<()>> {
    let (short, long, gossip) = (Arc::clone(shared), Arc::clone(shared), Arc::clone(shared));
    vec![
        tokio::spawn(run_short(short)),
        tokio::spawn(run_long(long)),
        tokio::spawn(receive_gossip(gossip)),
    ]
}

async fn run_short(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(SHORT_TICK).await;
        shared.callers.fleet.get(&shared.replicas).update_reports();
        for group in shared.callers.directory.groups() {
            queue::admit_waiting(&shared, &group);
        }
    }
}

async fn run_long(shared: Arc<Shared>) {
    let mut detectors = HashMap::new();
    loop {
        tokio::time::sleep(LONG_TICK).await;
        shared.callers.retries.tick(LONG_TICK);
        shared.callers.suspects.expire(shared.clock.now());
        suspects::publish_to_joined(&shared);
        limits::tick(&shared, LONG_TICK);
        eject_stragglers(&shared, &mut detectors);
    }
}

/// Ejects stragglers and readmits those that recovered.
fn eject_stragglers(shared: &Shared, detectors: &mut HashMap<ModelId, Detector>) {
    let fleet = shared.callers.fleet.get(&shared.replicas);
    let mut by_model: HashMap<&ModelId, Vec<&Arc<TrackedReplica>>> = HashMap::new();
    for replica in &fleet.replicas {
        by_model.entry(&replica.entry.spec.model).or_default().push(replica);
    }
    detectors.retain(|model, _| by_model.contains_key(model));
    for (model, replicas) in by_model {
        let detector = detectors.entry(model.clone()).or_default();
        let observed: Vec<_> =
            replicas.iter().map(|it| (it.entry.spec.id, it.token_intervals.observe())).collect();
        for (replica, change) in detector.tick(&observed, shared.clock.now()) {
            shared.decisions.add(Decision::Straggler { replica, change });
            let tracked = replicas.iter().find(|it| it.entry.spec.id == replica);
            if let (Some(tracked), EjectionChange::Try) = (tracked, change) {
                tracked.token_intervals.reset();
            }
        }
        for replica in replicas {
            let is_ejected = detector.is_ejected(replica.entry.spec.id);
            replica.is_ejected.store(is_ejected, Ordering::Relaxed);
        }
    }
}

async fn receive_gossip(shared: Arc<Shared>) {
    let mut gossip_rx = shared.gossip.subscribe();
    loop {
        let item = match gossip_rx.recv().await {
            Ok(item) => item,
            Err(RecvError::Lagged(_)) => continue,
            Err(RecvError::Closed) => return,
        };
        let (callers, now) = (&shared.callers, shared.clock.now());
        match item {
            GossipItem::Suspicion(report) => callers.suspects.add_evidence(&report, now),
            GossipItem::Cleared(cleared) => callers.suspects.apply_cleared(&cleared, now),
            GossipItem::Demand(report) => callers.limits.record_report(&report, shared.node, now),
            GossipItem::Leaving(leaving) => callers.leaving.add(&leaving),
            GossipItem::DomainChanged(_) | GossipItem::StopNode(_) => {}
        }
    }
}
