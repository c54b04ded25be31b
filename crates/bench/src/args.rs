//! Arguments of a bench.
#![allow(missing_docs, reason = "the macro writes the items")]

xflags::xflags! {
    /// Measures one matter and prints one JSON object a line.
    cmd bench {
        /// Seed of all random numbers.
        optional --seed seed: u64
        /// The large size, which takes minutes.
        optional --full
        /// Given by cargo; without effect.
        optional --bench
    }
}

/// Seed, unless told otherwise.
const DEFAULT_SEED: u64 = 1;

impl Bench {
    /// Seed of all random numbers.
    pub fn seed(&self) -> u64 {
        self.seed.unwrap_or(DEFAULT_SEED)
    }
}
