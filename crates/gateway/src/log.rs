//! Logs as JSON lines on standard output, written by a separate thread.
//!
//! The queue to the writer is bounded. Lines that do not fit are dropped and
//! counted, so that no request waits for a log line.

use std::{io, sync::OnceLock};

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, Registry, fmt, prelude::*, reload};

/// Queue length of lines that wait for the writer.
const MAX_QUEUED_LINES: usize = 4_096;

static FILTER: OnceLock<reload::Handle<EnvFilter, Registry>> = OnceLock::new();
static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// Handle of the running writer. When dropped, it writes the queued lines and
/// ends the writer.
#[derive(Debug)]
pub struct Log {
    _guard: WorkerGuard,
}

/// Number of lines dropped so far because the queue was full.
pub fn dropped_lines() -> usize {
    DROPPED.get().map_or(0, ErrorCounter::dropped_lines)
}

/// Starts logging at a level such as `info`.
pub fn open(level: &str) -> Log {
    let builder = NonBlockingBuilder::default().buffered_lines_limit(MAX_QUEUED_LINES).lossy(true);
    let (writer, guard) = builder.finish(io::stdout());
    let dropped = writer.error_counter();
    let (filter, handle) = reload::Layer::new(filter(level));
    let layer = fmt::layer().json().flatten_event(true).with_target(false).with_writer(writer);
    let opened = tracing_subscriber::registry().with(filter).with(layer).try_init();
    // If a process starts logging twice, as tests do, the first start stays in
    // effect.
    if opened.is_ok() {
        let _ = FILTER.set(handle);
        let _ = DROPPED.set(dropped);
    }
    Log { _guard: guard }
}

/// Changes the level of the running process.
pub fn set_level(level: &str) {
    let Some(handle) = FILTER.get() else { return };
    if let Err(error) = handle.reload(filter(level)) {
        tracing::warn!(%error, level, "could not change the log level");
    }
}

fn filter(level: &str) -> EnvFilter {
    EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"))
}
