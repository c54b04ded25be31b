//! Logs as JSON lines on standard error, with a level that can be changed.

use std::sync::OnceLock;

use derive_more::{Display, Error};
use tracing_subscriber::{EnvFilter, Registry, fmt, prelude::*, reload};

/// The filter of this process.
static FILTER: OnceLock<reload::Handle<EnvFilter, Registry>> = OnceLock::new();

/// The level is not one, or logging has not been opened.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("could not set log level: {level}")]
pub struct LevelError {
    /// What was asked for.
    pub level: String,
}

/// Starts logging at `level`, such as `info` or `citrongw=debug`.
pub fn open(level: &str) {
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"));
    let (filter, handle) = reload::Layer::new(filter);
    let layer = fmt::layer().json().flatten_event(true).with_writer(std::io::stderr);
    let opened = tracing_subscriber::registry().with(filter).with(layer).try_init();
    // A second start in one process, as tests make it, keeps the first.
    if opened.is_ok() {
        let _ = FILTER.set(handle);
    }
}

/// Changes the level of the running process.
pub fn set_level(level: &str) -> Result<(), LevelError> {
    let error = || LevelError { level: level.to_owned() };
    let filter = EnvFilter::try_new(level).map_err(|_| error())?;
    let handle = FILTER.get().ok_or_else(error)?;
    handle.reload(filter).map_err(|_| error())
}
