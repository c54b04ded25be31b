//! Logs as JSON lines on standard error.

use tracing_subscriber::{EnvFilter, fmt, prelude::*};

/// Starts logging at `level`, such as `info` or `citrongw=debug`.
pub fn open(level: &str) {
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = fmt::layer().json().flatten_event(true).with_writer(std::io::stderr);
    // A second start in one process, as tests make it, keeps the first.
    let _ = tracing_subscriber::registry().with(filter).with(layer).try_init();
}
