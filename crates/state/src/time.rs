//! Time base of decisions.
//!
//! A [`Time`] is the time that has passed on the monotonic clock of a process
//! since the process started. It has no meaning in another process.

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
    /// Start of the process.
    pub const START: Self = Self(Duration::ZERO);

    /// Point `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Time passed since `earlier`; zero if `earlier` is in the future.
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
