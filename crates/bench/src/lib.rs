//! What the benches and history checks share.

pub mod args;
pub mod node;
pub mod control_history;
pub mod control_world;
pub mod model;
pub mod overload;
pub mod report;
pub mod routing;
pub mod timeline;
pub mod spread;
