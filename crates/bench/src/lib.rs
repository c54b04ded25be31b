//! What the benches and history checks share.

pub mod args;
pub mod control_history;
pub mod control_world;
pub mod formation;
pub mod report;
pub mod spread;
