//! Which node owns a domain: the one whose lease holds the domain's owner key.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use citrongw_protocol::store::{
    Change, Expected, Key, LeaseId, Store, StoreResult, Write, WriteResult,
};
use citrongw_state::{id::NodeId, time::Time};

use super::plan::{DomainKey, OWNER_PREFIX};

/// Time that an owner keeps its domain after its last renewal.
pub(super) const LEASE_TIME: Duration = Duration::from_millis(2_500);
/// Longest random wait before a node reaches for a free domain, so that seldom
/// two do at once.
const MAX_JITTER_MS: u64 = 250;
/// Further wait for each domain that the node owns, so that domains spread.
const OWNED_WAIT: Duration = Duration::from_millis(350);

/// Domains without an owner, and when this node may reach for each.
#[derive(Debug, Default)]
pub(super) struct Vacancies {
    reach_at: BTreeMap<DomainKey, Time>,
}

impl Vacancies {
    /// Takes in which domains are free and gives those to reach for now.
    pub(super) fn due(
        &mut self,
        free: &BTreeSet<DomainKey>,
        owned: usize,
        now: Time,
    ) -> Vec<DomainKey> {
        self.reach_at.retain(|domain, _| free.contains(domain));
        let wait = OWNED_WAIT * u32::try_from(owned).unwrap_or(u32::MAX);
        for domain in free {
            let jitter = Duration::from_millis(rand::random_range(0..MAX_JITTER_MS));
            self.reach_at.entry(domain.clone()).or_insert(now + wait + jitter);
        }
        let due = self.reach_at.iter().filter(|(_, at)| **at <= now);
        due.map(|(domain, _)| domain.clone()).collect()
    }
}

/// Reads which domains have an owner. The answer may be a little old; taking
/// hold of a domain decides.
pub(super) async fn read_owned(store: &dyn Store) -> StoreResult<BTreeSet<Key>> {
    let snapshot = store.list_stale(OWNER_PREFIX.into()).await?;
    Ok(snapshot.entries.into_iter().map(|it| it.key).collect())
}

/// Takes hold of a domain; none if another node has it.
pub(super) async fn acquire(
    store: &dyn Store,
    domain: &DomainKey,
    node: NodeId,
) -> StoreResult<Option<LeaseId>> {
    let lease = store.grant_lease(LEASE_TIME).await?;
    let write = Write {
        key: domain.owner_key(),
        expected: Expected::Absent,
        change: Change::Put(Bytes::from(node.to_string())),
        lease: Some(lease),
    };
    match store.compare_and_swap(write).await? {
        WriteResult::Committed(_) => Ok(Some(lease)),
        WriteResult::Conflict(_) => Ok(None),
    }
}
