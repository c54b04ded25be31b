//! Limits of server connections.

use std::{
    sync::atomic::{AtomicU64, AtomicUsize, Ordering},
    time::Duration,
};

/// Default maximum size of a request head.
const DEFAULT_MAX_HEAD_BYTES: usize = 32 * 1024;
/// Default timeout for receiving a head, and default idle timeout.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits on what a peer may send and how long it may take. Changes apply to
/// open connections too.
#[derive(Debug)]
pub struct ConnectionLimits {
    max_head_bytes: AtomicUsize,
    header_timeout_ms: AtomicU64,
    idle_timeout_ms: AtomicU64,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        let limits = Self {
            max_head_bytes: AtomicUsize::new(0),
            header_timeout_ms: AtomicU64::new(0),
            idle_timeout_ms: AtomicU64::new(0),
        };
        limits.set(DEFAULT_MAX_HEAD_BYTES, DEFAULT_TIMEOUT, DEFAULT_TIMEOUT);
        limits
    }
}

impl ConnectionLimits {
    /// Sets the maximum head size, the timeout of a head from its first byte, and
    /// the idle timeout of a connection.
    pub fn set(&self, max_head_bytes: usize, header_timeout: Duration, idle_timeout: Duration) {
        self.max_head_bytes.store(max_head_bytes, Ordering::Relaxed);
        self.header_timeout_ms.store(millis(header_timeout), Ordering::Relaxed);
        self.idle_timeout_ms.store(millis(idle_timeout), Ordering::Relaxed);
    }

    /// Maximum size of a request head.
    pub fn max_head_bytes(&self) -> usize {
        self.max_head_bytes.load(Ordering::Relaxed)
    }

    /// Timeout of a request head from its first byte.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms.load(Ordering::Relaxed))
    }

    /// Idle timeout of a connection.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms.load(Ordering::Relaxed))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
