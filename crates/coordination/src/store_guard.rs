//! Guard before the key-value service: counts every call, keeps this node
//! within its share of the service's rates, and stops calling while the service
//! does not answer.
//!
//! A call that the guard turns away was not sent, and fails as not reached.

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

/// Reads a second that all nodes may make together.
pub const READS_PER_S: f64 = 2000.0;
/// Writes a second that all nodes may make together.
pub const WRITES_PER_S: f64 = 300.0;
/// Reads a second that a node may always make.
const MIN_READS_PER_S: f64 = 8.0;
/// Writes a second that a node may always make.
const MIN_WRITES_PER_S: f64 = 2.0;
/// Waiting watches of one node.
const MAX_WATCHES: u64 = 16;
/// Longest time that a call waits for its turn.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Counters of the calls.
#[derive(Debug, Default)]
pub struct StoreCounters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    waiting_watches: AtomicU64,
    failed: AtomicU64,
    delayed: AtomicU64,
    turned_away: AtomicU64,
}

/// What the counters stand at.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreCounts {
    /// Reads sent.
    pub reads: u64,
    /// Writes sent, those of leases among them.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
    /// Watches that wait now.
    pub open_watches: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Calls that waited for their turn.
    pub delayed: u64,
    /// Calls that were not sent.
    pub rejected: u64,
}

/// Kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Read,
    Write,
    Watch,
}

/// Guarded client.
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

/// Guards `inner`.
pub fn open(inner: Arc<dyn Store>, clock: Clock, nodes: Arc<NodeView>) -> StoreGuard {
    let limits =
        Limits { reads: Rate::default(), writes: Rate::default(), breaker: Breaker::default() };
    StoreGuard { inner, clock, nodes, counters: Arc::default(), limits: Mutex::new(limits) }
}

impl StoreCounters {
    /// What the counters stand at.
    pub fn snapshot(&self) -> StoreCounts {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        StoreCounts {
            reads: load(&self.reads),
            writes: load(&self.writes),
            watches: load(&self.watches),
            open_watches: load(&self.waiting_watches),
            failed: load(&self.failed),
            delayed: load(&self.delayed),
            rejected: load(&self.turned_away),
        }
    }
}

impl StoreGuard {
    /// Counters of the calls.
    pub fn counters(&self) -> Arc<StoreCounters> {
        Arc::clone(&self.counters)
    }

    /// Makes a call in its turn.
    async fn call<T>(
        &self,
        kind: Kind,
        call: impl Future<Output = StoreResult<T>>,
    ) -> StoreResult<T> {
        let permit = self.wait_turn(kind).await?;
        let counter = match kind {
            Kind::Read => &self.counters.reads,
            Kind::Write => &self.counters.writes,
            Kind::Watch => &self.counters.watches,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let res = call.await;
        let answered = !matches!(res, Err(StoreError::NoAnswer | StoreError::NotReached));
        if !answered {
            self.counters.failed.fetch_add(1, Ordering::Relaxed);
        }
        self.limits().breaker.record(permit, answered, self.clock.now());
        res
    }

    async fn wait_turn(&self, kind: Kind) -> StoreResult<Permit> {
        let (permit, wait) = {
            let now = self.clock.now();
            let nodes = self.nodes.alive().len().max(1) as f64;
            let mut limits = self.limits();
            let Some(permit) = limits.breaker.acquire(now) else { return Err(self.turn_away()) };
            let wait = match kind {
                Kind::Write => {
                    limits.writes.reserve((WRITES_PER_S / nodes).max(MIN_WRITES_PER_S), now)
                }
                Kind::Read | Kind::Watch => {
                    limits.reads.reserve((READS_PER_S / nodes).max(MIN_READS_PER_S), now)
                }
            };
            (permit, wait)
        };
        if MAX_WAIT < wait {
            self.limits().breaker.release(permit);
            return Err(self.turn_away());
        }
        if !wait.is_zero() {
            self.counters.delayed.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(wait).await;
        }
        Ok(permit)
    }

    fn turn_away(&self) -> StoreError {
        self.counters.turned_away.fetch_add(1, Ordering::Relaxed);
        StoreError::NotReached
    }

    fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Store for StoreGuard {
    fn get(&self, key: Key) -> BoxFuture<'_, StoreResult<Snapshot>> {
        self.call(Kind::Read, self.inner.get(key)).boxed()
    }

    fn list(&self, prefix: Key) -> BoxFuture<'_, StoreResult<Snapshot>> {
        self.call(Kind::Read, self.inner.list(prefix)).boxed()
    }

    fn compare_and_swap(&self, write: Write) -> BoxFuture<'_, StoreResult<WriteResult>> {
        self.call(Kind::Write, self.inner.compare_and_swap(write)).boxed()
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, StoreResult<LeaseId>> {
        self.call(Kind::Write, self.inner.grant_lease(ttl)).boxed()
    }

    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<()>> {
        self.call(Kind::Write, self.inner.renew_lease(lease)).boxed()
    }

    fn watch(
        &self,
        prefix: Key,
        from: Revision,
    ) -> BoxFuture<'_, StoreResult<BoxStream<'static, StoreResult<WatchEvent>>>> {
        async move {
            let Some(waiting) = Waiting::enter(&self.counters) else {
                return Err(self.turn_away());
            };
            let events = self.call(Kind::Watch, self.inner.watch(prefix, from)).await?;
            // The guard lives as long as the stream.
            let counted = events.map(move |event| {
                let _ = &waiting;
                event
            });
            Ok(counted.boxed())
        }
        .boxed()
    }
}

/// Waiting watch, counted until it is dropped.
struct Waiting(Arc<StoreCounters>);

impl Waiting {
    fn enter(counters: &Arc<StoreCounters>) -> Option<Self> {
        let before = counters.waiting_watches.fetch_add(1, Ordering::Relaxed);
        let waiting = Self(Arc::clone(counters));
        (before < MAX_WATCHES).then_some(waiting)
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.waiting_watches.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
