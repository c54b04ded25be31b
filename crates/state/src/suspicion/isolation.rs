//! The replica on which a suspect runs, with no other suspect beside it.
//!
//! Each suspect has a sequence of replicas that follows from its fingerprint.
//! In the order of their fingerprints the suspects take the first replica of
//! their sequence that is not taken. A node that lacks one piece of news
//! disagrees only about the suspects whose sequences meet.

use std::{collections::BTreeSet, time::Duration};

use super::{SETTLE, Suspicions};
use crate::{
    hash::{mix_pair, mix_wide},
    id::Fingerprint,
    routing::{Group, Health, Slot},
    time::Time,
};

/// Replicas in a suspect's sequence.
const CHOICES: u64 = 16;
/// Time that a suspect without a replica of its own waits for the others.
const TURN: Duration = Duration::from_secs(4);
/// Keeps the sequences apart from the homes of requests.
const SEED: u64 = 0x6973_6f6c_6174_6531;

/// Chooses the replica of `fingerprint`, or tells when to ask again.
pub(super) fn choose(
    suspicions: &Suspicions,
    fingerprint: Fingerprint,
    group: &Group,
    now: Time,
    mut health: impl FnMut(Slot) -> Health,
) -> Result<Slot, Time> {
    let mut taken = BTreeSet::new();
    for (id, suspect) in suspicions.suspects.range(..=fingerprint) {
        if suspect.deaths.is_empty() {
            continue;
        }
        let died_on: Vec<_> = suspect.deaths.iter().map(|it| it.replica).collect();
        let dead = |slot| group.replica(slot).is_none_or(|it| died_on.contains(&it));
        let choice = sequence(*id, group)
            .filter(|slot| !dead(*slot) && health(*slot) != Health::Unusable)
            .find(|slot| !taken.contains(slot));
        let Some(slot) = choice else { continue };
        if *id == fingerprint {
            return match health(slot) {
                Health::NewlyDead { settled_at } => Err(settled_at.max(now)),
                Health::Usable | Health::Ejected | Health::Unusable => Ok(slot),
            };
        }
        taken.insert(slot);
    }
    Err(now + TURN.min(SETTLE))
}

fn sequence(fingerprint: Fingerprint, group: &Group) -> impl Iterator<Item = Slot> + '_ {
    let seed = mix_pair(SEED, mix_wide(fingerprint.0));
    (0..CHOICES).filter_map(move |draw| group.successors(mix_pair(seed, draw)).next())
}
