//! Simulated key-value store with rate limits, as seen by one node.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use citrongw_fakes::kv::mem::{self, MemStore};
use citrongw_protocol::store::{
    Key, LeaseId, Snapshot, Store, StoreError, StoreResult, WatchEvent, Write, WriteResult,
};
use citrongw_state::id::Revision;
use futures::{FutureExt, future, future::BoxFuture, stream::BoxStream};
use tokio::time::Instant;

/// Writes per second that the store accepts from all nodes.
pub const WRITES_PER_S: f64 = 300.0;
/// Reads per second that the store accepts from all nodes.
pub const READS_PER_S: f64 = 2000.0;
/// Timeout of a store call.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The store with its rate limits.
#[derive(Debug)]
pub struct LimitedStore {
    /// The store without limits.
    pub inner: MemStore,
    write_slots: Slots,
    read_slots: Slots,
    sent: AtomicU64,
}

/// Creates an empty store with the given latency per call.
pub fn open(latency: Duration) -> Arc<LimitedStore> {
    let inner = mem::open();
    inner.set_latency(latency);
    let write_slots = Slots::new(WRITES_PER_S);
    let read_slots = Slots::new(READS_PER_S);
    Arc::new(LimitedStore { inner, write_slots, read_slots, sent: AtomicU64::new(0) })
}

impl LimitedStore {
    /// Number of calls that nodes made, with or without a reply.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Number of executed reads and writes.
    pub fn calls(&self) -> (u64, u64) {
        self.inner.inspect(|core| (core.reads, core.writes))
    }
}

/// Rate limiter that assigns each call a start time.
#[derive(Debug)]
struct Slots {
    interval: Duration,
    next_at: Mutex<Option<Instant>>,
}

impl Slots {
    fn new(rate_per_s: f64) -> Self {
        Self { interval: Duration::from_secs_f64(1.0 / rate_per_s), next_at: Mutex::default() }
    }

    fn reserve(&self) -> Instant {
        let mut next_at = self.next_at.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let slot = next_at.map_or(now, |it| it.max(now));
        *next_at = Some(slot + self.interval);
        slot
    }
}

/// The store as seen by one node, until the node dies.
#[derive(Debug, Clone)]
pub struct NodeStore {
    shared: Arc<LimitedStore>,
    alive: Arc<AtomicBool>,
}

impl NodeStore {
    /// Creates the connection of one node.
    pub fn new(shared: &Arc<LimitedStore>) -> Self {
        Self { shared: Arc::clone(shared), alive: Arc::new(AtomicBool::new(true)) }
    }

    /// Kills the node: its calls no longer reach the store, and it receives no
    /// replies.
    pub fn kill(&self) {
        self.alive.store(false, Ordering::Relaxed);
    }

    /// Whether the node is alive.
    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::Relaxed)
    }

    /// Executes a call, which takes effect even if the caller has timed out.
    async fn call<T: Send + 'static>(
        &self,
        slot: Instant,
        call: impl Future<Output = StoreResult<T>> + Send + 'static,
    ) -> StoreResult<T> {
        if !self.is_alive() {
            return future::pending().await;
        }
        self.shared.sent.fetch_add(1, Ordering::Relaxed);
        let task = tokio::spawn(async move {
            tokio::time::sleep_until(slot).await;
            call.await
        });
        let res = tokio::time::timeout(TIMEOUT, task).await;
        if !self.is_alive() {
            return future::pending().await;
        }
        match res {
            Ok(Ok(res)) => res,
            Ok(Err(_)) | Err(_) => Err(StoreError::NoResponse),
        }
    }
}

impl Store for NodeStore {
    fn get(&self, key: Key) -> BoxFuture<'_, StoreResult<Snapshot>> {
        let inner = self.shared.inner.clone();
        self.call(self.shared.read_slots.reserve(), async move { inner.get(key).await }).boxed()
    }

    fn list(&self, prefix: Key) -> BoxFuture<'_, StoreResult<Snapshot>> {
        let inner = self.shared.inner.clone();
        self.call(self.shared.read_slots.reserve(), async move { inner.list(prefix).await }).boxed()
    }

    fn compare_and_swap(&self, write: Write) -> BoxFuture<'_, StoreResult<WriteResult>> {
        let inner = self.shared.inner.clone();
        let slot = self.shared.write_slots.reserve();
        self.call(slot, async move { inner.compare_and_swap(write).await }).boxed()
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, StoreResult<LeaseId>> {
        self.shared.inner.grant_lease(ttl)
    }

    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<()>> {
        self.shared.inner.renew_lease(lease)
    }

    fn watch(
        &self,
        prefix: Key,
        from: Revision,
    ) -> BoxFuture<'_, StoreResult<BoxStream<'static, StoreResult<WatchEvent>>>> {
        self.shared.inner.watch(prefix, from)
    }
}
