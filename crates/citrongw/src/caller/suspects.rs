//! Requests suspected of crashing replicas, as known to this node, and their
//! publication to other nodes.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, PoisonError, atomic::Ordering},
};

use arc_swap::ArcSwap;
use citrongw_protocol::gossip_item::{CrashEvidence, GossipItem, SuspicionCleared};
use citrongw_state::{
    crash_suspicion::{CrashSuspicions, DeathId, Evidence, RecentSuccesses},
    id::{Fingerprint, NodeId},
    time::Time,
};

use super::fleet::TrackedReplica;
use crate::node::Shared;

/// Suspected requests known to one node.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    current: ArcSwap<CrashSuspicions>,
    write_lock: Mutex<()>,
    successes: RecentSuccesses,
    known_nodes: Mutex<BTreeSet<NodeId>>,
}

/// Number of nodes that publish the refused requests to a node that joins.
const MAX_PUBLISHERS: usize = 3;

impl Suspects {
    /// Returns the current suspicions.
    pub(super) fn current(&self) -> Arc<CrashSuspicions> {
        self.current.load_full()
    }

    /// Whether a request is suspected.
    pub(super) fn is_suspected(&self, fingerprint: Fingerprint) -> bool {
        self.current.load().is_suspected(fingerprint)
    }

    /// Applies evidence, unless the request succeeded recently on this node.
    pub(super) fn add_evidence(&self, report: &CrashEvidence, now: Time) {
        let death = DeathId { replica: report.replica, incarnation: report.incarnation };
        let evidence = Evidence { fingerprint: report.fingerprint, death };
        if !self.successes.is_recent(report.fingerprint, now) {
            self.change(|it| {
                it.add_evidence(evidence, now);
            });
        }
    }

    /// Applies the success of a request on any node.
    pub(super) fn apply_cleared(&self, cleared: &SuspicionCleared, now: Time) {
        self.change(|it| {
            it.record_success(cleared.fingerprint, now);
        });
    }

    /// Drops expired entries.
    pub(super) fn expire(&self, now: Time) {
        self.change(|it| it.expire(now));
    }

    fn change(&self, change: impl FnOnce(&mut CrashSuspicions)) {
        let _guard = self.write_lock.lock().unwrap_or_else(PoisonError::into_inner);
        let mut next = CrashSuspicions::clone(&self.current.load());
        change(&mut next);
        self.current.store(Arc::new(next));
    }
}

/// Publishes the refused requests to nodes that have joined, if this node is one of
/// the publishers. Gossip carries recent items to them anyway, but a refusal lasts
/// longer than its gossip item.
pub(super) fn publish_to_joined(shared: &Shared) {
    let alive: BTreeSet<NodeId> = shared.nodes.alive().iter().map(|it| it.id).collect();
    let suspects = &shared.callers.suspects;
    let known = {
        let mut known = suspects.known_nodes.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *known, alive.clone())
    };
    if !should_publish(&known, &alive, shared.node) {
        return;
    }
    for Evidence { fingerprint, death } in suspects.current.load().evidence() {
        let DeathId { replica, incarnation } = death;
        let report = CrashEvidence { fingerprint, replica, incarnation, others_in_flight: 0 };
        shared.gossip.publish(GossipItem::Suspicion(report));
    }
}

/// Whether a node has joined and `this` is among the first of the nodes that were
/// known before.
fn should_publish(known: &BTreeSet<NodeId>, alive: &BTreeSet<NodeId>, this: NodeId) -> bool {
    let has_joined = !alive.is_subset(known);
    has_joined && known.intersection(alive).take(MAX_PUBLISHERS).any(|it| *it == this)
}

/// Records that a request succeeded on this node.
pub(super) fn add_success(shared: &Shared, fingerprint: Fingerprint) {
    let (suspects, now) = (&shared.callers.suspects, shared.clock.now());
    suspects.successes.add(fingerprint, now);
    if suspects.current.load().is_suspected(fingerprint) {
        let cleared = SuspicionCleared { fingerprint };
        suspects.apply_cleared(&cleared, now);
        shared.gossip.publish(GossipItem::Cleared(cleared));
    }
}

/// Records that a replica died with `own` and the node's other requests on it in
/// flight.
pub(super) fn add_death(shared: &Shared, replica: &TrackedReplica, own: Option<Fingerprint>) {
    let (suspects, now) = (&shared.callers.suspects, shared.clock.now());
    let is_first = !replica.death_recorded.swap(true, Ordering::Relaxed);
    let mut suspected: Vec<Fingerprint> = own.into_iter().collect();
    if is_first {
        suspects.change(|it| it.add_death(replica.entry.spec.id, now));
        suspected.extend(replica.fingerprints());
        suspected.sort_unstable();
        suspected.dedup();
    }
    let Some(first_member) = replica.entry.spec.members.first() else { return };
    let others_in_flight = u32::try_from(suspected.len().saturating_sub(1)).unwrap_or(u32::MAX);
    for fingerprint in suspected {
        if suspects.successes.is_recent(fingerprint, now) {
            continue;
        }
        let report = CrashEvidence {
            fingerprint,
            replica: replica.entry.spec.id,
            incarnation: first_member.incarnation,
            others_in_flight,
        };
        suspects.add_evidence(&report, now);
        shared.gossip.publish(GossipItem::Suspicion(report));
    }
}

#[cfg(test)]
mod tests;
