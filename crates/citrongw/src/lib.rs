//! The citrongw node: settings, startup and shutdown, the interfaces for callers and
//! operators, and metrics.

pub mod admin;
pub mod caller;
pub mod cmd;
mod control;
pub mod demo;
pub mod error;
pub mod http_response;
pub mod log;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod settings;
