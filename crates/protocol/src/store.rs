//! Client interface of the platform's key-value service: compare-and-swap,
//! leases and watches.

use std::time::Duration;

use bytes::Bytes;
use citrongw_state::id::{Revision, StoreEra};
use derive_more::{AsRef, Display, Error, From};
use futures::{future::BoxFuture, stream::BoxStream};
use serde::{Deserialize, Serialize};

/// Maximum size of a value.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Key in the key-value service.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display, From, AsRef,
)]
#[from(String, &str)]
#[as_ref(str)]
pub struct Key(String);

impl Key {
    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Id of a lease of the key-value service within an era. An id may be granted again in
/// a later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display("{id}")]
pub struct LeaseId {
    /// Era in which the lease was granted.
    pub era: StoreEra,
    /// Id of the lease.
    pub id: i64,
}

impl LeaseId {
    /// Lease of a service that was never restored from a backup.
    pub const fn new(id: i64) -> Self {
        Self { era: StoreEra(0), id }
    }
}

/// Value of a key with the revision of its last write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key of the entry.
    pub key: Key,
    /// Value of the key.
    pub value: Bytes,
    /// Revision of the last write to the key.
    pub revision: Revision,
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Revision of the key-value service at the time of the read.
    pub revision: Revision,
    /// Entries in the order of their keys.
    pub entries: Vec<Entry>,
}

impl Snapshot {
    /// Returns the entry of a read of a single key.
    pub fn into_entry(self) -> Option<Entry> {
        self.entries.into_iter().next()
    }
}

/// Expected state of the key in a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
    /// The key has no value.
    Absent,
    /// The value was written at this revision.
    Revision(Revision),
}

/// Change of the key by a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Writes a value.
    Put(Bytes),
    /// Deletes the key.
    Delete,
}

/// Compare-and-swap of a single key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Key to change.
    pub key: Key,
    /// Expected state of the key.
    pub expected: Expected,
    /// Change to apply.
    pub change: Change,
    /// Lease whose end deletes the key.
    pub lease: Option<LeaseId>,
}

/// Result of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// The change was committed at this revision.
    Committed(Revision),
    /// The key was not in the expected state. Contains its current entry;
    /// nothing was changed.
    Conflict(Option<Entry>),
}

/// Event of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchEvent {
    /// A key was written.
    Put(Entry),
    /// A key was deleted at this revision.
    Deleted(Key, Revision),
    /// Nothing changed up to this revision.
    Progress(Revision),
}

/// Error of a call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// The call had no effect: no byte of it can have reached the key-value
    /// service, or the service was not available.
    #[display("key-value service was not reached")]
    NotReached,
    /// The call may have taken effect.
    #[display("key-value service did not answer")]
    NoResponse,
    /// The key-value service refused the call. The call had no effect.
    #[display("key-value service refused the call: {reason}")]
    Refused {
        /// Error message of the service.
        reason: String,
    },
}

/// Result of a call to the key-value service.
pub type StoreResult<T> = Result<T, StoreError>;

/// Client of the key-value service. Each method is one call. An open watch
/// counts as one more call.
pub trait Store: Send + Sync {
    /// Reads one key.
    fn get(&self, key: Key) -> BoxFuture<'_, StoreResult<Snapshot>>;

    /// Reads all keys that begin with `prefix`.
    fn list(&self, prefix: Key) -> BoxFuture<'_, StoreResult<Snapshot>>;

    /// Reads all keys that begin with `prefix`. The result may be slightly
    /// stale if that makes the read cheaper.
    fn list_stale(&self, prefix: Key) -> BoxFuture<'_, StoreResult<Snapshot>> {
        self.list(prefix)
    }

    /// Changes a key if it is in the expected state.
    fn compare_and_swap(&self, write: Write) -> BoxFuture<'_, StoreResult<WriteResult>>;

    /// Grants a lease with a time to live.
    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, StoreResult<LeaseId>>;

    /// Renews a lease. Refused if the lease has expired.
    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<()>>;

    /// Revokes a lease at once instead of letting it expire.
    fn end_lease(&self, _lease: LeaseId) -> BoxFuture<'_, StoreResult<()>> {
        Box::pin(std::future::ready(Ok(())))
    }

    /// Watches the keys that begin with `prefix`, from revision `from` on.
    fn watch(
        &self,
        prefix: Key,
        from: Revision,
    ) -> BoxFuture<'_, StoreResult<BoxStream<'static, StoreResult<WatchEvent>>>>;
}
