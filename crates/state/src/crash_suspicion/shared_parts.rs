//! Containment of parts of requests that crash the replicas that run them.
//!
//! Requests that share such a part differ otherwise and are never repeated, so no
//! single one of them is seen at two deaths. Each gateway names the signatures of
//! its requests in flight at the death of a server, except those that it saw in a
//! request that succeeded. A request whose signatures were at
//! [`DEATHS_TO_QUARANTINE`] deaths makes those of them with the most deaths a
//! [`Culprit`], and requests with all of these are rejected. A signature that is in
//! a request that succeeds is no longer suspected, so that what remains of a
//! culprit is what its requests share beyond sound ones.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, hash_map::Entry},
    str::FromStr,
    time::Duration,
};

use crate::{
    id::{Fingerprint, ServerIncarnation},
    time::Time,
};

/// Time for which requests with a culprit are rejected.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Number of deaths from which requests are rejected.
pub const DEATHS_TO_QUARANTINE: usize = 3;
/// Number of deaths from which a success clears a signature. Fewer are not worth the
/// messages, since most signatures at a death are sound.
const DEATHS_TO_CLEAR: usize = 2;
/// Time for which a death counts against a signature.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of signatures kept.
const MAX_SUSPECTS: usize = 4_096;

/// Signatures that crash a server if a request has all of them.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Culprit(BTreeSet<Fingerprint>);

impl Culprit {
    /// Digest of the signatures.
    pub fn digest(&self) -> Fingerprint {
        Fingerprint(self.0.iter().fold(0, |digest, it| digest ^ it.0))
    }

    /// Whether a request with these signatures is rejected. Signatures that
    /// succeeded do not count.
    pub fn matches(
        &self,
        signatures: &[Fingerprint],
        has_succeeded: impl Fn(Fingerprint) -> bool,
    ) -> bool {
        let mut suspected = self.0.iter().filter(|it| !has_succeeded(**it)).peekable();
        suspected.peek().is_some() && suspected.all(|it| signatures.contains(it))
    }
}

impl std::fmt::Display for Culprit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let signatures: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&signatures.join("-"))
    }
}

impl FromStr for Culprit {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.split('-').map(str::parse).collect::<Result<_, _>>().map(Self)
    }
}

#[derive(Debug, Clone, Default)]
struct Suspect {
    deaths: BTreeSet<ServerIncarnation>,
    updated_at: Time,
}

/// Suspected signatures and culprits known to one gateway.
#[derive(Debug, Clone, Default)]
pub struct SharedPartSuspicions {
    suspects: HashMap<Fingerprint, Suspect>,
    culprits: BTreeMap<Culprit, Time>,
}

impl SharedPartSuspicions {
    /// Records the signatures of one request that was in flight at a death.
    /// `has_succeeded` returns whether a signature was in a request that succeeded
    /// recently. Returns the culprit if this makes it known.
    pub fn add_death(
        &mut self,
        death: &ServerIncarnation,
        signatures: &[Fingerprint],
        has_succeeded: impl Fn(Fingerprint) -> bool,
        now: Time,
    ) -> Option<Culprit> {
        if self.is_explained(death, signatures) {
            return None;
        }
        for signature in signatures {
            if MAX_SUSPECTS <= self.suspects.len() {
                self.drop_oldest();
            }
            let suspect = match self.suspects.entry(*signature) {
                Entry::Occupied(entry) => entry.into_mut(),
                Entry::Vacant(entry) => entry.insert(Suspect::default()),
            };
            suspect.deaths.insert(death.clone());
            suspect.updated_at = now;
        }
        let suspected = || signatures.iter().filter(|it| !has_succeeded(**it));
        let most_deaths = suspected().map(|it| self.deaths(*it)).max()?;
        if most_deaths < DEATHS_TO_QUARANTINE {
            return None;
        }
        let culprit = suspected().filter(|it| self.deaths(**it) == most_deaths).copied();
        let culprit = Culprit(culprit.collect());
        if self.culprits.insert(culprit.clone(), now).is_some() {
            return None;
        }
        self.clear_explained(&culprit);
        Some(culprit)
    }

    /// Whether a culprit that these signatures lack was in flight at a death.
    fn is_explained(&self, death: &ServerIncarnation, signatures: &[Fingerprint]) -> bool {
        let was_at = |it: &Fingerprint| {
            self.suspects.get(it).is_some_and(|suspect| suspect.deaths.contains(death))
        };
        self.culprits
            .keys()
            .any(|it| it.0.iter().all(was_at) && !it.0.iter().all(|part| signatures.contains(part)))
    }

    /// Removes the deaths of a culprit from the other suspects.
    fn clear_explained(&mut self, culprit: &Culprit) {
        let deaths = culprit.0.first().and_then(|it| self.suspects.get(it));
        let Some(deaths) = deaths.map(|it| it.deaths.clone()) else { return };
        self.suspects.retain(|id, suspect| {
            if !culprit.0.contains(id) {
                suspect.deaths.retain(|it| !deaths.contains(it));
            }
            !suspect.deaths.is_empty()
        });
    }

    /// Records that a request with these signatures succeeded. Returns those that
    /// it cleared.
    pub fn record_success(&mut self, signatures: &[Fingerprint]) -> Vec<Fingerprint> {
        let is_suspected = |it: &Fingerprint| {
            DEATHS_TO_CLEAR <= self.deaths(*it)
                || self.culprits.keys().any(|culprit| culprit.0.contains(it))
        };
        let cleared: Vec<Fingerprint> =
            signatures.iter().filter(|it| is_suspected(it)).copied().collect();
        if cleared.is_empty() {
            return cleared;
        }
        self.suspects.retain(|id, _| !cleared.contains(id));
        let culprits = std::mem::take(&mut self.culprits);
        for (mut culprit, since) in culprits {
            culprit.0.retain(|it| !cleared.contains(it));
            if !culprit.0.is_empty() {
                self.culprits.insert(culprit, since);
            }
        }
        cleared
    }

    /// Culprits whose requests are rejected.
    pub fn culprits(&self) -> impl Iterator<Item = &Culprit> {
        self.culprits.keys()
    }

    /// Adds a culprit that another gateway found, unless it is known.
    pub fn add_culprit(&mut self, culprit: Culprit, now: Time) {
        self.culprits.entry(culprit).or_insert(now);
    }

    /// Time until the quarantine of a culprit ends; none if it is no culprit.
    pub fn quarantine_left(&self, culprit: &Culprit, now: Time) -> Option<Duration> {
        let since = self.culprits.get(culprit)?;
        QUARANTINE_TIME.checked_sub(now.since(*since)).filter(|it| !it.is_zero())
    }

    /// Whether any signature is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.culprits.is_empty()
    }

    /// Drops expired entries.
    pub fn expire(&mut self, now: Time) {
        self.suspects.retain(|_, it| now.since(it.updated_at) < RETENTION);
        self.culprits.retain(|_, since| now.since(*since) < QUARANTINE_TIME);
    }

    fn deaths(&self, signature: Fingerprint) -> usize {
        self.suspects.get(&signature).map_or(0, |it| it.deaths.len())
    }

    fn drop_oldest(&mut self) {
        let oldest =
            self.suspects.iter().min_by_key(|(id, it)| (it.deaths.len(), it.updated_at, **id));
        if let Some(id) = oldest.map(|(id, _)| *id) {
            self.suspects.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
