//! Command-line arguments of a bench.
#![allow(missing_docs, reason = "the macro writes the items")]

xflags::xflags! {
    /// Runs one bench and prints one JSON object per line.
    cmd bench {
        /// Seed of all random numbers.
        optional --seed seed: u64
        /// Runs the large configuration, which takes minutes.
        optional --full
        /// Passed by cargo; has no effect.
        optional --bench
    }
}

/// Seed used without `--seed`.
const DEFAULT_SEED: u64 = 1;

impl Bench {
    /// Seed of all random numbers.
    pub fn seed(&self) -> u64 {
        self.seed.unwrap_or(DEFAULT_SEED)
    }
}
