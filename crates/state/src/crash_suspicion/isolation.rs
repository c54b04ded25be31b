//! Choice of the replica on which a suspect runs without other suspects.
//!
//! In the order of their fingerprints, the suspects take the first of their
//! homes that is alive and not taken. Nodes that do not know of the suspicion
//! yet may already run copies of the request on that home. If the home is
//! taken, the suspect first waits until a death there would be known. A node
//! that lacks an item of evidence disagrees with others only about suspects
//! that share homes.

use std::{collections::BTreeSet, time::Duration};

use super::{CrashSuspicions, PROPAGATION_TIME, Suspect};
use crate::{
    hash::mix_wide,
    id::Fingerprint,
    routing::{Group, Health, PrefixHash, Slot},
    time::Time,
};

/// Time after its last death in which a suspect reserves a replica.
const RESERVATION: Duration = Duration::from_secs(30);

/// Number of ring points tried after the homes of a suspect.
const FURTHER_CHOICES: usize = 32;

/// Chooses the replica of `fingerprint`, or returns the time at which to try
/// again.
pub(super) fn choose(
    suspicions: &CrashSuspicions,
    fingerprint: Fingerprint,
    group: &Group,
    now: Time,
    mut health: impl FnMut(Slot) -> Health,
) -> Result<Slot, Time> {
    let mut taken = BTreeSet::new();
    for (id, suspect) in suspicions.suspects.range(..fingerprint) {
        let is_over =
            suspect.is_rejected || RESERVATION < now.since(suspicions.last_death_at(suspect));
        if is_over {
            continue;
        }
        let mut choices = choices(*id, suspect, group, &mut health).into_iter();
        taken.extend(choices.find(|it| !taken.contains(it)));
    }
    let Some(suspect) = suspicions.suspects.get(&fingerprint) else {
        return Err(now + PROPAGATION_TIME);
    };
    let choices = choices(fingerprint, suspect, group, &mut health);
    let Some(slot) = choices.iter().copied().find(|it| !taken.contains(it)) else {
        return Err(now + PROPAGATION_TIME);
    };
    let other_home_settled_at =
        suspicions.last_death_at(suspect) + PROPAGATION_TIME + PROPAGATION_TIME;
    if choices.first() != Some(&slot) && now < other_home_settled_at {
        return Err(other_home_settled_at);
    }
    match health(slot) {
        Health::NewlyDead { settled_at } => Err(settled_at.max(now)),
        Health::Usable | Health::Ejected | Health::Unusable => Ok(slot),
    }
}

/// Candidates of a suspect in order: its homes and further replicas, without
/// unusable ones and those that died while the request was in flight.
fn choices(
    fingerprint: Fingerprint,
    suspect: &Suspect,
    group: &Group,
    health: &mut impl FnMut(Slot) -> Health,
) -> Vec<Slot> {
    if suspect.deaths.is_empty() {
        return Vec::new();
    }
    let homes = group.homes(PrefixHash::of_fingerprint(fingerprint), fingerprint);
    let has_died_on = |slot| {
        let replica = group.replica(slot);
        suspect.deaths.iter().any(|it| Some(it.replica) == replica)
    };
    let further = group.successors(mix_wide(fingerprint.0)).take(FURTHER_CHOICES);
    let all = homes.slots().iter().copied().chain(further);
    let alive = all.filter(|slot| !has_died_on(*slot));
    alive.filter(|slot| health(*slot) != Health::Unusable).collect()
}
