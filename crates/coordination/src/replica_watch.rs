//! Drivers that keep the replica table: one reads the domain records, one asks
//! the members of each replica for their status.

use std::{sync::Arc, time::Duration};

use citrongw_protocol::{
    engine::{Engine, EngineStatus},
    record::{DOMAIN_PREFIX, DomainRecord},
    store::Store,
};
use citrongw_state::{replica::HeardReport, time::Time};
use futures::{StreamExt, stream};
use tokio::task::JoinHandle;

use crate::{
    clock::Clock,
    replica_table::{HeardLoad, ReplicaEntry, ReplicaTable},
};

/// Pause between two reads of the records.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);
/// Pause between two status calls to an instance.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// Status calls at once.
const STATUS_PARALLEL: usize = 32;

/// Spawns the driver that reads the records.
pub fn spawn_records(store: Arc<dyn Store>, table: Arc<ReplicaTable>) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            match store.list(DOMAIN_PREFIX.into()).await {
                Ok(snapshot) => {
                    let records = snapshot.entries.iter().filter_map(|entry| {
                        serde_json::from_slice::<DomainRecord>(&entry.value)
                            .inspect_err(|error| {
                                tracing::error!(%error, key = %entry.key, "could not read record");
                            })
                            .ok()
                    });
                    table.replace(records.flat_map(|it| it.replicas).collect());
                }
                Err(error) => tracing::warn!(%error, "could not list domain records"),
            }
            tokio::time::sleep(RECORD_INTERVAL).await;
        }
    })
}

/// Spawns the driver that asks the members.
pub fn spawn_status(
    engine: Arc<dyn Engine>,
    table: Arc<ReplicaTable>,
    clock: Clock,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            let entries = table.entries();
            let members = entries.iter().flat_map(|entry| {
                (0..entry.spec.members.len()).map(move |idx| (Arc::clone(entry), idx))
            });
            stream::iter(members)
                .for_each_concurrent(STATUS_PARALLEL, |(entry, idx)| {
                    ask_member(engine.as_ref(), entry, idx, clock)
                })
                .await;
            tokio::time::sleep(STATUS_INTERVAL).await;
        }
    })
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
    entry.set_heard(idx, HeardReport { report: status.member, asked_at });
    if idx == 0 {
        entry.set_load(HeardLoad { report: status.load, asked_at });
    }
}
