//! Lines of a bench: one JSON object a measure.

use serde::Serialize;

/// One measure of one policy.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// Bench.
    pub bench: String,
    /// Policy, present or baseline.
    pub policy: String,
    /// What was measured.
    pub measure: String,
    /// Value.
    pub value: f64,
    /// Its unit.
    pub unit: String,
    /// Seed of the run.
    pub seed: u64,
}

/// Printer of one bench's lines.
#[derive(Debug, Clone)]
pub struct Report {
    bench: String,
    seed: u64,
}

/// Opens a report.
pub fn open(bench: &str, seed: u64) -> Report {
    Report { bench: bench.to_owned(), seed }
}

impl Report {
    /// Prints one measure.
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
