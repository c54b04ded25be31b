//! Request workload: Poisson arrivals, Zipf-distributed prefixes, and responses
//! of varying length.

use rand::{Rng, rngs::SmallRng};

/// Parameters of the workload.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkloadSettings {
    /// Mean arrival rate, per second.
    pub requests_per_s: f64,
    /// Number of distinct prompt prefixes.
    pub prefixes: usize,
    /// Exponent of the Zipf distribution of prefix popularity.
    pub skew: f64,
    /// Prompt tokens in the shared prefix.
    pub prefix_tokens: u32,
    /// Prompt tokens after the prefix.
    pub prompt_tokens: u32,
    /// Mean number of tokens in a response.
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

/// Random generator of requests.
#[derive(Debug)]
pub struct Workload {
    settings: WorkloadSettings,
    /// Cumulative popularity up to each prefix.
    popularity: Vec<f64>,
}

/// Creates a workload generator.
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
    /// Parameters of the workload.
    pub fn settings(&self) -> &WorkloadSettings {
        &self.settings
    }

    /// Draws the time until the next arrival, in seconds.
    pub fn gap_s(&self, rng: &mut SmallRng) -> f64 {
        -(1.0 - rng.random::<f64>()).ln() / self.settings.requests_per_s
    }

    /// Draws the prefix of a request.
    pub fn prefix(&self, rng: &mut SmallRng) -> u64 {
        let sum = self.popularity.last().copied().unwrap_or_default();
        let drawn = rng.random::<f64>() * sum;
        self.popularity.partition_point(|it| *it < drawn) as u64
    }

    /// Draws the number of tokens in a response: two in three are short, one in
    /// three is long.
    pub fn tokens(&self, rng: &mut SmallRng) -> u32 {
        let part = rng.random::<f64>();
        let factor = if rng.random::<f64>() < 2.0 / 3.0 { part } else { 1.0 + 2.0 * part };
        (factor * self.settings.mean_tokens).max(1.0) as u32
    }
}
