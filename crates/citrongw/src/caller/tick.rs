//! Drivers behind the decisions: what is measured anew from time to time, and
//! the news of other nodes.

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

use super::{fleet::Side, limits, queue, suspects};
use crate::node::Shared;

/// Pause between two looks at queues and load reports.
const SHORT_TICK: Duration = Duration::from_millis(100);
/// Pause between two measurements.
const LONG_TICK: Duration = Duration::from_secs(1);

/// Spawns the drivers.
pub fn spawn(shared: &Arc<Shared>) -> Vec<JoinHandle<()>> {
    let (short, long, news) = (Arc::clone(shared), Arc::clone(shared), Arc::clone(shared));
    vec![tokio::spawn(run_short(short)), tokio::spawn(run_long(long)), tokio::spawn(hear(news))]
}

async fn run_short(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(SHORT_TICK).await;
        shared.callers.fleet.get(&shared.replicas).note_reports();
        for group in shared.callers.directory.groups() {
            queue::let_through(&shared, &group);
        }
    }
}

async fn run_long(shared: Arc<Shared>) {
    let mut detectors = HashMap::new();
    loop {
        tokio::time::sleep(LONG_TICK).await;
        shared.callers.retries.tick(LONG_TICK);
        shared.callers.suspects.forget(shared.clock.now());
        suspects::tell_joined(&shared);
        limits::tick(&shared, LONG_TICK);
        judge_speeds(&shared, &mut detectors);
    }
}

/// Ejects stragglers and takes them back.
fn judge_speeds(shared: &Shared, detectors: &mut HashMap<ModelId, Detector>) {
    let fleet = shared.callers.fleet.get(&shared.replicas);
    let mut by_model: HashMap<&ModelId, Vec<&Arc<Side>>> = HashMap::new();
    for side in &fleet.sides {
        by_model.entry(&side.entry.spec.model).or_default().push(side);
    }
    detectors.retain(|model, _| by_model.contains_key(model));
    for (model, sides) in by_model {
        let detector = detectors.entry(model.clone()).or_default();
        let seen: Vec<_> =
            sides.iter().map(|it| (it.entry.spec.id, it.token_times.observe())).collect();
        for (replica, change) in detector.tick(&seen, shared.clock.now()) {
            shared.decisions.add(Decision::Straggler { replica, change });
            let side = sides.iter().find(|it| it.entry.spec.id == replica);
            if let (Some(side), EjectionChange::Try) = (side, change) {
                side.token_times.reset();
            }
        }
        for side in sides {
            let is_ejected = detector.is_ejected(side.entry.spec.id);
            side.is_ejected.store(is_ejected, Ordering::Relaxed);
        }
    }
}

async fn hear(shared: Arc<Shared>) {
    let mut news_rx = shared.gossip.subscribe();
    loop {
        let news = match news_rx.recv().await {
            Ok(news) => news,
            Err(RecvError::Lagged(_)) => continue,
            Err(RecvError::Closed) => return,
        };
        let (callers, now) = (&shared.callers, shared.clock.now());
        match news {
            GossipItem::Suspicion(told) => callers.suspects.hear(&told, now),
            GossipItem::Cleared(cleared) => callers.suspects.hear_cleared(&cleared, now),
            GossipItem::Demand(told) => callers.limits.hear(&told, shared.node, now),
            GossipItem::Leaving(leaving) => callers.leaving.add(&leaving),
            GossipItem::DomainChanged(_) | GossipItem::StopNode(_) => {}
        }
    }
}
