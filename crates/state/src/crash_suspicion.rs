//! Containment of requests that crash the replicas that run them.
//!
//! When a replica dies, every node publishes the fingerprints of the requests
//! that it had in flight there. All of these requests are suspects; a request
//! that has succeeded since is cleared. Three rules limit a crashing request to
//! two replicas, without a call to any service:
//!
//! - Copies of a request run only on its two homes (see [`crate::routing`]),
//!   whichever node receives them. When both homes are newly dead, the request
//!   waits until the fingerprints in flight there have reached every node.
//! - A request with one death runs in isolation on its other home, which every
//!   node derives from the fingerprint. Of two suspects with the same home, the
//!   one with the higher fingerprint waits and then uses another replica.
//! - A request with more deaths than any other suspect of the same deaths is
//!   rejected from the second death on. Its deaths are then explained, and the
//!   other suspects of these deaths are no longer suspected.
//!
//! The limit of two holds while gossip reaches every node within
//! [`PROPAGATION_TIME`], a dead replica takes longer than that to serve again,
//! and nodes agree on which replicas are usable and which prefix homes are
//! overloaded. A death for another reason while a suspect runs on the replica
//! in isolation cannot be distinguished from a crash that the suspect caused.
//!
//! A node keeps [`CrashSuspicions`] behind an `ArcSwap`. At arrival of a
//! request it calls [`CrashSuspicions::verdict`] and routes the request
//! normally on `NotSuspected`. When a connection shows that a replica died, it
//! calls [`CrashSuspicions::add_death`], then [`CrashSuspicions::add_evidence`]
//! for each of its requests in flight there, and publishes the evidence. It
//! also adds evidence received from other nodes. When a suspected request
//! succeeds, it calls [`CrashSuspicions::record_success`] and publishes the
//! success. It calls [`CrashSuspicions::expire`] on each tick. When a node
//! joins, it publishes [`CrashSuspicions::evidence`] again. Deaths of a whole
//! domain, planned stops and hosts that disappear are not evidence against
//! requests; they are passed only to [`CrashSuspicions::add_death`].

mod isolation;
mod recent_successes;
pub mod shared_parts;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use derive_more::Display;

pub use self::recent_successes::RecentSuccesses;
use crate::{
    id::{Fingerprint, Incarnation, ReplicaId},
    routing::{Group, Health, Slot},
    time::Time,
};

/// Time in which the report of a death reaches every node.
pub const PROPAGATION_TIME: Duration = Duration::from_secs(4);
/// Time for which a suspect that is not rejected is kept.
const RETENTION: Duration = Duration::from_secs(600);
/// Time for which a rejected request is kept.
const REJECTED_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Time after a success in which new evidence against the request is ignored.
const SUCCESS_PROTECTION: Duration = Duration::from_secs(60);
/// Maximum number of suspects kept.
const MAX_SUSPECTS: usize = 16_384;
/// Longest time that one of two equally likely suspects waits for the other.
const TIE_WAIT: Duration = Duration::from_secs(20);
/// Pause before the verdict on a suspect that waits for another is requested
/// again.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of deaths from which a request is rejected.
const DEATHS_TO_REJECT: usize = 2;

/// Death of a replica, identified by the incarnation of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("replica {replica}, incarnation {incarnation}")]
pub struct DeathId {
    /// Replica that died.
    pub replica: ReplicaId,
    /// Incarnation of the first member that died.
    pub incarnation: Incarnation,
}

/// Evidence that a request was in flight on a replica when it died.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Death during which the request was in flight.
    pub death: DeathId,
}

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Verdict {
    /// The request is not suspected and is routed normally.
    #[display("not suspected")]
    NotSuspected,
    /// A death is too recent for all evidence to have arrived; the verdict is
    /// requested again later.
    #[display("waits for evidence of a death")]
    Wait {
        /// Time at which to request the verdict again.
        until: Time,
    },
    /// The request runs on this replica only, without a hedge.
    #[display("runs in isolation after {deaths} deaths")]
    Isolate {
        /// Position of the replica in the list.
        slot: Slot,
        /// Number of deaths with the request in flight.
        deaths: usize,
    },
    /// The request is rejected.
    #[display("rejected after {deaths} deaths")]
    Reject {
        /// Number of deaths with the request in flight.
        deaths: usize,
    },
}

#[derive(Debug, Clone, PartialEq, Default)]
struct Suspect {
    deaths: BTreeSet<DeathId>,
    updated_at: Time,
    cleared_at: Option<Time>,
    is_rejected: bool,
}

impl Suspect {
    fn is_cleared(&self) -> bool {
        self.cleared_at.is_some()
    }
}

/// Suspects and deaths known to one node.
#[derive(Debug, Clone, Default)]
pub struct CrashSuspicions {
    suspects: BTreeMap<Fingerprint, Suspect>,
    deaths: BTreeMap<DeathId, Time>,
    /// Deaths caused by a rejected request, with its fingerprint.
    explained: BTreeMap<DeathId, Fingerprint>,
    newly_dead: BTreeMap<ReplicaId, Time>,
}

impl CrashSuspicions {
    /// Records the death of a replica.
    pub fn add_death(&mut self, replica: ReplicaId, now: Time) {
        let died_at = self.newly_dead.entry(replica).or_insert(now);
        if PROPAGATION_TIME <= now.since(*died_at) {
            *died_at = now;
        }
    }

    /// Records evidence of this node or received from another one. Returns true
    /// if it is new.
    pub fn add_evidence(&mut self, evidence: Evidence, now: Time) -> bool {
        if !self.deaths.contains_key(&evidence.death) {
            self.reject_culprits(now);
            self.add_death(evidence.death.replica, now);
            self.deaths.insert(evidence.death, now);
        }
        if self.explained.get(&evidence.death).is_some_and(|it| *it != evidence.fingerprint) {
            return false;
        }
        if MAX_SUSPECTS <= self.suspects.len() {
            self.drop_oldest();
        }
        let suspect = self.suspects.entry(evidence.fingerprint).or_default();
        let is_protected = suspect.cleared_at.is_some_and(|at| now.since(at) < SUCCESS_PROTECTION);
        if is_protected {
            return false;
        }
        if suspect.is_cleared() {
            *suspect = Suspect::default();
        }
        suspect.updated_at = now;
        suspect.deaths.insert(evidence.death)
    }

    /// Rejects each request that is identified as the cause of its deaths, and
    /// removes these deaths from the other suspects.
    fn reject_culprits(&mut self, now: Time) {
        let is_settled = |it: &Suspect| self.unsettled_until(it, now).is_none();
        let culprits: Vec<Fingerprint> = self
            .suspects
            .iter()
            .filter(|(id, it)| !it.is_rejected && is_settled(it) && self.is_culprit(**id, it))
            .map(|(id, _)| *id)
            .collect();
        for culprit in culprits {
            self.reject(culprit);
        }
    }

    fn reject(&mut self, culprit: Fingerprint) {
        let Some(suspect) = self.suspects.get_mut(&culprit) else { return };
        suspect.is_rejected = true;
        let deaths = suspect.deaths.clone();
        for (id, suspect) in &mut self.suspects {
            if *id != culprit {
                suspect.deaths.retain(|it| !deaths.contains(it));
            }
        }
        self.explained.extend(deaths.into_iter().map(|it| (it, culprit)));
    }

    /// Records that a request succeeded at this or another node. Returns true
    /// if it was suspected.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Time) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            let suspect = Suspect { cleared_at: Some(now), updated_at: now, ..Suspect::default() };
            self.suspects.insert(fingerprint, suspect);
            return false;
        };
        let was_suspected = !suspect.is_cleared();
        suspect.cleared_at = Some(now);
        was_suspected
    }

    /// Whether a request is suspected, so that its success is to be published.
    pub fn is_suspected(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|it| !it.is_cleared())
    }

    /// Time until which the requests of a newly dead replica wait; `None` if
    /// the replica did not die recently.
    pub fn newly_dead(&self, replica: ReplicaId, now: Time) -> Option<Time> {
        let died_at = self.newly_dead.get(&replica)?;
        (now.since(*died_at) < PROPAGATION_TIME).then_some(*died_at + PROPAGATION_TIME)
    }

    /// Decides on a request for `group`. `health` returns whether a replica
    /// accepts requests.
    pub fn verdict(
        &self,
        fingerprint: Fingerprint,
        group: &Group,
        now: Time,
        health: impl FnMut(Slot) -> Health,
    ) -> Verdict {
        let Some(suspect) = self.suspects.get(&fingerprint) else { return Verdict::NotSuspected };
        if suspect.is_cleared() {
            return Verdict::NotSuspected;
        }
        let deaths = suspect.deaths.len();
        if suspect.is_rejected {
            return Verdict::Reject { deaths };
        }
        let unexplained = suspect.deaths.iter().filter(|it| !self.is_explained(**it, fingerprint));
        if unexplained.count() == 0 {
            return Verdict::NotSuspected;
        }
        if let Some(until) = self.unsettled_until(suspect, now) {
            return Verdict::Wait { until };
        }
        if self.is_culprit(fingerprint, suspect) {
            return Verdict::Reject { deaths };
        }
        if self.yields_in_tie(fingerprint, suspect, now) {
            return Verdict::Wait { until: now + RECHECK_INTERVAL };
        }
        isolation::choose(self, fingerprint, group, now, health)
            .map_or_else(|until| Verdict::Wait { until }, |slot| Verdict::Isolate { slot, deaths })
    }

    /// Evidence against rejected requests, for a node that has just joined.
    pub fn evidence(&self) -> Vec<Evidence> {
        let rejected = self.suspects.iter().filter(|(_, it)| it.is_rejected);
        let evidence = rejected.flat_map(|(id, suspect)| {
            suspect.deaths.iter().map(|death| Evidence { fingerprint: *id, death: *death })
        });
        evidence.collect()
    }

    /// Concludes on evidence that has reached all nodes, and drops expired
    /// entries.
    pub fn expire(&mut self, now: Time) {
        self.reject_culprits(now);
        self.newly_dead.retain(|_, died_at| now.since(*died_at) < PROPAGATION_TIME);
        let old: Vec<Fingerprint> = self
            .suspects
            .iter()
            .filter(|(_, it)| retention(it.is_rejected) <= now.since(it.updated_at))
            .map(|(id, _)| *id)
            .collect();
        for id in old {
            self.suspects.remove(&id);
        }
        let suspects = &self.suspects;
        self.deaths.retain(|death, _| suspects.values().any(|it| it.deaths.contains(death)));
        self.explained.retain(|_, culprit| suspects.contains_key(culprit));
    }

    /// Whether the request has enough deaths to be rejected, and more than any
    /// other suspect of the same deaths.
    fn is_culprit(&self, fingerprint: Fingerprint, suspect: &Suspect) -> bool {
        let enough = DEATHS_TO_REJECT <= suspect.deaths.len() && !suspect.is_cleared();
        enough
            && self.suspects.iter().all(|(id, other)| {
                *id == fingerprint
                    || other.is_cleared()
                    || other.deaths.len() < suspect.deaths.len()
                    || other.deaths.is_disjoint(&suspect.deaths)
            })
    }

    /// Whether another suspect of a shared death, with as many deaths and an
    /// earlier last death, runs first. Its success or next death distinguishes
    /// the two.
    fn yields_in_tie(&self, fingerprint: Fingerprint, suspect: &Suspect, now: Time) -> bool {
        let last_at = self.last_death_at(suspect);
        let may_wait = now < last_at + TIE_WAIT && DEATHS_TO_REJECT <= suspect.deaths.len();
        may_wait
            && self.suspects.iter().any(|(id, other)| {
                let is_as_likely =
                    !other.is_cleared() && suspect.deaths.len() <= other.deaths.len();
                let is_earlier = (self.last_death_at(other), *id) < (last_at, fingerprint);
                is_as_likely && is_earlier && !other.deaths.is_disjoint(&suspect.deaths)
            })
    }

    /// Whether another request is identified as the cause of a death.
    fn is_explained(&self, death: DeathId, other_than: Fingerprint) -> bool {
        self.suspects.iter().any(|(id, it)| {
            *id != other_than && it.deaths.contains(&death) && self.is_culprit(*id, it)
        })
    }

    fn unsettled_until(&self, suspect: &Suspect, now: Time) -> Option<Time> {
        let until = self.last_death_at(suspect) + PROPAGATION_TIME;
        (now < until).then_some(until)
    }

    /// Time at which this node learned of the latest death of a suspect.
    fn last_death_at(&self, suspect: &Suspect) -> Time {
        let death_times = suspect.deaths.iter().filter_map(|it| self.deaths.get(it));
        death_times.max().copied().unwrap_or_default()
    }

    fn drop_oldest(&mut self) {
        let oldest = self.suspects.iter().min_by_key(|(_, it)| (it.is_rejected, it.updated_at));
        if let Some(id) = oldest.map(|(id, _)| *id) {
            self.suspects.remove(&id);
        }
    }
}

fn retention(is_rejected: bool) -> Duration {
    if is_rejected { REJECTED_RETENTION } else { RETENTION }
}

#[cfg(test)]
mod tests;
