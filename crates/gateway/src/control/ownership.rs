//! Ownership of domains: the owner is the node whose lease the domain's owner key
//! is attached to.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use citrongw_protocol::store::{LeaseId, Store, StoreResult};
use citrongw_state::{id::NodeId, ownership, time::Time};

use super::plan::DomainKey;
use crate::leased_key;

/// Time to live of an owner's lease after its last renewal.
pub(super) const LEASE_TIME: Duration = Duration::from_millis(1_600);
/// Delay before a node other than the preferred owner tries to acquire a domain.
const NON_PREFERRED_DELAY: Duration = Duration::from_millis(500);
/// Largest random delay that is added, so that two nodes seldom try to acquire
/// one domain at the same time.
const MAX_JITTER_MS: u64 = 500;
/// Delay between attempts to acquire a domain. By then the list of owners shows
/// who owns it.
const RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Domains without an owner, and when this node may try to acquire each.
#[derive(Debug, Default)]
pub(super) struct UnownedDomains {
    acquire_at: BTreeMap<DomainKey, Time>,
}

/// Preferred owner of a domain, the same on all nodes with the same list of
/// nodes.
fn preferred_owner(domain: &DomainKey, nodes: &[NodeId]) -> Option<NodeId> {
    ownership::domain_owner(&domain.to_string().into(), nodes)
}

impl UnownedDomains {
    /// Updates the domains without an owner and returns those that are due for an
    /// attempt. The former owner of a domain does not wait: it knows the last plan.
    pub(super) fn due(
        &mut self,
        unowned: &BTreeSet<DomainKey>,
        node: NodeId,
        nodes: &[NodeId],
        is_former_owner: impl Fn(&DomainKey) -> bool,
        now: Time,
    ) -> Vec<DomainKey> {
        self.acquire_at.retain(|domain, at| unowned.contains(domain) || now < *at);
        for domain in unowned {
            self.acquire_at.entry(domain.clone()).or_insert_with(|| {
                if is_former_owner(domain) || preferred_owner(domain, nodes) == Some(node) {
                    return now;
                }
                now + NON_PREFERRED_DELAY
                    + Duration::from_millis(rand::random_range(0..MAX_JITTER_MS))
            });
        }
        let mut due = Vec::new();
        for (domain, at) in &mut self.acquire_at {
            if *at <= now && unowned.contains(domain) {
                *at = now + RETRY_DELAY;
                due.push(domain.clone());
            }
        }
        due
    }
}

/// Acquires a domain. None if another node owns it.
pub(super) async fn acquire(
    store: &dyn Store,
    domain: &DomainKey,
    node: NodeId,
) -> StoreResult<Option<LeaseId>> {
    leased_key::claim(store, domain.owner_key(), node.to_string(), LEASE_TIME).await
}

#[cfg(test)]
mod tests;
