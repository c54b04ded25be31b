//! Seeded random number generator.

use rand::{SeedableRng, rngs::SmallRng};

/// Creates a generator.
pub fn open(seed: u64) -> SmallRng {
    SmallRng::seed_from_u64(seed)
}
