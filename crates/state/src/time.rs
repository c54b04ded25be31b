//! Time as decisions see it.
//!
//! A [`Time`] is what has passed on one process's monotonic clock since that
//! process started. It means nothing to another process.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Point on the monotonic clock of this process.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Serialize,
    Deserialize,
    Display,
    From,
    Into,
)]
#[display("{:?}", _0)]
pub struct Time(pub Duration);

impl Time {
    /// The start of the process.
    pub const START: Self = Self(Duration::ZERO);

    /// Point `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// What passed since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}
