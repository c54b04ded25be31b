//! What the benches and history checks share.

pub mod args;
pub mod claims;
pub mod control_history;
pub mod control_world;
pub mod report;
pub mod spread;
