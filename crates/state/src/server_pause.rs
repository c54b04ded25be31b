//! Pauses that backend servers request: a server that rejects a request may state for
//! how long it wants none from this node.
//!
//! A pause belongs to one incarnation of a server. Neither a success nor another epoch
//! of the server's replica ends it, only its time or another incarnation.

use std::{collections::HashMap, time::Duration};

use derive_more::Display;

use crate::{
    id::{Incarnation, InstanceId},
    time::Time,
};

/// Longest pause that is kept. A server that asks for more is left out for a day.
const MAX_PAUSE: Duration = Duration::from_secs(24 * 60 * 60);
/// Longest random extension of a pause, as a part of it, so that the nodes do not
/// return to a server at the same moment.
const MAX_EXTENSION: f64 = 0.1;

/// What a rejection says of a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display)]
pub enum StatedPause {
    /// The server requests no pause.
    #[default]
    #[display("none")]
    None,
    /// The server states something that is not a time in seconds.
    #[display("unreadable")]
    Unreadable,
    /// The server wants no requests for this time.
    #[display("{} ms", _0.as_millis())]
    For(Duration),
}

impl From<f64> for StatedPause {
    fn from(seconds: f64) -> Self {
        if !seconds.is_finite() || seconds < 0.0 {
            return Self::Unreadable;
        }
        match Duration::try_from_secs_f64(seconds).unwrap_or(MAX_PAUSE).min(MAX_PAUSE) {
            Duration::ZERO => Self::None,
            pause => Self::For(pause),
        }
    }
}

impl StatedPause {
    /// Combines two statements of one response. The longer pause counts.
    pub fn or_longer(self, other: Self) -> Self {
        match (self, other) {
            (Self::For(a), Self::For(b)) => Self::For(a.max(b)),
            (Self::For(_), _) => self,
            (_, Self::For(_)) => other,
            (Self::Unreadable, _) | (_, Self::Unreadable) => Self::Unreadable,
            (Self::None, Self::None) => Self::None,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Pause {
    incarnation: Incarnation,
    until: Time,
}

/// Pauses that servers requested from this node.
#[derive(Debug, Clone, Default)]
pub struct ServerPauses {
    pauses: HashMap<InstanceId, Pause>,
}

impl ServerPauses {
    /// Records a requested pause. `random` is a number from 0 to 1.
    pub fn record(
        &mut self,
        instance: &InstanceId,
        incarnation: Incarnation,
        pause: Duration,
        now: Time,
        random: f64,
    ) {
        self.pauses.retain(|_, it| now < it.until);
        let until = now + pause + pause.mul_f64(MAX_EXTENSION * random);
        let requested = Pause { incarnation, until };
        let kept = self.pauses.entry(instance.clone()).or_insert(requested);
        if kept.incarnation < incarnation {
            *kept = requested;
        } else if kept.incarnation == incarnation {
            kept.until = kept.until.max(until);
        }
    }

    /// Time that is left of the pause of a server, if it has one.
    pub fn left(
        &self,
        instance: &InstanceId,
        incarnation: Incarnation,
        now: Time,
    ) -> Option<Duration> {
        let pause = self.pauses.get(instance).filter(|it| it.incarnation == incarnation)?;
        (now < pause.until).then(|| pause.until.since(now))
    }
}

#[cfg(test)]
mod tests;
