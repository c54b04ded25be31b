//! What the benches share: their arguments and the lines they print.

pub mod args;
pub mod node;
pub mod report;
pub mod spread;
