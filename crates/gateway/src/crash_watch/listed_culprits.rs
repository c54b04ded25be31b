//! Culprits in the key-value service, for gateways that start later. Each entry ends
//! with the quarantine, by its lease.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use citrongw_protocol::store::{Change, Expected, LeaseId, Store, StoreResult, Write, WriteResult};
use citrongw_state::crash_suspicion::shared_parts::Culprit;
use derive_more::Debug;

use crate::{lock::lock, peers::CULPRIT_PREFIX};

/// Shortest time to live of an entry, which the key-value service accepts.
const MIN_LEASE_TIME: Duration = Duration::from_secs(1);

/// Entries that this gateway wrote.
#[derive(Debug)]
pub(super) struct ListedCulprits {
    #[debug(skip)]
    store: Arc<dyn Store>,
    leases: Mutex<HashMap<Culprit, LeaseId>>,
}

/// Creates an empty list.
pub(super) fn open(store: &Arc<dyn Store>) -> ListedCulprits {
    ListedCulprits { store: Arc::clone(store), leases: Mutex::default() }
}

impl ListedCulprits {
    /// Writes an entry that ends with the quarantine. `quarantine_left` returns no time
    /// once the culprit is cleared.
    pub(super) async fn add(
        &self,
        culprit: &Culprit,
        quarantine_left: impl Fn() -> Option<Duration>,
    ) {
        let Some(left) = quarantine_left() else { return };
        match self.write(culprit, left).await {
            Ok(Some(lease)) => {
                tracing::info!(%culprit, %lease, "culprit is listed");
                lock(&self.leases).insert(culprit.clone(), lease);
                self.retain(|it| it != culprit || quarantine_left().is_some()).await;
            }
            // Another gateway wrote it.
            Ok(None) => {}
            Err(error) => {
                tracing::warn!(%error, %culprit, dependency = "store", "could not write a culprit");
            }
        }
    }

    /// Deletes the entries for which `is_culprit` is false.
    pub(super) async fn retain(&self, is_culprit: impl Fn(&Culprit) -> bool) {
        let cleared: Vec<(Culprit, LeaseId)> = {
            let mut leases = lock(&self.leases);
            let cleared: Vec<Culprit> =
                leases.keys().filter(|it| !is_culprit(it)).cloned().collect();
            cleared.into_iter().filter_map(|it| leases.remove_entry(&it)).collect()
        };
        for (culprit, lease) in cleared {
            if let Err(error) = self.store.end_lease(lease).await {
                // The lease ends by itself.
                tracing::warn!(%error, %culprit, dependency = "store", "could not delete a culprit");
            }
        }
    }

    /// Returns the lease of the new entry, or none if there was one already.
    async fn write(&self, culprit: &Culprit, left: Duration) -> StoreResult<Option<LeaseId>> {
        let lease = self.store.grant_lease(left.max(MIN_LEASE_TIME)).await?;
        let write = Write {
            key: format!("{CULPRIT_PREFIX}{}", culprit.digest()).into(),
            expected: Expected::Absent,
            change: Change::Put(Bytes::from(culprit.to_string())),
            lease: Some(lease),
        };
        match self.store.compare_and_swap(write).await? {
            WriteResult::Committed(_) => Ok(Some(lease)),
            WriteResult::Conflict(_) => {
                self.store.end_lease(lease).await?;
                Ok(None)
            }
        }
    }
}
