//! Limit of a backend server while it is cold, beside its other state.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use citrongw_state::{cold_server::ColdLimit, time::Time};

use super::millis;
use crate::lock::lock;

/// Whether a backend server is cold, read for each choice.
#[derive(Debug, Default)]
pub struct ColdState {
    /// Zero if the server is warm.
    until_ms: AtomicU64,
    limit: Mutex<Option<ColdLimit>>,
}

impl ColdState {
    /// Sets when the server is warm; none if it is now.
    pub fn set(&self, limit: ColdLimit, until: Option<Time>) {
        *lock(&self.limit) = Some(limit);
        self.until_ms.store(until.map_or(0, millis), Ordering::Relaxed);
    }

    /// Sets the server to warm.
    pub(crate) fn clear(&self) {
        self.until_ms.store(0, Ordering::Relaxed);
    }

    /// Time until the server is warm; none if it is now.
    pub fn left(&self, now: Time) -> Option<Duration> {
        let left_ms = self.until_ms.load(Ordering::Relaxed).saturating_sub(millis(now));
        (left_ms != 0).then(|| Duration::from_millis(left_ms))
    }

    /// Limit while the server is cold, and the time until it is warm.
    pub fn limit(&self, now: Time) -> Option<(ColdLimit, Duration)> {
        let left = self.left(now)?;
        Some(((*lock(&self.limit))?, left))
    }

    /// Whether the server refused connections and has not responded since.
    pub(crate) fn awaits_response(&self) -> bool {
        self.until_ms.load(Ordering::Relaxed) == u64::MAX
    }
}
