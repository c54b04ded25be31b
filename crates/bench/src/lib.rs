//! Simulations and measurement code shared by the benches and the history
//! checks.

pub mod args;
pub mod claims;
pub mod control_history;
pub mod control_world;
pub mod crash;
pub mod early_rejection;
pub mod formation;
pub mod memory;
pub mod model;
pub mod node;
pub mod overload;
pub mod report;
pub mod routing;
pub mod spread;
pub mod timeline;
