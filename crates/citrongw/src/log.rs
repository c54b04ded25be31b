//! Logging as JSON lines on standard error, with a level that can be changed at run
//! time.

use std::sync::OnceLock;

use derive_more::{Display, Error};
use tracing_subscriber::{EnvFilter, Registry, fmt, prelude::*, reload};

/// Handle of the active log filter.
static FILTER: OnceLock<reload::Handle<EnvFilter, Registry>> = OnceLock::new();

/// The level is invalid, or logging is not initialised.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("could not set log level: {level}")]
pub struct LevelError {
    /// The requested level.
    pub level: String,
}

/// Initialises logging at `level`, such as `info` or `citrongw=debug`.
pub fn open(level: &str) {
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"));
    let (filter, handle) = reload::Layer::new(filter);
    let layer = fmt::layer().json().flatten_event(true).with_writer(std::io::stderr);
    let opened = tracing_subscriber::registry().with(filter).with(layer).try_init();
    // Tests call this more than once per process; the first call wins.
    if opened.is_ok() {
        let _ = FILTER.set(handle);
    }
}

/// Changes the log level of the running process.
pub fn set_level(level: &str) -> Result<(), LevelError> {
    let error = || LevelError { level: level.to_owned() };
    let filter = EnvFilter::try_new(level).map_err(|_| error())?;
    let handle = FILTER.get().ok_or_else(error)?;
    handle.reload(filter).map_err(|_| error())
}
