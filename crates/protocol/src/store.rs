//! The platform's key-value service: compare-and-swap, leases and watches.

use std::time::Duration;

use bytes::Bytes;
use citrongw_state::id::Revision;
use derive_more::{AsRef, Display, Error, From};
use futures::{future::BoxFuture, stream::BoxStream};
use serde::{Deserialize, Serialize};

/// Largest value that the service holds.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Key in the service.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display, From, AsRef,
)]
#[from(String, &str)]
#[as_ref(str)]
pub struct Key(String);

impl Key {
    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Lease of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub struct LeaseId(pub i64);

/// Value of a key with the revision that wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: Key,
    /// The value.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: Revision,
}

/// What a read saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Revision of the service at the read.
    pub revision: Revision,
    /// Entries found, by key.
    pub entries: Vec<Entry>,
}

impl Snapshot {
    /// The entry of a read of one key.
    pub fn into_entry(self) -> Option<Entry> {
        self.entries.into_iter().next()
    }
}

/// What a compare-and-swap expects to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
    /// No value.
    Absent,
    /// The value written by this revision.
    Revision(Revision),
}

/// What a compare-and-swap does to the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Writes the value.
    Put(Bytes),
    /// Removes the key.
    Delete,
}

/// Compare-and-swap of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: Key,
    /// What must stand there.
    pub expected: Expected,
    /// What to do.
    pub change: Change,
    /// Lease with which the value ends.
    pub lease: Option<LeaseId>,
}

/// Answer of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// The change took effect as this revision.
    Committed(Revision),
    /// Something else stood there; nothing was changed.
    Conflict(Option<Entry>),
}

/// Change seen by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchEvent {
    /// A key was written.
    Put(Entry),
    /// A key was removed at this revision.
    Deleted(Key, Revision),
    /// Nothing changed up to this revision.
    Progress(Revision),
}

/// Failure of a call to the service.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// No byte of the call can have reached the service.
    #[display("key-value service was not reached")]
    NotReached,
    /// The call may have taken effect.
    #[display("key-value service did not answer")]
    NoAnswer,
    /// The service refused the call, which had no effect.
    #[display("key-value service refused the call: {reason}")]
    Refused {
        /// What it said.
        reason: String,
    },
}

/// Result of a call to the service.
pub type StoreResult<T> = Result<T, StoreError>;

/// Client of the key-value service. Each method is one call; a waiting watch
/// counts as one more.
pub trait Store: Send + Sync {
    /// Reads one key.
    fn get(&self, key: Key) -> BoxFuture<'_, StoreResult<Snapshot>>;

    /// Reads all keys that begin with `prefix`.
    fn list(&self, prefix: Key) -> BoxFuture<'_, StoreResult<Snapshot>>;

    /// Reads all keys that begin with `prefix`, as they were a short while ago
    /// if that is cheaper.
    fn list_stale(&self, prefix: Key) -> BoxFuture<'_, StoreResult<Snapshot>> {
        self.list(prefix)
    }

    /// Changes one key if it is as expected.
    fn compare_and_swap(&self, write: Write) -> BoxFuture<'_, StoreResult<WriteResult>>;

    /// Opens a lease.
    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, StoreResult<LeaseId>>;

    /// Renews a lease. Refused if it has lapsed.
    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<()>>;

    /// Ends a lease. One that lapses by itself ends later.
    fn end_lease(&self, _lease: LeaseId) -> BoxFuture<'_, StoreResult<()>> {
        Box::pin(std::future::ready(Ok(())))
    }

    /// Watches the keys that begin with `prefix`, from `from` on.
    fn watch(
        &self,
        prefix: Key,
        from: Revision,
    ) -> BoxFuture<'_, StoreResult<BoxStream<'static, StoreResult<WatchEvent>>>>;
}
