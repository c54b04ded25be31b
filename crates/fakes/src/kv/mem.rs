//! In-process client of the fake service, with fault injection: outages, latency,
//! and replies lost before or after a write took effect.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use citrongw_protocol::store::{
    Key, LeaseId, Snapshot, Store, StoreError, StoreResult, WatchEvent, Write, WriteResult,
};
use citrongw_state::{id::Revision, time::Time};
use futures::{FutureExt, StreamExt, future::BoxFuture, stream, stream::BoxStream};
use tokio::{sync::watch, time::Instant};

use super::core::KvCore;

/// Fault injected into calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Calls are executed and get a reply.
    #[default]
    None,
    /// Calls are not executed and get no reply.
    Down,
    /// Calls are executed and get no reply.
    ReplyLost,
}

#[derive(Debug, Clone, Copy, Default)]
struct Behaviour {
    fault: Fault,
    latency: Duration,
}

/// In-process key-value service. Clones share its state.
#[derive(Debug, Clone)]
pub struct MemStore {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    core: Mutex<KvCore>,
    behaviour: Mutex<Behaviour>,
    changed_tx: watch::Sender<u64>,
    started_at: Instant,
}

/// Creates an empty service.
pub fn open() -> MemStore {
    let shared = Shared {
        core: Mutex::default(),
        behaviour: Mutex::default(),
        changed_tx: watch::channel(0).0,
        started_at: Instant::now(),
    };
    MemStore { shared: Arc::new(shared) }
}

impl MemStore {
    /// Sets the fault of all later calls.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.shared.behaviour).fault = fault;
        self.shared.changed_tx.send_modify(|count| *count += 1);
    }

    /// Sets the latency of each call.
    pub fn set_latency(&self, latency: Duration) {
        lock(&self.shared.behaviour).latency = latency;
    }

    /// Accesses the state directly, without faults and latency.
    pub fn inspect<T>(&self, access: impl FnOnce(&mut KvCore) -> T) -> T {
        let mut core = lock(&self.shared.core);
        core.expire_leases(self.now());
        access(&mut core)
    }

    fn now(&self) -> Time {
        Time(self.shared.started_at.elapsed())
    }

    async fn call<T>(&self, run: impl FnOnce(&mut KvCore, Time) -> T) -> StoreResult<T> {
        let behaviour = *lock(&self.shared.behaviour);
        if !behaviour.latency.is_zero() {
            tokio::time::sleep(behaviour.latency).await;
        }
        if behaviour.fault == Fault::Down {
            return Err(StoreError::NoResponse);
        }
        let res = self.inspect(|core| run(core, self.now()));
        self.shared.changed_tx.send_modify(|count| *count += 1);
        if behaviour.fault == Fault::ReplyLost {
            return Err(StoreError::NoResponse);
        }
        Ok(res)
    }
}

impl Store for MemStore {
    fn get(&self, key: Key) -> BoxFuture<'_, StoreResult<Snapshot>> {
        self.call(move |core, _| core.get(&key)).boxed()
    }

    fn list(&self, prefix: Key) -> BoxFuture<'_, StoreResult<Snapshot>> {
        self.call(move |core, _| core.list(&prefix)).boxed()
    }

    fn compare_and_swap(&self, write: Write) -> BoxFuture<'_, StoreResult<WriteResult>> {
        self.call(move |core, _| core.compare_and_swap(write)).boxed()
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, StoreResult<LeaseId>> {
        self.call(move |core, now| core.grant_lease(ttl, now)).boxed()
    }

    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<()>> {
        async move {
            if self.call(move |core, now| core.renew_lease(lease, now)).await? {
                return Ok(());
            }
            Err(StoreError::Refused { reason: "lease has expired".to_owned() })
        }
        .boxed()
    }

    fn end_lease(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<()>> {
        self.call(move |core, _| core.end_lease(lease)).boxed()
    }

    fn watch(
        &self,
        prefix: Key,
        from: Revision,
    ) -> BoxFuture<'_, StoreResult<BoxStream<'static, StoreResult<WatchEvent>>>> {
        async move {
            self.call(|_, _| ()).await?;
            let watch = Watch {
                store: self.clone(),
                changed_rx: self.shared.changed_tx.subscribe(),
                prefix,
                from,
                seen: 0,
            };
            let batches = stream::unfold(watch, |mut watch| async move {
                let events = watch.next_batch().await?;
                Some((stream::iter(events.into_iter().map(Ok)), watch))
            });
            Ok(batches.flatten().boxed())
        }
        .boxed()
    }
}

struct Watch {
    store: MemStore,
    changed_rx: watch::Receiver<u64>,
    prefix: Key,
    from: Revision,
    seen: usize,
}

impl Watch {
    /// Waits for the next events; a watch delivers no events while the service is down.
    /// None ends the watch, also when the service was restored in another era.
    async fn next_batch(&mut self) -> Option<Vec<WatchEvent>> {
        loop {
            self.changed_rx.mark_unchanged();
            if self.store.inspect(|core| core.era()) != self.from.era {
                return None;
            }
            if lock(&self.store.shared.behaviour).fault != Fault::Down {
                let (events, seen) =
                    self.store.inspect(|core| core.events(&self.prefix, self.seen, self.from));
                self.seen = seen;
                if !events.is_empty() {
                    return Some(events);
                }
            }
            self.changed_rx.changed().await.ok()?;
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
