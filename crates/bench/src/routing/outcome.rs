//! Results of a run of the routing bench.

use hdrhistogram::Histogram;

use crate::report::Report;

/// Upper bound of the histograms, in microseconds.
const MAX_US: u64 = 120_000_000;

/// Latencies and prefix cache hits of one run.
#[derive(Debug, Clone)]
pub struct Outcome {
    first_token_us: Histogram<u64>,
    between_tokens_us: Histogram<u64>,
    hits: u64,
    first_tokens: u64,
}

impl Default for Outcome {
    fn default() -> Self {
        let histogram = || Histogram::new_with_max(MAX_US, 3).expect("bounds are valid");
        Self {
            first_token_us: histogram(),
            between_tokens_us: histogram(),
            hits: 0,
            first_tokens: 0,
        }
    }
}

impl Outcome {
    /// Records the first token of a request.
    pub(super) fn add_first_token(&mut self, took_s: f64, hit: bool) {
        self.first_token_us.saturating_record((took_s * 1e6) as u64);
        self.first_tokens += 1;
        self.hits += u64::from(hit);
    }

    /// Records tokens that were generated at one decoding speed.
    pub(super) fn add_tokens(&mut self, between_tokens_s: f64, tokens: f64) {
        // Counts thousandths of a token, so that short intervals are not
        // rounded to zero.
        let count = (tokens * 1000.0) as u64;
        self.between_tokens_us.saturating_record_n((between_tokens_s * 1e6) as u64, count);
    }

    /// Percentile of the time to first token, in seconds.
    pub fn first_token_s(&self, percent: f64) -> f64 {
        self.first_token_us.value_at_percentile(percent) as f64 / 1e6
    }

    /// Percentile of the time between tokens, in milliseconds.
    pub fn between_tokens_ms(&self, percent: f64) -> f64 {
        self.between_tokens_us.value_at_percentile(percent) as f64 / 1e3
    }

    /// Fraction of requests whose prefix was cached.
    pub fn hit_share(&self) -> f64 {
        self.hits as f64 / (self.first_tokens as f64).max(1.0)
    }

    /// Prints all measurements of a policy at a load.
    pub fn print(&self, report: &Report, policy: &str, load: f64) {
        for percent in [50.0, 95.0, 99.0] {
            let measure = format!("first_token_p{percent}_at_{load}");
            report.add(policy, &measure, self.first_token_s(percent), "s");
            let measure = format!("between_tokens_p{percent}_at_{load}");
            report.add(policy, &measure, self.between_tokens_ms(percent), "ms");
        }
        report.add(policy, &format!("prefix_hit_share_at_{load}"), self.hit_share(), "share");
    }
}
