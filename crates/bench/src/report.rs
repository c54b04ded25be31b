//! Output of a bench: one JSON object per measurement.

use serde::Serialize;

/// One measurement of one policy.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// Name of the bench.
    pub bench: String,
    /// Policy that was measured, current or baseline.
    pub policy: String,
    /// Name of the measurement.
    pub measure: String,
    /// Measured value, in `unit`.
    pub value: f64,
    /// Unit of the value.
    pub unit: String,
    /// Seed of the run.
    pub seed: u64,
}

/// Printer for the results of one bench.
#[derive(Debug, Clone)]
pub struct Report {
    bench: String,
    seed: u64,
}

/// Creates a report for a bench.
pub fn open(bench: &str, seed: u64) -> Report {
    Report { bench: bench.to_owned(), seed }
}

impl Report {
    /// Prints one measurement.
    pub fn add(&self, policy: &str, measure: &str, value: f64, unit: &str) {
        let line = Line {
            bench: self.bench.clone(),
            policy: policy.to_owned(),
            measure: measure.to_owned(),
            value,
            unit: unit.to_owned(),
            seed: self.seed,
        };
        println!("{}", serde_json::to_string(&line).unwrap_or_default());
    }
}
