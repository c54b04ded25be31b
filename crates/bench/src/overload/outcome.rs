//! Results of a run of the overload bench.

/// Index of the large organisation.
pub const LARGE_ORGANISATION: usize = 0;

/// Request counts of one organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct Count {
    pub(super) offered: u64,
    pub(super) refused: u64,
    pub(super) good: u64,
}

/// Request counts of one run by organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    pub(super) counts: Vec<Count>,
    pub(super) measured_s: f64,
}

impl Outcome {
    pub(super) fn open(organisations: usize, measured_s: f64) -> Self {
        Self { counts: vec![Count::default(); organisations], measured_s }
    }

    /// Good requests per second.
    pub fn goodput_per_s(&self) -> f64 {
        let good: u64 = self.counts.iter().map(|it| it.good).sum();
        good as f64 / self.measured_s
    }

    /// Fraction of an organisation's requests that were good.
    pub fn good_share(&self, organisation: usize) -> f64 {
        let count = self.counts[organisation];
        count.good as f64 / (count.offered as f64).max(1.0)
    }

    /// Lowest fraction of good requests among the small organisations.
    pub fn least_small_share(&self) -> f64 {
        let small = (0..self.counts.len()).filter(|it| *it != LARGE_ORGANISATION);
        small.map(|it| self.good_share(it)).fold(1.0, f64::min)
    }

    /// Fraction of all good requests that belong to an organisation.
    pub fn goodput_share(&self, organisation: usize) -> f64 {
        let good: u64 = self.counts.iter().map(|it| it.good).sum();
        self.counts[organisation].good as f64 / (good as f64).max(1.0)
    }

    /// Fraction of all requests that were refused without being run.
    pub fn refused_share(&self) -> f64 {
        let refused: u64 = self.counts.iter().map(|it| it.refused).sum();
        let offered: u64 = self.counts.iter().map(|it| it.offered).sum();
        refused as f64 / (offered as f64).max(1.0)
    }
}
