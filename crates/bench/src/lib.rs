//! What the benches and history checks share.

pub mod args;
pub mod claims;
pub mod control_history;
pub mod control_world;
pub mod crash;
pub mod memory;
pub mod model;
pub mod node;
pub mod overload;
pub mod report;
pub mod routing;
pub mod spread;
pub mod timeline;
