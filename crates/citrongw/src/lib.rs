//! The node of citrongw: its settings, its wiring and its caller interface.

pub mod admin;
pub mod caller;
pub mod cmd;
mod control;
pub mod demo;
pub mod error;
pub mod http_answer;
pub mod log;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod settings;
