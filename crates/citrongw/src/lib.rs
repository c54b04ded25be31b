//! The node of citrongw: its settings, its wiring and its caller interface.

pub mod caller;
pub mod cmd;
pub mod demo;
pub mod error;
pub mod log;
pub mod node;
pub mod settings;
