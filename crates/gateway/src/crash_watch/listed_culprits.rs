//! Culprits in the key-value service, for gateways that start later. Each entry ends
//! with the quarantine, by its lease.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use citrongw_protocol::store::{Change, Expected, LeaseId, Store, StoreResult, Write, WriteResult};
use citrongw_state::crash_suspicion::shared_parts::{Culprit, QUARANTINE_TIME};
use derive_more::Debug;
use tokio::time::sleep;

use crate::{backoff, lock::lock, peers::CULPRIT_PREFIX};

/// First delay before a culprit is written again.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest delay before a culprit is written again.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);

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
    /// Writes an entry, with retries while `is_culprit`.
    pub(super) async fn add(&self, culprit: &Culprit, is_culprit: impl Fn() -> bool) {
        let mut backoff = backoff::open(RETRY_DELAY, MAX_RETRY_DELAY);
        while is_culprit() {
            match self.write(culprit).await {
                Ok(Some(lease)) => {
                    tracing::info!(%culprit, %lease, "culprit is listed");
                    lock(&self.leases).insert(culprit.clone(), lease);
                    return self.retain(|it| it != culprit || is_culprit()).await;
                }
                // Another gateway wrote it.
                Ok(None) => return,
                Err(error) => {
                    tracing::warn!(%error, %culprit, dependency = "store", "could not write a culprit");
                }
            }
            sleep(backoff.next_delay()).await;
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
    async fn write(&self, culprit: &Culprit) -> StoreResult<Option<LeaseId>> {
        let lease = self.store.grant_lease(QUARANTINE_TIME).await?;
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
