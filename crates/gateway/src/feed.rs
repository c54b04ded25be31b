//! Reads the configuration and the list of instances from the platform's
//! key-value service, and publishes what requests are routed by.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use citrongw_coordination::clock::Clock;
use citrongw_protocol::store::{Entry, StoreError, WatchEvent};
use citrongw_state::{id::Revision, time::Time};
use futures::StreamExt;
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{
    adapter::Adapter,
    directory::Directory,
    fleet::{Fleet, ReplicaKey},
    instance_book::{InstanceBook, InstancesView},
    peers::message::PeerMessage,
    told::ToldReplicas,
};

/// Pause between two reads of the instance list. A leaving instance has to be
/// known within the shortest drain time of the platform, which is twice this.
const LIST_INTERVAL: Duration = Duration::from_millis(900);
/// Pause before the configuration is read again after a failure.
const CONFIG_RETRY: Duration = Duration::from_millis(200);

/// What requests are routed by.
#[derive(Debug)]
pub struct World {
    /// Configuration in force; none until the first was read.
    pub directory: ArcSwapOption<Directory>,
    /// Instances as last listed.
    pub instances: ArcSwap<InstancesView>,
    /// Backend servers.
    pub fleet: ArcSwap<Fleet>,
    told: Mutex<ToldReplicas>,
    changes_tx: watch::Sender<u64>,
}

/// Opens an empty world.
pub fn open() -> World {
    World {
        directory: ArcSwapOption::empty(),
        instances: ArcSwap::default(),
        fleet: ArcSwap::default(),
        told: Mutex::default(),
        changes_tx: watch::channel(0).0,
    }
}

impl World {
    /// Tells of each change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes_tx.subscribe()
    }

    /// Takes a configuration into force, unless it is older than the present.
    pub fn set_directory(&self, directory: Directory) {
        let current = self.directory.load();
        if current.as_ref().is_some_and(|it| directory.revision <= it.revision) {
            return;
        }
        let before = current.as_ref().map(|it| it.version);
        tracing::info!(
            version = directory.version,
            before,
            revision = directory.revision.0,
            routes = directory.routes.len(),
            "configuration in force"
        );
        self.directory.store(Some(Arc::new(directory)));
        self.rebuild();
    }

    /// Takes in what the owner of a domain tells of a replica.
    pub fn hear(&self, message: &PeerMessage, now: Time) {
        let is_new = lock(&self.told).hear(message, now);
        if !is_new {
            return;
        }
        if let PeerMessage::Down { replica, epoch } = message {
            let key = ReplicaKey { replica: *replica, epoch: *epoch };
            self.fleet.load().replica_stats(&key).for_each(|it| it.take_down());
        }
        self.rebuild();
    }

    /// Takes in a read of the instance list.
    pub fn set_instances(&self, view: InstancesView) {
        self.instances.store(Arc::new(view));
        self.rebuild();
    }

    fn rebuild(&self) {
        if let Some(directory) = &*self.directory.load() {
            let told = lock(&self.told).clone();
            let fleet = self.fleet.load().next(directory, &self.instances.load(), &told);
            self.fleet.store(Arc::new(fleet));
        }
        self.changes_tx.send_modify(|count| *count += 1);
    }
}

fn lock(told: &Mutex<ToldReplicas>) -> MutexGuard<'_, ToldReplicas> {
    told.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Spawns the readers.
pub fn spawn(adapter: &Adapter, world: &Arc<World>, clock: Clock) -> Vec<JoinHandle<()>> {
    vec![
        tokio::spawn(follow_config(adapter.clone(), Arc::clone(world))),
        tokio::spawn(follow_instances(adapter.clone(), Arc::clone(world), clock)),
    ]
}

async fn follow_config(adapter: Adapter, world: Arc<World>) {
    loop {
        if let Err(error) = read_and_watch_config(&adapter, &world).await {
            tracing::warn!(%error, dependency = "store", "could not follow the configuration");
        }
        sleep(CONFIG_RETRY).await;
    }
}

/// Reads the configuration, then follows its changes until the watch ends.
async fn read_and_watch_config(adapter: &Adapter, world: &World) -> Result<(), StoreError> {
    let snapshot = adapter.store.get(adapter.codec.config_key()).await?;
    let from = Revision(snapshot.revision.0 + 1);
    if let Some(entry) = snapshot.into_entry() {
        apply_config(adapter, world, &entry);
    }
    let mut events = adapter.store.watch(adapter.codec.config_key(), from).await?;
    while let Some(event) = events.next().await {
        match event? {
            WatchEvent::Put(entry) if entry.key == adapter.codec.config_key() => {
                apply_config(adapter, world, &entry);
            }
            WatchEvent::Put(_) | WatchEvent::Deleted(..) | WatchEvent::Progress(_) => {}
        }
    }
    Ok(())
}

fn apply_config(adapter: &Adapter, world: &World, entry: &Entry) {
    match adapter.codec.decode_config(entry) {
        Ok(directory) => world.set_directory(directory),
        // The one in force stays; the service accepts only valid ones.
        Err(error) => tracing::error!(%error, "could not read the configuration"),
    }
}

async fn follow_instances(adapter: Adapter, world: Arc<World>, clock: Clock) {
    let mut book = InstanceBook::default();
    let mut is_reached = true;
    let mut ticks = interval(LIST_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let asked_at = clock.now();
        match adapter.store.list(adapter.codec.instances_prefix()).await {
            Ok(snapshot) => {
                if !is_reached {
                    tracing::info!(dependency = "store", "instance list is read again");
                }
                is_reached = true;
                let entries = snapshot.entries.iter().filter_map(|entry| {
                    // An entry that cannot be read names no instance to use.
                    let decoded = adapter.codec.decode_instance(entry);
                    let decoded = decoded.inspect_err(|error| {
                        tracing::warn!(key = %entry.key, %error, "ignored an instance's entry");
                    });
                    Some((decoded.ok()?, entry.revision))
                });
                world.set_instances(book.apply(asked_at, entries.collect()).clone());
            }
            Err(error) => {
                if is_reached {
                    tracing::warn!(%error, dependency = "store", "could not read the instance list");
                }
                is_reached = false;
            }
        }
    }
}
