//! Lock-free table of requests that succeeded recently.
//!
//! Each word of the fixed-size table holds a part of a fingerprint and the
//! second of its last success; a newer entry overwrites it. A request in the
//! table cannot be one that crashes every replica.

use std::sync::atomic::{AtomicU64, Ordering};

use super::SUCCESS_PROTECTION;
use crate::{hash::mix_wide, id::Fingerprint, time::Time};

/// Number of words in the table.
const WORDS: usize = 8192;
/// Low bits of a word that hold the second.
const SECOND_BITS: u32 = 24;

/// Requests that succeeded recently, as observed by one node.
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
    /// Records a success.
    pub fn add(&self, fingerprint: Fingerprint, now: Time) {
        let (place, tag) = place_and_tag(fingerprint);
        self.words[place].store(tag | second(now), Ordering::Relaxed);
    }

    /// Whether the request succeeded within the time in which evidence against
    /// it is ignored.
    pub fn is_recent(&self, fingerprint: Fingerprint, now: Time) -> bool {
        let (place, tag) = place_and_tag(fingerprint);
        let word = self.words[place].load(Ordering::Relaxed);
        let mask = (1 << SECOND_BITS) - 1;
        word & !mask == tag && second(now).wrapping_sub(word) & mask < SUCCESS_PROTECTION.as_secs()
    }
}

fn place_and_tag(fingerprint: Fingerprint) -> (usize, u64) {
    let hash = mix_wide(fingerprint.0);
    let place = (hash & 0xffff_ffff) as usize % WORDS;
    // A tag of at least one never matches an empty word.
    let tag = (hash >> SECOND_BITS).max(1) << SECOND_BITS;
    (place, tag)
}

fn second(now: Time) -> u64 {
    now.0.as_secs() & ((1 << SECOND_BITS) - 1)
}
