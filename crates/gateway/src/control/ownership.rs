//! Which node owns a domain: the one whose lease holds the domain's owner key.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use citrongw_protocol::store::{Change, Expected, LeaseId, Store, StoreResult, Write, WriteResult};
use citrongw_state::{id::NodeId, ownership, time::Time};

use super::plan::DomainKey;

/// Time that an owner keeps its domain after its last renewal.
pub(super) const LEASE_TIME: Duration = Duration::from_millis(1_600);
/// Wait of a node that is not the one suggested as owner.
const OTHERS_WAIT: Duration = Duration::from_millis(500);
/// Longest random wait after that, so that seldom two reach for one domain.
const MAX_JITTER_MS: u64 = 500;
/// Wait after a domain was reached for: by then the list of owners tells who
/// has it.
const NEXT_WAIT: Duration = Duration::from_millis(1_500);

/// Domains without an owner, and when this node may reach for each.
#[derive(Debug, Default)]
pub(super) struct UnownedDomains {
    reach_at: BTreeMap<DomainKey, Time>,
}

/// Node that suggests itself as the owner of a domain.
fn suggested(domain: &DomainKey, nodes: &[NodeId]) -> Option<NodeId> {
    ownership::domain_owner(&domain.to_string().into(), nodes)
}

impl UnownedDomains {
    /// Takes in which domains are free and gives those to reach for now.
    pub(super) fn due(
        &mut self,
        free: &BTreeSet<DomainKey>,
        node: NodeId,
        nodes: &[NodeId],
        now: Time,
    ) -> Vec<DomainKey> {
        self.reach_at.retain(|domain, at| free.contains(domain) || now < *at);
        for domain in free {
            self.reach_at.entry(domain.clone()).or_insert_with(|| {
                if suggested(domain, nodes) == Some(node) {
                    return now;
                }
                now + OTHERS_WAIT + Duration::from_millis(rand::random_range(0..MAX_JITTER_MS))
            });
        }
        let mut due = Vec::new();
        for (domain, at) in &mut self.reach_at {
            if *at <= now && free.contains(domain) {
                *at = now + NEXT_WAIT;
                due.push(domain.clone());
            }
        }
        due
    }
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

#[cfg(test)]
mod tests;
