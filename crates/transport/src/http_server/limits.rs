//! Bounds of a port's connections.

use std::{
    sync::atomic::{AtomicU64, AtomicUsize, Ordering},
    time::Duration,
};

/// Largest head of a request, unless told otherwise.
const DEFAULT_MAX_HEAD_BYTES: usize = 32 * 1024;
/// Longest time for a head, and longest idle time, unless told otherwise.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Bounds of what a peer may send and how long it may take. New ones hold for
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
    /// Sets the largest head, the longest time that one may take from its first
    /// byte, and the longest time that a connection may be idle.
    pub fn set(&self, max_head_bytes: usize, header_timeout: Duration, idle_timeout: Duration) {
        self.max_head_bytes.store(max_head_bytes, Ordering::Relaxed);
        self.header_timeout_ms.store(millis(header_timeout), Ordering::Relaxed);
        self.idle_timeout_ms.store(millis(idle_timeout), Ordering::Relaxed);
    }

    /// Largest head of a request.
    pub fn max_head_bytes(&self) -> usize {
        self.max_head_bytes.load(Ordering::Relaxed)
    }

    /// Longest time for a head.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms.load(Ordering::Relaxed))
    }

    /// Longest time that a connection may be idle.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms.load(Ordering::Relaxed))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
