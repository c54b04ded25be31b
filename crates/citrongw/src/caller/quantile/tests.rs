//! Tests of the estimate.

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::*;

#[test]
fn estimate_converges_to_the_quantile() {
    for (seed, longest_ms) in [(1, 20.0), (2, 400.0), (3, 5_000.0)] {
        let mut rng = StdRng::seed_from_u64(seed);
        let p95 = P95::default();
        let mut mean_ms = 0.0;
        for idx in 0..20_000 {
            p95.add(Duration::from_secs_f64(rng.random::<f64>() * longest_ms / 1e3));
            if 10_000 <= idx {
                mean_ms += p95.get().as_secs_f64() * 1e3 / 10_000.0;
            }
        }
        let expected = 0.95 * longest_ms;
        assert!((mean_ms / expected - 1.0).abs() < 0.05, "{mean_ms} {expected}");
    }
}
