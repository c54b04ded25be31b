//! Requests suspected of crashing replicas, as this node knows them, and how it
//! tells the others.

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

use super::fleet::Side;
use crate::node::Shared;

/// Suspects of one node.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    current: ArcSwap<CrashSuspicions>,
    change: Mutex<()>,
    completions: RecentSuccesses,
    known_nodes: Mutex<BTreeSet<NodeId>>,
}

/// Nodes that tell a node that joins which requests are refused.
const TELLERS: usize = 3;

impl Suspects {
    /// What is known now.
    pub(super) fn current(&self) -> Arc<CrashSuspicions> {
        self.current.load_full()
    }

    /// Whether a request is suspected.
    pub(super) fn is_suspected(&self, fingerprint: Fingerprint) -> bool {
        self.current.load().is_suspected(fingerprint)
    }

    /// Takes in what another node told.
    pub(super) fn hear(&self, told: &CrashEvidence, now: Time) {
        let death = DeathId { replica: told.replica, incarnation: told.incarnation };
        let evidence = Evidence { fingerprint: told.fingerprint, death };
        if !self.completions.is_recent(told.fingerprint, now) {
            self.change(|it| {
                it.add_evidence(evidence, now);
            });
        }
    }

    /// Takes in that a request succeeded somewhere.
    pub(super) fn hear_cleared(&self, cleared: &SuspicionCleared, now: Time) {
        self.change(|it| {
            it.record_success(cleared.fingerprint, now);
        });
    }

    /// Drops what is too old to matter.
    pub(super) fn forget(&self, now: Time) {
        self.change(|it| it.expire(now));
    }

    fn change(&self, change: impl FnOnce(&mut CrashSuspicions)) {
        let _guard = self.change.lock().unwrap_or_else(PoisonError::into_inner);
        let mut next = CrashSuspicions::clone(&self.current.load());
        change(&mut next);
        self.current.store(Arc::new(next));
    }
}

/// Tells nodes that have joined which requests are refused, if this node is one
/// of those that do. Recent news reach them anyway; a refusal outlasts those.
pub(super) fn tell_joined(shared: &Shared) {
    let alive: BTreeSet<NodeId> = shared.nodes.alive().iter().map(|it| it.id).collect();
    let suspects = &shared.callers.suspects;
    let known = {
        let mut known = suspects.known_nodes.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *known, alive.clone())
    };
    if !must_tell(&known, &alive, shared.node) {
        return;
    }
    for Evidence { fingerprint, death } in suspects.current.load().evidence() {
        let DeathId { replica, incarnation } = death;
        let told = CrashEvidence { fingerprint, replica, incarnation, others_in_flight: 0 };
        shared.news.publish(GossipItem::Suspicion(told));
    }
}

/// Whether a node has joined and `this` is among the first of those that were
/// there before.
fn must_tell(known: &BTreeSet<NodeId>, alive: &BTreeSet<NodeId>, this: NodeId) -> bool {
    let has_joined = !alive.is_subset(known);
    has_joined && known.intersection(alive).take(TELLERS).any(|it| *it == this)
}

/// Takes in that a request succeeded on this node.
pub(super) fn add_success(shared: &Shared, fingerprint: Fingerprint) {
    let (suspects, now) = (&shared.callers.suspects, shared.clock.now());
    suspects.completions.add(fingerprint, now);
    if suspects.current.load().is_suspected(fingerprint) {
        let cleared = SuspicionCleared { fingerprint };
        suspects.hear_cleared(&cleared, now);
        shared.news.publish(GossipItem::Cleared(cleared));
    }
}

/// Takes in that a replica died with `own`, and what else is on it, in flight.
pub(super) fn add_death(shared: &Shared, side: &Side, own: Option<Fingerprint>) {
    let (suspects, now) = (&shared.callers.suspects, shared.clock.now());
    let is_first = !side.is_dead.swap(true, Ordering::Relaxed);
    let mut blamed: Vec<Fingerprint> = own.into_iter().collect();
    if is_first {
        suspects.change(|it| it.add_death(side.entry.spec.id, now));
        blamed.extend(side.fingerprints());
        blamed.sort_unstable();
        blamed.dedup();
    }
    let Some(first_member) = side.entry.spec.members.first() else { return };
    let beside = u32::try_from(blamed.len().saturating_sub(1)).unwrap_or(u32::MAX);
    for fingerprint in blamed {
        if suspects.completions.is_recent(fingerprint, now) {
            continue;
        }
        let told = CrashEvidence {
            fingerprint,
            replica: side.entry.spec.id,
            incarnation: first_member.incarnation,
            others_in_flight: beside,
        };
        suspects.hear(&told, now);
        shared.news.publish(GossipItem::Suspicion(told));
    }
}

#[cfg(test)]
mod tests;
