//! Requests that crash the replicas that run them.
//!
//! Every node publishes, when a replica dies, the fingerprints of the requests
//! that it had in flight there. All of them share the blame; a request that
//! has since succeeded is cleared. Three rules keep a crashing request to two
//! replicas, without a call to any service:
//!
//! - Copies of a request run only on its two homes (see [`crate::routing`]),
//!   whichever node they arrive at. While a home is newly dead, its requests
//!   wait until news of what was in flight there has reached every node.
//! - A request with one death runs in isolation: on one replica that every
//!   node derives from the fingerprint, and that no other suspect shares.
//! - A request with more deaths than any other suspect of each of them is
//!   refused from the second death on. Its deaths are explained, and the other
//!   suspects of them are free again.
//!
//! The bound of two holds while news reaches every node within [`SETTLE`], a
//! dead replica takes longer than that to serve again, and nodes agree on
//! which replicas are usable.
//!
//! How a node drives it: keep [`Suspicions`] behind an `ArcSwap`. At arrival
//! ask [`Suspicions::verdict`]; `Free` goes on to routing. When a connection to
//! a replica shows that it died, [`Suspicions::add_death`], and
//! [`Suspicions::add`] and publish evidence for each of its requests in
//! flight; on news [`Suspicions::add`]. When a suspected request succeeds,
//! [`Suspicions::clear`] and publish that. On tick [`Suspicions::forget`].
//! When a node joins, publish [`Suspicions::evidence`] again. Deaths of a whole
//! domain, planned stops and hosts that vanish are no evidence: pass them to
//! [`Suspicions::add_death`] alone.

mod completions;
mod isolation;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use derive_more::Display;

pub use self::completions::Completions;
use crate::{
    id::{Fingerprint, Incarnation, ReplicaId},
    routing::{Group, Health, Slot},
    time::Time,
};

/// Time in which news of a death reaches every node.
pub const SETTLE: Duration = Duration::from_secs(4);
/// Time for which a suspect with one death is remembered.
const KEEP: Duration = Duration::from_secs(600);
/// Time for which a refused request is remembered.
const KEEP_REFUSED: Duration = Duration::from_secs(24 * 3600);
/// Time for which a success protects a request from new blame.
const CLEARED: Duration = Duration::from_secs(60);
/// Suspects remembered, at most.
const MAX_SUSPECTS: usize = 16_384;
/// Replicas newly dead at once from which a death is no reason to wait: one
/// request can't have killed them all.
const MASS_DEATHS: usize = 8;
/// Deaths from which a request is refused.
const DEATHS_TO_REFUSE: usize = 2;

/// Death of one start of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("replica {replica}, start {incarnation}")]
pub struct DeathId {
    /// The replica.
    pub replica: ReplicaId,
    /// Start of its first member that died.
    pub incarnation: Incarnation,
}

/// A request was in flight on a replica when it died.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The death.
    pub death: DeathId,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Verdict {
    /// Route it as any other.
    #[display("not suspected")]
    Free,
    /// Ask again later: a death is too new to know what was in flight.
    #[display("waits for news of a death")]
    Wait {
        /// When to ask again.
        until: Time,
    },
    /// Run it on this replica only, without a hedge.
    #[display("runs in isolation after {deaths} deaths")]
    Isolate {
        /// The replica's place in the list.
        slot: Slot,
        /// Deaths with it in flight.
        deaths: usize,
    },
    /// Refuse it.
    #[display("refused after {deaths} deaths")]
    Refuse {
        /// Deaths with it in flight.
        deaths: usize,
    },
}

#[derive(Debug, Clone, PartialEq, Default)]
struct Suspect {
    deaths: BTreeSet<DeathId>,
    heard_at: Time,
    cleared_at: Option<Time>,
}

impl Suspect {
    fn is_cleared(&self) -> bool {
        self.cleared_at.is_some()
    }
}

/// What one node knows of suspects and deaths.
#[derive(Debug, Clone, Default)]
pub struct Suspicions {
    suspects: BTreeMap<Fingerprint, Suspect>,
    deaths: BTreeMap<DeathId, Time>,
    newly_dead: BTreeMap<ReplicaId, Time>,
}

impl Suspicions {
    /// Takes in that a replica died.
    pub fn add_death(&mut self, replica: ReplicaId, now: Time) {
        self.newly_dead.entry(replica).or_insert(now);
    }

    /// Takes in evidence, this node's own or told by another. True if it is
    /// new.
    pub fn add(&mut self, evidence: Evidence, now: Time) -> bool {
        self.add_death(evidence.death.replica, now);
        self.deaths.entry(evidence.death).or_insert(now);
        if MAX_SUSPECTS <= self.suspects.len() {
            self.drop_oldest();
        }
        let suspect = self.suspects.entry(evidence.fingerprint).or_default();
        let is_protected = suspect.cleared_at.is_some_and(|at| now.since(at) < CLEARED);
        if is_protected {
            return false;
        }
        if suspect.is_cleared() {
            *suspect = Suspect::default();
        }
        suspect.heard_at = now;
        suspect.deaths.insert(evidence.death)
    }

    /// Takes in that a request succeeded, here or at another node. True if it
    /// was suspected.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Time) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            let suspect = Suspect { cleared_at: Some(now), heard_at: now, ..Suspect::default() };
            self.suspects.insert(fingerprint, suspect);
            return false;
        };
        let was_suspected = !suspect.is_cleared();
        suspect.cleared_at = Some(now);
        was_suspected
    }

    /// Whether a request is suspected, so that its success is worth telling.
    pub fn is_suspected(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|it| !it.is_cleared())
    }

    /// Until when the requests of a newly dead replica wait.
    pub fn newly_dead(&self, replica: ReplicaId, now: Time) -> Option<Time> {
        let is_new = |died_at: &Time| now.since(*died_at) < SETTLE;
        let died_at = self.newly_dead.get(&replica).filter(|it| is_new(it))?;
        let together = self.newly_dead.values().filter(|it| is_new(it)).count();
        (together < MASS_DEATHS).then_some(*died_at + SETTLE)
    }

    /// Decides on a request that goes to `group`. `health` tells whether a
    /// replica takes requests.
    pub fn verdict(
        &self,
        fingerprint: Fingerprint,
        group: &Group,
        now: Time,
        health: impl FnMut(Slot) -> Health,
    ) -> Verdict {
        let Some(suspect) = self.suspects.get(&fingerprint) else { return Verdict::Free };
        if suspect.is_cleared() {
            return Verdict::Free;
        }
        let unexplained = suspect.deaths.iter().filter(|it| !self.is_explained(**it, fingerprint));
        let deaths = unexplained.count();
        if deaths == 0 {
            return Verdict::Free;
        }
        if let Some(until) = self.unsettled_until(suspect, now) {
            return Verdict::Wait { until };
        }
        if self.is_culprit(fingerprint, suspect) {
            return Verdict::Refuse { deaths };
        }
        isolation::choose(self, fingerprint, group, now, health)
            .map_or_else(|until| Verdict::Wait { until }, |slot| Verdict::Isolate { slot, deaths })
    }

    /// Evidence against refused requests, for a node that has just joined.
    pub fn evidence(&self) -> Vec<Evidence> {
        let refused = self.suspects.iter().filter(|(id, it)| self.is_culprit(**id, it));
        let evidence = refused.flat_map(|(id, suspect)| {
            suspect.deaths.iter().map(|death| Evidence { fingerprint: *id, death: *death })
        });
        evidence.collect()
    }

    /// Drops what is too old to matter.
    pub fn forget(&mut self, now: Time) {
        self.newly_dead.retain(|_, died_at| now.since(*died_at) < SETTLE);
        let old: Vec<Fingerprint> = self
            .suspects
            .iter()
            .filter(|(id, it)| keep_time(self.is_culprit(**id, it)) <= now.since(it.heard_at))
            .map(|(id, _)| *id)
            .collect();
        for id in old {
            self.suspects.remove(&id);
        }
        let suspects = &self.suspects;
        self.deaths.retain(|death, _| suspects.values().any(|it| it.deaths.contains(death)));
    }

    /// Whether the request has more deaths than any other suspect of each of
    /// them, and enough.
    fn is_culprit(&self, fingerprint: Fingerprint, suspect: &Suspect) -> bool {
        let enough = DEATHS_TO_REFUSE <= suspect.deaths.len() && !suspect.is_cleared();
        enough
            && self.suspects.iter().all(|(id, other)| {
                *id == fingerprint
                    || other.is_cleared()
                    || other.deaths.len() < suspect.deaths.len()
                    || other.deaths.is_disjoint(&suspect.deaths)
            })
    }

    /// Whether another request is to blame for a death.
    fn is_explained(&self, death: DeathId, beside: Fingerprint) -> bool {
        self.suspects
            .iter()
            .any(|(id, it)| *id != beside && it.deaths.contains(&death) && self.is_culprit(*id, it))
    }

    fn unsettled_until(&self, suspect: &Suspect, now: Time) -> Option<Time> {
        let settled = suspect.deaths.iter().filter_map(|it| self.deaths.get(it));
        let until = settled.map(|heard_at| *heard_at + SETTLE).max()?;
        (now < until).then_some(until)
    }

    fn drop_oldest(&mut self) {
        let refused = |id: &Fingerprint, it: &Suspect| self.is_culprit(*id, it);
        let oldest = self.suspects.iter().min_by_key(|(id, it)| (refused(id, it), it.heard_at));
        if let Some(id) = oldest.map(|(id, _)| *id) {
            self.suspects.remove(&id);
        }
    }
}

fn keep_time(is_refused: bool) -> Duration {
    if is_refused { KEEP_REFUSED } else { KEEP }
}

#[cfg(test)]
mod tests;
