//! Work that this gateway's requests have at a server, and how fast the server does it.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use citrongw_state::{request_cost::NOMINAL_PROMPT_TOKENS, time::Time};

use super::BackendStats;
use crate::lock::lock;

/// Times of a request at a server as the choice predicted them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PredictedTimes {
    /// Time to the first event, without what is known of the server's speed.
    pub first_event: Duration,
    /// Time between two events.
    pub event_gap: Duration,
    /// Factor between predicted and observed times of the model and route.
    pub time_factor: f64,
    /// Time to the first event as the choice compared it, with the server's speed and
    /// the time that a server of another zone must gain.
    pub compared: Duration,
    /// Prompt tokens that wait at the server.
    pub queued_tokens: f64,
    /// Observed speed of the server, as a factor on times.
    pub slowness: f64,
}

/// Load of a backend server as this node estimates it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadEstimate {
    /// Expected number of requests running or waiting at the server.
    pub requests: f64,
    /// Age of the load that the server reported. None if the report was too old
    /// to be used.
    pub reported_age: Option<Duration>,
    /// Predicted times, if the cost of the request is known.
    pub predicted: Option<PredictedTimes>,
}

/// Work of a request at a server, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestWork {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Expected tokens of the output.
    pub output_tokens: u32,
    /// Tokens of an event.
    pub event_tokens: u32,
}

impl RequestWork {
    /// Work of a request whose cost is not known.
    pub const UNKNOWN: Self =
        Self { prompt_tokens: NOMINAL_PROMPT_TOKENS, output_tokens: 0, event_tokens: 0 };

    /// Prompt tokens that count as unread until the first event. Where the cost is not
    /// known, nobody records the first event.
    fn unread_tokens(&self) -> u64 {
        if *self == Self::UNKNOWN { 0 } else { self.prompt_tokens.into() }
    }
}

/// Sums of the work of this gateway's requests at a server.
#[derive(Debug, Default)]
pub struct ServerWorkSums {
    /// Prompt tokens begun so far. The count wraps.
    begun_tokens: AtomicU32,
    last_begun_ms: AtomicU64,
    /// Prompt tokens of requests without a first event.
    unread_tokens: AtomicU64,
    /// Output tokens that are expected to be generated.
    remaining_tokens: AtomicU64,
    slowness: Mutex<Slowness>,
}

impl ServerWorkSums {
    /// Prompt tokens begun so far. The count wraps.
    pub fn begun_tokens(&self) -> u32 {
        self.begun_tokens.load(Ordering::Relaxed)
    }

    /// When the last request began.
    pub fn last_begun_at(&self) -> Time {
        Time::from_millis(self.last_begun_ms.load(Ordering::Relaxed))
    }

    /// Prompt tokens of requests whose first event has not arrived.
    pub fn unread_tokens(&self) -> f64 {
        self.unread_tokens.load(Ordering::Relaxed) as f64
    }

    /// Output tokens that the requests still have to generate.
    pub fn remaining_tokens(&self) -> f64 {
        self.remaining_tokens.load(Ordering::Relaxed) as f64
    }

    /// Times at the server relative to the predicted ones, as observed recently; 1
    /// without observations.
    pub fn slowness(&self, now: Time) -> f64 {
        lock(&self.slowness).at(now)
    }

    pub(super) fn begin(&self, work: &RequestWork, now: Time) {
        self.last_begun_ms.store(super::millis(now), Ordering::Relaxed);
        self.begun_tokens.fetch_add(work.prompt_tokens, Ordering::Relaxed);
        self.unread_tokens.fetch_add(work.unread_tokens(), Ordering::Relaxed);
        self.remaining_tokens.fetch_add(work.output_tokens.into(), Ordering::Relaxed);
    }
}

/// Weight of a new observation of a server's speed.
const SLOWNESS_WEIGHT: f64 = 0.15;
/// Time in which an observation of a server's speed loses most of its weight, so that a
/// server that was slow is tried again.
const SLOWNESS_TIME: Duration = Duration::from_secs(4);
/// Bounds of one observation.
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 8.0);

/// Moving average of observed relative to predicted times.
#[derive(Debug, Clone, Copy)]
struct Slowness {
    factor: f64,
    observed_at: Time,
}

impl Default for Slowness {
    fn default() -> Self {
        Self { factor: 1.0, observed_at: Time::START }
    }
}

impl Slowness {
    fn at(&self, now: Time) -> f64 {
        let age = now.since(self.observed_at).as_secs_f64() / SLOWNESS_TIME.as_secs_f64();
        1.0 + (self.factor - 1.0) * (-age).exp()
    }

    fn record(&mut self, factor: f64, now: Time) {
        let factor = factor.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
        let before = self.at(now);
        *self = Self { factor: before + SLOWNESS_WEIGHT * (factor - before), observed_at: now };
    }
}

/// Guard that counts a request as in flight at a backend server.
#[derive(Debug)]
pub struct InFlight {
    stats: Arc<BackendStats>,
    /// Prompt tokens that count as unread.
    unread_tokens: u64,
    /// Output tokens that are left.
    output_tokens: u32,
    event_tokens: u32,
    begun_at: Time,
    last_event_at: Time,
    events: u32,
    predicted: Option<PredictedTimes>,
    /// Observed relative to predicted time to the first event.
    time_factor: Option<f64>,
}

impl InFlight {
    pub(super) fn new(stats: Arc<BackendStats>, work: RequestWork, now: Time) -> Self {
        Self {
            stats,
            unread_tokens: work.unread_tokens(),
            output_tokens: work.output_tokens,
            event_tokens: work.event_tokens,
            begun_at: now,
            last_event_at: now,
            events: 0,
            predicted: None,
            time_factor: None,
        }
    }

    /// Sets the times that the choice of the server predicted, which the observed ones
    /// are compared with.
    pub fn set_predicted(&mut self, predicted: Option<PredictedTimes>) {
        self.predicted = predicted;
    }

    /// Records that an event of the response arrived.
    pub fn record_event(&mut self, now: Time) {
        let work = &self.stats.work;
        let unread = std::mem::take(&mut self.unread_tokens);
        work.unread_tokens.fetch_sub(unread, Ordering::Relaxed);
        let generated = self.event_tokens.min(self.output_tokens);
        self.output_tokens -= generated;
        work.remaining_tokens.fetch_sub(generated.into(), Ordering::Relaxed);
        self.events += 1;
        let observed = now.since(std::mem::replace(&mut self.last_event_at, now));
        let Some(predicted) = self.predicted else { return };
        if self.events == 1 {
            let factor = ratio(now.since(self.begun_at), predicted.first_event);
            self.time_factor = Some(factor);
            lock(&work.slowness).record(factor / predicted.time_factor, now);
        } else {
            let factor = ratio(observed, predicted.event_gap);
            lock(&work.slowness).record(factor / predicted.time_factor, now);
        }
    }

    /// Events that arrived.
    pub fn events(&self) -> u32 {
        self.events
    }

    /// Time to the first event relative to the prediction, if both are known.
    pub fn time_factor(&self) -> Option<f64> {
        self.time_factor
    }
}

fn ratio(observed: Duration, predicted: Duration) -> f64 {
    observed.as_secs_f64() / predicted.as_secs_f64().max(1e-3)
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let work = &self.stats.work;
        work.unread_tokens.fetch_sub(self.unread_tokens, Ordering::Relaxed);
        work.remaining_tokens.fetch_sub(self.output_tokens.into(), Ordering::Relaxed);
        self.stats.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
