//! Requests of callers: Poisson arrivals, prefixes of uneven popularity, and
//! answers of uneven length.

use rand::{Rng, rngs::SmallRng};

/// What requests look like.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkloadSettings {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Distinct prefixes.
    pub prefixes: usize,
    /// How uneven their popularity is: the exponent of a Zipf distribution.
    pub skew: f64,
    /// Prompt tokens of a prefix.
    pub prefix_tokens: u32,
    /// Prompt tokens after it.
    pub prompt_tokens: u32,
    /// Tokens of an answer, on average.
    pub mean_tokens: f64,
}

impl Default for WorkloadSettings {
    fn default() -> Self {
        Self {
            requests_per_s: 1.0,
            prefixes: 6000,
            skew: 1.0,
            prefix_tokens: 1000,
            prompt_tokens: 400,
            mean_tokens: 236.0,
        }
    }
}

/// Source of requests.
#[derive(Debug)]
pub struct Workload {
    settings: WorkloadSettings,
    /// Summed popularity up to each prefix.
    popularity: Vec<f64>,
}

/// Makes a source.
pub fn open(settings: WorkloadSettings) -> Workload {
    let mut sum = 0.0;
    let popularity = (1..=settings.prefixes)
        .map(|rank| {
            sum += 1.0 / (rank as f64).powf(settings.skew);
            sum
        })
        .collect();
    Workload { settings, popularity }
}

impl Workload {
    /// What requests look like.
    pub fn settings(&self) -> &WorkloadSettings {
        &self.settings
    }

    /// Time until the next arrival.
    pub fn gap_s(&self, rng: &mut SmallRng) -> f64 {
        -(1.0 - rng.random::<f64>()).ln() / self.settings.requests_per_s
    }

    /// Prefix of a request.
    pub fn prefix(&self, rng: &mut SmallRng) -> u64 {
        let sum = self.popularity.last().copied().unwrap_or_default();
        let drawn = rng.random::<f64>() * sum;
        self.popularity.partition_point(|it| *it < drawn) as u64
    }

    /// Tokens of an answer: two in three short, one in three long.
    pub fn tokens(&self, rng: &mut SmallRng) -> u32 {
        let part = rng.random::<f64>();
        let factor = if rng.random::<f64>() < 2.0 / 3.0 { part } else { 1.0 + 2.0 * part };
        (factor * self.settings.mean_tokens).max(1.0) as u32
    }
}
