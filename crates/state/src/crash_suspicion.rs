//! Requests that crash the replicas that run them.
//!
//! Every node publishes, when a replica dies, the fingerprints of the requests
//! that it had in flight there. All of them share the blame; a request that
//! has since succeeded is cleared. Three rules keep a crashing request to two
//! replicas, without a call to any service:
//!
//! - Copies of a request run only on its two homes (see [`crate::routing`]),
//!   whichever node they arrive at. When both are newly dead the request waits
//!   until news of what was in flight there has reached every node.
//! - A request with one death runs in isolation: on its other home, that every
//!   node derives from the fingerprint. Of two suspects with the same one the
//!   later in order waits, and then takes another replica.
//! - A request with more deaths than any other suspect of each of them is
//!   refused from the second death on. Its deaths are explained, and the other
//!   suspects of them are free again.
//!
//! The bound of two holds while news reaches every node within [`SETTLE`], a
//! dead replica takes longer than that to serve again, and nodes agree on
//! which replicas are usable and which prefix homes are overloaded. A replica
//! that dies for another reason while a suspect runs there in isolation is not
//! told apart from one that it killed.
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

pub use self::completions::RecentSuccesses;
use crate::{
    id::{Fingerprint, Incarnation, ReplicaId},
    routing::{Group, Health, Slot},
    time::Time,
};

/// Time in which news of a death reaches every node.
pub const PROPAGATION_TIME: Duration = Duration::from_secs(4);
/// Time for which a suspect with one death is remembered.
const KEEP: Duration = Duration::from_secs(600);
/// Time for which a refused request is remembered.
const KEEP_REFUSED: Duration = Duration::from_secs(24 * 3600);
/// Time for which a success protects a request from new blame.
const CLEARED: Duration = Duration::from_secs(60);
/// Suspects remembered, at most.
const MAX_SUSPECTS: usize = 16_384;
/// Longest time that one of two suspects that fit alike waits for the other.
const TIE_WAIT: Duration = Duration::from_secs(20);
/// Pause before such a suspect asks again.
const RECHECK: Duration = Duration::from_secs(1);
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
    NotSuspected,
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
    is_refused: bool,
}

impl Suspect {
    fn is_cleared(&self) -> bool {
        self.cleared_at.is_some()
    }
}

/// What one node knows of suspects and deaths.
#[derive(Debug, Clone, Default)]
pub struct CrashSuspicions {
    suspects: BTreeMap<Fingerprint, Suspect>,
    deaths: BTreeMap<DeathId, Time>,
    /// Deaths that a refused request explains.
    explained: BTreeMap<DeathId, Fingerprint>,
    newly_dead: BTreeMap<ReplicaId, Time>,
}

impl CrashSuspicions {
    /// Takes in that a replica died.
    pub fn add_death(&mut self, replica: ReplicaId, now: Time) {
        let died_at = self.newly_dead.entry(replica).or_insert(now);
        if PROPAGATION_TIME <= now.since(*died_at) {
            *died_at = now;
        }
    }

    /// Takes in evidence, this node's own or told by another. True if it is
    /// new.
    pub fn add_evidence(&mut self, evidence: Evidence, now: Time) -> bool {
        if !self.deaths.contains_key(&evidence.death) {
            self.conclude(now);
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

    /// Refuses each request whose guilt is settled, and frees the others that
    /// were in flight at its deaths.
    fn conclude(&mut self, now: Time) {
        let is_settled = |it: &Suspect| self.unsettled_until(it, now).is_none();
        let culprits: Vec<Fingerprint> = self
            .suspects
            .iter()
            .filter(|(id, it)| !it.is_refused && is_settled(it) && self.is_culprit(**id, it))
            .map(|(id, _)| *id)
            .collect();
        for culprit in culprits {
            self.refuse(culprit);
        }
    }

    fn refuse(&mut self, culprit: Fingerprint) {
        let Some(suspect) = self.suspects.get_mut(&culprit) else { return };
        suspect.is_refused = true;
        let deaths = suspect.deaths.clone();
        for (id, suspect) in &mut self.suspects {
            if *id != culprit {
                suspect.deaths.retain(|it| !deaths.contains(it));
            }
        }
        self.explained.extend(deaths.into_iter().map(|it| (it, culprit)));
    }

    /// Takes in that a request succeeded, here or at another node. True if it
    /// was suspected.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Time) -> bool {
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
        let died_at = self.newly_dead.get(&replica)?;
        (now.since(*died_at) < PROPAGATION_TIME).then_some(*died_at + PROPAGATION_TIME)
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
        let Some(suspect) = self.suspects.get(&fingerprint) else { return Verdict::NotSuspected };
        if suspect.is_cleared() {
            return Verdict::NotSuspected;
        }
        let deaths = suspect.deaths.len();
        if suspect.is_refused {
            return Verdict::Refuse { deaths };
        }
        let unexplained = suspect.deaths.iter().filter(|it| !self.is_explained(**it, fingerprint));
        if unexplained.count() == 0 {
            return Verdict::NotSuspected;
        }
        if let Some(until) = self.unsettled_until(suspect, now) {
            return Verdict::Wait { until };
        }
        if self.is_culprit(fingerprint, suspect) {
            return Verdict::Refuse { deaths };
        }
        if self.gives_way(fingerprint, suspect, now) {
            return Verdict::Wait { until: now + RECHECK };
        }
        isolation::choose(self, fingerprint, group, now, health)
            .map_or_else(|until| Verdict::Wait { until }, |slot| Verdict::Isolate { slot, deaths })
    }

    /// Evidence against refused requests, for a node that has just joined.
    pub fn evidence(&self) -> Vec<Evidence> {
        let refused = self.suspects.iter().filter(|(_, it)| it.is_refused);
        let evidence = refused.flat_map(|(id, suspect)| {
            suspect.deaths.iter().map(|death| Evidence { fingerprint: *id, death: *death })
        });
        evidence.collect()
    }

    /// Draws conclusions from what has settled, and drops what is too old to
    /// matter.
    pub fn expire(&mut self, now: Time) {
        self.conclude(now);
        self.newly_dead.retain(|_, died_at| now.since(*died_at) < PROPAGATION_TIME);
        let old: Vec<Fingerprint> = self
            .suspects
            .iter()
            .filter(|(_, it)| keep_time(it.is_refused) <= now.since(it.heard_at))
            .map(|(id, _)| *id)
            .collect();
        for id in old {
            self.suspects.remove(&id);
        }
        let suspects = &self.suspects;
        self.deaths.retain(|death, _| suspects.values().any(|it| it.deaths.contains(death)));
        self.explained.retain(|_, culprit| suspects.contains_key(culprit));
    }

    /// Whether the request has enough deaths, and more than any other suspect
    /// of each of them.
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

    /// Whether a suspect that fits as well, and was blamed last the earlier,
    /// runs first: its success or its next death tells the two apart.
    fn gives_way(&self, fingerprint: Fingerprint, suspect: &Suspect, now: Time) -> bool {
        let last_at = self.last_death_at(suspect);
        let may_wait = now < last_at + TIE_WAIT && DEATHS_TO_REFUSE <= suspect.deaths.len();
        may_wait
            && self.suspects.iter().any(|(id, other)| {
                let fits = !other.is_cleared() && suspect.deaths.len() <= other.deaths.len();
                let is_earlier = (self.last_death_at(other), *id) < (last_at, fingerprint);
                fits && is_earlier && !other.deaths.is_disjoint(&suspect.deaths)
            })
    }

    /// Whether another request is to blame for a death.
    fn is_explained(&self, death: DeathId, beside: Fingerprint) -> bool {
        self.suspects
            .iter()
            .any(|(id, it)| *id != beside && it.deaths.contains(&death) && self.is_culprit(*id, it))
    }

    fn unsettled_until(&self, suspect: &Suspect, now: Time) -> Option<Time> {
        let until = self.last_death_at(suspect) + PROPAGATION_TIME;
        (now < until).then_some(until)
    }

    /// When this node heard of the latest death of a suspect.
    fn last_death_at(&self, suspect: &Suspect) -> Time {
        let heard = suspect.deaths.iter().filter_map(|it| self.deaths.get(it));
        heard.max().copied().unwrap_or_default()
    }

    fn drop_oldest(&mut self) {
        let oldest = self.suspects.iter().min_by_key(|(_, it)| (it.is_refused, it.heard_at));
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
