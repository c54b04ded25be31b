//! Lease of a domain's owner and its expiry by this node's clock.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use citrongw_coordination::clock::Clock;
use citrongw_protocol::store::{LeaseId, Store, StoreResult};
use citrongw_state::{id::StoreEra, time::Time};
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};

use super::ownership::LEASE_TIME;

/// Interval between renewals of a lease: a third of its time to live.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Part of the time to live that is reserved for clock differences.
const LEASE_MARGIN: Duration = Duration::from_millis(200);

/// Lease that a task renews until the value is dropped.
pub(super) struct RenewedLease {
    id: LeaseId,
    store: Arc<dyn Store>,
    clock: Clock,
    valid_until_ms: Arc<AtomicU64>,
    renewal: JoinHandle<()>,
}

/// Starts the renewal of a lease that was requested at `requested_at`.
pub(super) fn start_renewal(
    id: LeaseId,
    store: &Arc<dyn Store>,
    clock: Clock,
    requested_at: Time,
) -> RenewedLease {
    let valid_until_ms = Arc::new(AtomicU64::new(millis(valid_until(requested_at))));
    let renewal = renew(id, Arc::clone(store), clock, Arc::clone(&valid_until_ms));
    let renewal = tokio::spawn(renewal);
    RenewedLease { id, store: Arc::clone(store), clock, valid_until_ms, renewal }
}

impl RenewedLease {
    /// Era in which the lease was granted.
    pub(super) fn era(&self) -> StoreEra {
        self.id.era
    }

    /// Whether the lease is valid by this node's clock, less the margin.
    pub(super) fn is_valid(&self) -> bool {
        let until = Time::from_millis(self.valid_until_ms.load(Ordering::Relaxed));
        self.clock.now() < until
    }

    /// Renews the lease now. An error means that the lease may be lost.
    pub(super) async fn renew_now(&self) -> StoreResult<()> {
        let requested_at = self.clock.now();
        self.store.renew_lease(self.id).await?;
        self.valid_until_ms.store(millis(valid_until(requested_at)), Ordering::Relaxed);
        Ok(())
    }

    /// Ends the lease before it expires.
    pub(super) async fn end(&self) -> StoreResult<()> {
        self.renewal.abort();
        self.store.end_lease(self.id).await
    }
}

impl Drop for RenewedLease {
    fn drop(&mut self) {
        self.renewal.abort();
    }
}

async fn renew(id: LeaseId, store: Arc<dyn Store>, clock: Clock, valid_until_ms: Arc<AtomicU64>) {
    loop {
        sleep(RENEW_INTERVAL).await;
        let requested_at = clock.now();
        match timeout(RENEW_INTERVAL, store.renew_lease(id)).await {
            Ok(Ok(())) => {
                valid_until_ms.fetch_max(millis(valid_until(requested_at)), Ordering::Relaxed);
            }
            Ok(Err(error)) => tracing::info!(%error, lease = %id, "could not renew a lease"),
            Err(_) => tracing::info!(lease = %id, "lease renewal timed out"),
        }
    }
}

fn valid_until(requested_at: Time) -> Time {
    requested_at + LEASE_TIME - LEASE_MARGIN
}

fn millis(time: Time) -> u64 {
    u64::try_from(time.0.as_millis()).unwrap_or(u64::MAX)
}
