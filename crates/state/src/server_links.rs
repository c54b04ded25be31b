//! Links of a node to all backend servers.
//!
//! A server that does not respond may have ended, or this node may have lost its links.
//! Silence of one server says something about it only if another one was heard
//! meanwhile. A node that has no response from any server that it polls takes its links
//! for cut until it hears one again.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use crate::time::Time;

/// What a node knows of its links.
#[derive(Debug, Default)]
pub struct ServerLinks {
    heard_at_ms: AtomicU64,
    is_cut: AtomicBool,
}

impl ServerLinks {
    /// Records that a server was heard. True if this ends a cut.
    pub fn record_heard(&self, now: Time) -> bool {
        self.heard_at_ms.fetch_max(millis(now), Ordering::Relaxed);
        self.is_cut.load(Ordering::Relaxed) && self.is_cut.swap(false, Ordering::Relaxed)
    }

    /// Records that none of several servers responded to a poll that was sent at
    /// `since`. True if this begins a cut.
    pub fn record_all_silent(&self, since: Time) -> bool {
        !self.has_heard_since(since) && !self.is_cut.swap(true, Ordering::Relaxed)
    }

    /// Whether any server was heard after a time.
    pub fn has_heard_since(&self, since: Time) -> bool {
        millis(since) < self.heard_at_ms.load(Ordering::Relaxed)
    }

    /// Whether no server is heard.
    pub fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::Relaxed)
    }
}

fn millis(time: Time) -> u64 {
    u64::try_from(time.0.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
