//! Requests that succeeded lately, kept without a lock.
//!
//! A fixed table of words: each holds a part of a fingerprint and the second of
//! its last success, and a newer one takes its place. A request that is in it
//! can't be one that crashes every replica.

use std::sync::atomic::{AtomicU64, Ordering};

use super::CLEARED;
use crate::{hash::mix_wide, id::Fingerprint, time::Time};

/// Words of the table.
const WORDS: usize = 8192;
/// Bits of a word that hold the second.
const SECOND_BITS: u32 = 24;

/// Table of one node.
#[derive(Debug)]
pub struct RecentSuccesses {
    words: Vec<AtomicU64>,
}

impl Default for RecentSuccesses {
    fn default() -> Self {
        Self { words: (0..WORDS).map(|_| AtomicU64::new(0)).collect() }
    }
}

impl RecentSuccesses {
    /// Takes in a success.
    pub fn add(&self, fingerprint: Fingerprint, now: Time) {
        let (place, tag) = place_and_tag(fingerprint);
        self.words[place].store(tag | second(now), Ordering::Relaxed);
    }

    /// Whether the request succeeded within the time that protects it.
    pub fn is_recent(&self, fingerprint: Fingerprint, now: Time) -> bool {
        let (place, tag) = place_and_tag(fingerprint);
        let word = self.words[place].load(Ordering::Relaxed);
        let mask = (1 << SECOND_BITS) - 1;
        word & !mask == tag && second(now).wrapping_sub(word) & mask < CLEARED.as_secs()
    }
}

fn place_and_tag(fingerprint: Fingerprint) -> (usize, u64) {
    let hash = mix_wide(fingerprint.0);
    let place = (hash & 0xffff_ffff) as usize % WORDS;
    // An empty word matches nobody.
    let tag = (hash >> SECOND_BITS).max(1) << SECOND_BITS;
    (place, tag)
}

fn second(now: Time) -> u64 {
    now.0.as_secs() & ((1 << SECOND_BITS) - 1)
}
