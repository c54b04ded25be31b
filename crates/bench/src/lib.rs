//! What the benches share: their arguments and the lines they print.

pub mod args;
pub mod model;
pub mod overload;
pub mod report;
pub mod routing;
pub mod timeline;
pub mod spread;
