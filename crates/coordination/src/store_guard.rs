//! Guard around the client of the key-value service: counts every call, limits
//! this node to its share of the service's rates, and stops calling while the
//! service does not respond.
//!
//! A call that the guard rejects is not sent and fails with
//! [`StoreError::NotReached`].

mod breaker;
mod rate;

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use citrongw_protocol::store::{
    Key, LeaseId, Snapshot, Store, StoreError, StoreResult, WatchEvent, Write, WriteResult,
};
use citrongw_state::id::Revision;
use futures::{FutureExt, StreamExt, future::BoxFuture, stream::BoxStream};

use self::{
    breaker::{Breaker, Permit},
    rate::Rate,
};
use crate::{clock::Clock, node_view::NodeView};

/// Limit of reads a second over all nodes.
pub const READS_PER_S: f64 = 2000.0;
/// Limit of writes a second over all nodes.
pub const WRITES_PER_S: f64 = 300.0;
/// Minimum share of a node, in reads a second.
const MIN_READS_PER_S: f64 = 8.0;
/// Minimum share of a node, in writes a second.
const MIN_WRITES_PER_S: f64 = 2.0;
/// Maximum open watches of one node.
const MAX_WATCHES: u64 = 16;
/// Maximum time that a call waits for its slot.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Counters of calls to the key-value service.
#[derive(Debug, Default)]
pub struct StoreCounters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    open_watches: AtomicU64,
    failed: AtomicU64,
    delayed: AtomicU64,
    rejected: AtomicU64,
}

/// Values of [`StoreCounters`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreCounts {
    /// Reads sent.
    pub reads: u64,
    /// Writes sent, including lease calls.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
    /// Watches open now.
    pub open_watches: u64,
    /// Calls that got no response or did not reach the service.
    pub failed: u64,
    /// Calls that waited for their slot.
    pub delayed: u64,
    /// Calls that the guard rejected without sending them.
    pub rejected: u64,
}

/// Kind of a call, for its counter and rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Read,
    Write,
    Watch,
}

/// Client of the key-value service with rate limits and a circuit breaker.
pub struct StoreGuard {
    inner: Arc<dyn Store>,
    clock: Clock,
    nodes: Arc<NodeView>,
    counters: Arc<StoreCounters>,
    limits: Mutex<Limits>,
}

#[derive(Debug)]
struct Limits {
    reads: Rate,
    writes: Rate,
    breaker: Breaker,
}

/// Wraps `inner` in a guard.
pub fn open(inner: Arc<dyn Store>, clock: Clock, nodes: Arc<NodeView>) -> StoreGuard {
    let limits =
        Limits { reads: Rate::default(), writes: Rate::default(), breaker: Breaker::default() };
    StoreGuard { inner, clock, nodes, counters: Arc::default(), limits: Mutex::new(limits) }
}

impl StoreCounters {
    /// Current values of the counters.
    pub fn snapshot(&self) -> StoreCounts {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        StoreCounts {
            reads: load(&self.reads),
            writes: load(&self.writes),
            watches: load(&self.watches),
            open_watches: load(&self.open_watches),
            failed: load(&self.failed),
            delayed: load(&self.delayed),
            rejected: load(&self.rejected),
        }
    }
}

impl StoreGuard {
    /// Counters, shared with the guard.
    pub fn counters(&self) -> Arc<StoreCounters> {
        Arc::clone(&self.counters)
    }

    /// Makes a call once its slot is due.
    async fn call<T>(
        &self,
        kind: CallKind,
        call: impl Future<Output = StoreResult<T>>,
    ) -> StoreResult<T> {
        let permit = self.wait_for_slot(kind).await?;
        let counter = match kind {
            CallKind::Read => &self.counters.reads,
            CallKind::Write => &self.counters.writes,
            CallKind::Watch => &self.counters.watches,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let res = call.await;
        let responded = !matches!(res, Err(StoreError::NoResponse | StoreError::NotReached));
        if !responded {
            self.counters.failed.fetch_add(1, Ordering::Relaxed);
        }
        self.limits().breaker.record(permit, responded, self.clock.now());
        res
    }

    async fn wait_for_slot(&self, kind: CallKind) -> StoreResult<Permit> {
        let (permit, wait) = {
            let now = self.clock.now();
            let nodes = self.nodes.alive().len().max(1) as f64;
            let mut limits = self.limits();
            let Some(permit) = limits.breaker.acquire(now) else { return Err(self.reject()) };
            let wait = match kind {
                CallKind::Write => {
                    limits.writes.reserve((WRITES_PER_S / nodes).max(MIN_WRITES_PER_S), now)
                }
                CallKind::Read | CallKind::Watch => {
                    limits.reads.reserve((READS_PER_S / nodes).max(MIN_READS_PER_S), now)
                }
            };
            (permit, wait)
        };
        if MAX_WAIT < wait {
            self.limits().breaker.release(permit);
            return Err(self.reject());
        }
        if !wait.is_zero() {
            self.counters.delayed.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(wait).await;
        }
        Ok(permit)
    }

    fn reject(&self) -> StoreError {
        self.counters.rejected.fetch_add(1, Ordering::Relaxed);
        StoreError::NotReached
    }

    fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Store for StoreGuard {
    fn get(&self, key: Key) -> BoxFuture<'_, StoreResult<Snapshot>> {
        self.call(CallKind::Read, self.inner.get(key)).boxed()
    }

    fn list(&self, prefix: Key) -> BoxFuture<'_, StoreResult<Snapshot>> {
        self.call(CallKind::Read, self.inner.list(prefix)).boxed()
    }

    fn compare_and_swap(&self, write: Write) -> BoxFuture<'_, StoreResult<WriteResult>> {
        self.call(CallKind::Write, self.inner.compare_and_swap(write)).boxed()
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, StoreResult<LeaseId>> {
        self.call(CallKind::Write, self.inner.grant_lease(ttl)).boxed()
    }

    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<()>> {
        self.call(CallKind::Write, self.inner.renew_lease(lease)).boxed()
    }

    fn watch(
        &self,
        prefix: Key,
        from: Revision,
    ) -> BoxFuture<'_, StoreResult<BoxStream<'static, StoreResult<WatchEvent>>>> {
        async move {
            let Some(open_watch) = OpenWatch::acquire(&self.counters) else {
                return Err(self.reject());
            };
            let events = self.call(CallKind::Watch, self.inner.watch(prefix, from)).await?;
            // Moves the counting guard into the stream, which drops it at its end.
            let counted = events.map(move |event| {
                let _ = &open_watch;
                event
            });
            Ok(counted.boxed())
        }
        .boxed()
    }
}

/// Counts an open watch until it is dropped.
struct OpenWatch(Arc<StoreCounters>);

impl OpenWatch {
    fn acquire(counters: &Arc<StoreCounters>) -> Option<Self> {
        let before = counters.open_watches.fetch_add(1, Ordering::Relaxed);
        let open_watch = Self(Arc::clone(counters));
        (before < MAX_WATCHES).then_some(open_watch)
    }
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.open_watches.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
