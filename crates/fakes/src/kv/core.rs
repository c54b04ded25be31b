//! State of the key-value service: entries by key, a global revision counter, and
//! the event log that watches read.

use std::{collections::BTreeMap, time::Duration};

use citrongw_protocol::store::{
    Change, Entry, Expected, Key, LeaseId, Snapshot, WatchEvent, Write, WriteResult,
};
use citrongw_state::{
    id::{Revision, StoreEra},
    time::Time,
};

/// State of the key-value service.
#[derive(Debug, Clone, Default)]
pub struct KvCore {
    era: StoreEra,
    revision: u64,
    entries: BTreeMap<Key, Stored>,
    log: Vec<WatchEvent>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    /// Number of reads.
    pub reads: u64,
    /// Number of writes, including conflicts.
    pub writes: u64,
}

#[derive(Debug, Clone)]
struct Stored {
    entry: Entry,
    lease: Option<LeaseId>,
}

#[derive(Debug, Clone)]
struct Lease {
    ttl: Duration,
    expires_at: Time,
}

impl KvCore {
    /// Revision of the last change.
    pub fn revision(&self) -> Revision {
        Revision::of_era(self.era, self.revision)
    }

    /// Era of the service.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Restores the state from a backup, in a new era. What was written since the backup
    /// is gone, leases too, and the counter goes back.
    pub fn restore(&mut self, backup: KvCore) {
        let era = StoreEra(self.era.0 + 1);
        let (reads, writes) = (self.reads, self.writes);
        *self = KvCore { era, reads, writes, log: Vec::new(), ..backup };
        for stored in self.entries.values_mut() {
            stored.entry.revision.era = era;
        }
    }

    /// Reads one key.
    pub fn get(&mut self, key: &Key) -> Snapshot {
        self.reads += 1;
        let entries = self.entries.get(key).map(|it| it.entry.clone()).into_iter().collect();
        Snapshot { revision: self.revision(), entries }
    }

    /// Reads all keys that begin with `prefix`.
    pub fn list(&mut self, prefix: &Key) -> Snapshot {
        self.reads += 1;
        let matching = self.entries.range(prefix.clone()..);
        let entries = matching
            .take_while(|(key, _)| key.as_str().starts_with(prefix.as_str()))
            .map(|(_, stored)| stored.entry.clone())
            .collect();
        Snapshot { revision: self.revision(), entries }
    }

    /// Changes one key if its state is the expected one.
    pub fn compare_and_swap(&mut self, write: Write) -> WriteResult {
        self.writes += 1;
        let found = self.entries.get(&write.key).map(|it| &it.entry);
        let as_expected = match write.expected {
            Expected::Absent => found.is_none(),
            Expected::Revision(revision) => {
                // Like the platform's service, this one does not know the era of a call.
                found.is_some_and(|it| it.revision.number == revision.number)
            }
        };
        if !as_expected {
            return WriteResult::Conflict(found.cloned());
        }
        match write.change {
            Change::Put(value) => self.put(write.key, value, write.lease),
            Change::Delete => self.delete(&write.key),
        }
        WriteResult::Committed(self.revision())
    }

    /// Grants a lease.
    pub fn grant_lease(&mut self, ttl: Duration, now: Time) -> LeaseId {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, Lease { ttl, expires_at: now + ttl });
        LeaseId { era: self.era, id: self.next_lease }
    }

    /// Renews a lease. Returns false if it has expired.
    pub fn renew_lease(&mut self, id: LeaseId, now: Time) -> bool {
        self.expire_leases(now);
        let Some(lease) = self.leases.get_mut(&id.id) else { return false };
        lease.expires_at = now + lease.ttl;
        true
    }

    /// Removes the leases that have expired by `now`, with their keys.
    pub fn expire_leases(&mut self, now: Time) {
        let expired: Vec<i64> =
            self.leases.iter().filter(|(_, it)| it.expires_at <= now).map(|(id, _)| *id).collect();
        for id in expired {
            self.end_lease(LeaseId::new(id));
        }
    }

    /// Removes a lease with its keys.
    pub fn end_lease(&mut self, id: LeaseId) {
        self.leases.remove(&id.id);
        let of_lease = |stored: &&Stored| stored.lease.is_some_and(|it| it.id == id.id);
        let keys: Vec<Key> =
            self.entries.values().filter(of_lease).map(|it| it.entry.key.clone()).collect();
        for key in keys {
            self.delete(&key);
        }
    }

    /// Events of keys that begin with `prefix`, after the first `seen` events of the
    /// log and from revision `from`. Also returns `seen` for the next call.
    pub fn events(&self, prefix: &Key, seen: usize, from: Revision) -> (Vec<WatchEvent>, usize) {
        let matches = |event: &&WatchEvent| match event {
            WatchEvent::Put(entry) => {
                from <= entry.revision && entry.key.as_str().starts_with(prefix.as_str())
            }
            WatchEvent::Deleted(key, revision) => {
                from <= *revision && key.as_str().starts_with(prefix.as_str())
            }
            WatchEvent::Progress(_) => false,
        };
        let events = self.log.iter().skip(seen).filter(matches).cloned().collect();
        (events, self.log.len())
    }

    fn put(&mut self, key: Key, value: bytes::Bytes, lease: Option<LeaseId>) {
        self.revision += 1;
        let entry = Entry { key: key.clone(), value, revision: self.revision() };
        self.log.push(WatchEvent::Put(entry.clone()));
        self.entries.insert(key, Stored { entry, lease });
    }

    fn delete(&mut self, key: &Key) {
        self.revision += 1;
        self.entries.remove(key);
        self.log.push(WatchEvent::Deleted(key.clone(), self.revision()));
    }
}
