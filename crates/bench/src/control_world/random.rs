//! Seeded random numbers.

use rand::{SeedableRng, rngs::SmallRng};

/// Opens a generator.
pub fn open(seed: u64) -> SmallRng {
    SmallRng::seed_from_u64(seed)
}
