//! What the benches share: their arguments and the lines they print.

pub mod args;
pub mod claims;
pub mod report;
pub mod spread;
