//! Keys that end with the process that wrote them, by a lease.

use std::time::Duration;

use bytes::Bytes;
use citrongw_protocol::store::{
    Change, Entry, Expected, Key, LeaseId, Store, StoreResult, Write, WriteResult,
};

/// Writes a key under a new lease, if it has no value or `value` itself: that is what
/// this process left there under a lease that it lost. None if it has another value.
pub(crate) async fn claim(
    store: &dyn Store,
    key: Key,
    value: String,
    ttl: Duration,
) -> StoreResult<Option<LeaseId>> {
    let lease = store.grant_lease(ttl).await?;
    let change = Change::Put(Bytes::from(value.clone()));
    let write = Write { key, expected: Expected::Absent, change, lease: Some(lease) };
    let own = match store.compare_and_swap(write.clone()).await? {
        WriteResult::Committed(_) => return Ok(Some(lease)),
        WriteResult::Conflict(found) => found.filter(|it| it.value == value.as_bytes()),
    };
    if let Some(Entry { revision, .. }) = own {
        let write = Write { expected: Expected::Revision(revision), ..write };
        if let WriteResult::Committed(_) = store.compare_and_swap(write).await? {
            return Ok(Some(lease));
        }
    }
    store.end_lease(lease).await?;
    Ok(None)
}

#[cfg(test)]
mod tests;
