//! Lease of an owner: how long it holds, by this node's clock.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use citrongw_coordination::clock::Clock;
use citrongw_protocol::store::{LeaseId, Store, StoreResult};
use citrongw_state::time::Time;
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};

use super::ownership::LEASE_TIME;

/// Pause between two renewals of a lease: a third of its time.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Part of a lease that is kept as margin for differing clocks.
const LEASE_MARGIN: Duration = Duration::from_millis(200);

/// Lease that is renewed until it is dropped.
pub(super) struct HeldLease {
    id: LeaseId,
    store: Arc<dyn Store>,
    clock: Clock,
    held_until_ms: Arc<AtomicU64>,
    renewal: JoinHandle<()>,
}

/// Keeps a lease that was asked for at `asked_at`.
pub(super) fn hold(id: LeaseId, store: &Arc<dyn Store>, clock: Clock, asked_at: Time) -> HeldLease {
    let held_until_ms = Arc::new(AtomicU64::new(millis(held_until(asked_at))));
    let renewal = renew(id, Arc::clone(store), clock, Arc::clone(&held_until_ms));
    let renewal = tokio::spawn(renewal);
    HeldLease { id, store: Arc::clone(store), clock, held_until_ms, renewal }
}

impl HeldLease {
    /// Whether it holds now.
    pub(super) fn is_valid(&self) -> bool {
        let until = Time::from_millis(self.held_until_ms.load(Ordering::Relaxed));
        self.clock.now() < until
    }

    /// Renews it now; an error if it may be lost.
    pub(super) async fn renew_now(&self) -> StoreResult<()> {
        let asked_at = self.clock.now();
        self.store.renew_lease(self.id).await?;
        self.held_until_ms.store(millis(held_until(asked_at)), Ordering::Relaxed);
        Ok(())
    }

    /// Ends it before it lapses.
    pub(super) async fn end(&self) -> StoreResult<()> {
        self.renewal.abort();
        self.store.end_lease(self.id).await
    }
}

impl Drop for HeldLease {
    fn drop(&mut self) {
        self.renewal.abort();
    }
}

async fn renew(id: LeaseId, store: Arc<dyn Store>, clock: Clock, held_until_ms: Arc<AtomicU64>) {
    loop {
        sleep(RENEW_INTERVAL).await;
        let asked_at = clock.now();
        match timeout(RENEW_INTERVAL, store.renew_lease(id)).await {
            Ok(Ok(())) => {
                held_until_ms.fetch_max(millis(held_until(asked_at)), Ordering::Relaxed);
            }
            Ok(Err(error)) => tracing::info!(%error, lease = %id, "could not renew a lease"),
            Err(_) => tracing::info!(lease = %id, "renewal of a lease was not answered"),
        }
    }
}

fn held_until(asked_at: Time) -> Time {
    asked_at + LEASE_TIME - LEASE_MARGIN
}

fn millis(time: Time) -> u64 {
    u64::try_from(time.0.as_millis()).unwrap_or(u64::MAX)
}
