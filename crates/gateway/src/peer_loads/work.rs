//! Work of requests in the reports between gateways.
//!
//! A report of work takes the place of a report of counts for a gateway that reads it.
//! It has the prompt tokens of the requests begun where that has their number, in no
//! more bytes.

use std::{collections::HashMap, time::Duration};

use citrongw_state::{
    id::{Epoch, ReplicaId},
    request_cost::{
        NOMINAL_PROMPT_TOKENS,
        prefill_queue::{PrefillQueue, QueueSpeed},
    },
    time::Time,
};
use serde::{Deserialize, Serialize};

use super::{LoadReport, ReplicaRequests};
use crate::fleet::ReplicaKey;

/// Unit of times on the wire.
const TIME_UNIT_MS: u32 = 10;
/// Bits of a time on the wire.
const TIME_BITS: u32 = 7;
/// Tokens of the lowest step of the scale for tokens on the wire.
const LOWEST_STEP_TOKENS: f64 = 16.0;
/// Steps of the scale in which the number of tokens doubles.
const STEPS_PER_DOUBLING: f64 = 16.0;

/// Number of tokens in one byte, to 2%: no token, or from 16 to a million on a
/// logarithmic scale.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct ScaledTokens(u8);

impl ScaledTokens {
    fn new(tokens: f64) -> Self {
        if tokens <= 0.0 {
            return Self(0);
        }
        let steps = (tokens / LOWEST_STEP_TOKENS).max(1.0).log2() * STEPS_PER_DOUBLING;
        Self(1 + steps.round().min(f64::from(u8::MAX - 1)) as u8)
    }

    fn tokens(self) -> f64 {
        match self.0 {
            0 => 0.0,
            step => LOWEST_STEP_TOKENS * (f64::from(step - 1) / STEPS_PER_DOUBLING).exp2(),
        }
    }
}

/// Work of one gateway's requests, or of those of all gateways of a zone, at a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaWork {
    /// Id of the replica.
    pub replica: ReplicaId,
    /// Epoch of the replica.
    pub epoch: Epoch,
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens begun during the time that the report covers.
    begun: ScaledTokens,
}

/// Index of a part and number of parts, in one byte for up to 15 parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct PartOf(u16);

impl PartOf {
    fn new(part: u8, parts: u8) -> Self {
        let parts = u16::from(parts);
        Self(parts * parts.saturating_sub(1) / 2 + u16::from(part))
    }

    /// Index and number.
    fn parts(self) -> (u8, u8) {
        let first = |parts: u16| parts * (parts - 1) / 2;
        let fits = |parts: &u16| self.0 < first(*parts) + parts;
        let parts = (1..=u16::from(u8::MAX)).find(fits).unwrap_or(1);
        let part = self.0.saturating_sub(first(parts)).min(parts - 1);
        (part as u8, parts as u8)
    }
}

/// Part of a report of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkReport {
    part: PartOf,
    /// Time since the previous report, and mean time since the requests in it began, in
    /// hundredths of a second up to 1.27 s: seven bits each.
    times: u16,
    /// Replicas with requests.
    replicas: Vec<ReplicaWork>,
}

impl WorkReport {
    /// Adds the tokens begun, and how long ago that was, to a report of counts. `tokens`
    /// returns those of a replica.
    pub(super) fn new(
        counts: &LoadReport,
        begun_age: Duration,
        tokens: impl Fn(&ReplicaKey) -> f64,
    ) -> Self {
        let most = (1 << TIME_BITS) - 1;
        let scaled = |ms: u32| ms.div_ceil(TIME_UNIT_MS).min(most) as u16;
        let age_ms = u32::try_from(begun_age.as_millis()).unwrap_or(u32::MAX);
        let work = counts.replicas.iter().map(|it| ReplicaWork {
            replica: it.replica,
            epoch: it.epoch,
            requests: it.requests,
            begun: ScaledTokens::new(tokens(&it.key())),
        });
        Self {
            part: PartOf::new(counts.part, counts.parts),
            times: scaled(counts.covers_ms) << TIME_BITS | scaled(age_ms),
            replicas: work.collect(),
        }
    }

    fn covers_ms(&self) -> u32 {
        (u32::from(self.times) >> TIME_BITS) * TIME_UNIT_MS
    }

    /// Mean time from the begin of the requests to the report.
    fn begun_age(&self) -> Duration {
        let most = (1 << TIME_BITS) - 1;
        Duration::from_millis(u64::from((u32::from(self.times) & most) * TIME_UNIT_MS))
    }
}

/// Prompt tokens at a server.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ServerQueue {
    /// Tokens that wait.
    pub tokens: f64,
    /// Tokens that arrive in a second.
    pub tokens_per_s: f64,
    /// Tokens that arrive in a second and are in no queue.
    pub remote_tokens_per_s: f64,
}

#[derive(Debug)]
struct ReplicaQueue {
    queue: PrefillQueue,
    /// Mean prompt of the requests, once this gateway chose the replica for one.
    mean_prompt: f64,
}

impl Default for ReplicaQueue {
    fn default() -> Self {
        Self { queue: PrefillQueue::default(), mean_prompt: NOMINAL_PROMPT_TOKENS.into() }
    }
}

/// Queues of the replicas. Those without requests are forgotten, so that their number is
/// that of the replicas in use.
#[derive(Debug, Default)]
pub(super) struct ReplicaQueues {
    queues: HashMap<ReplicaKey, ReplicaQueue>,
    /// Tokens that the gateways of the zone began, for the sums of the zone.
    zone_tokens: HashMap<ReplicaKey, f64>,
}

impl ReplicaQueues {
    pub(super) fn at(
        &mut self,
        key: &ReplicaKey,
        speed: QueueSpeed,
        mean_prompt: f64,
        now: Time,
    ) -> ServerQueue {
        if !self.queues.contains_key(key) {
            self.queues.insert(key.clone(), ReplicaQueue::default());
        }
        let Some(it) = self.queues.get_mut(key) else { return ServerQueue::default() };
        it.mean_prompt = mean_prompt.max(1.0);
        it.queue.set_speed(speed);
        it.queue.advance(now);
        ServerQueue {
            tokens: it.queue.tokens(),
            tokens_per_s: it.queue.tokens_per_s(),
            remote_tokens_per_s: it.queue.remote_tokens_per_s(),
        }
    }

    /// Records a request of this gateway.
    pub(super) fn record_begun(&mut self, key: &ReplicaKey, prompt_tokens: u32, now: Time) {
        if let Some(it) = self.queues.get_mut(key) {
            it.queue.add(prompt_tokens.into(), Duration::ZERO, now);
        }
    }

    /// Records a report of counts, whose requests began `age` ago; none for the sums of
    /// another zone. Each request begun counts as a mean one.
    pub(super) fn record_counts(&mut self, age: Option<Duration>, report: &LoadReport, now: Time) {
        if self.queues.is_empty() {
            return;
        }
        for requests in report.replicas.iter().filter(|it| it.begun != 0) {
            let Some(it) = self.queues.get_mut(&requests.key()) else { continue };
            let tokens = f64::from(requests.begun) * it.mean_prompt;
            it.add(age, tokens, now);
        }
    }

    /// Records a report of work, of a gateway of the zone or the sums of another zone.
    pub(super) fn record_work(&mut self, in_zone: bool, report: &WorkReport, now: Time) {
        let age = in_zone.then(|| report.begun_age());
        for work in report.replicas.iter().filter(|it| it.begun.0 != 0) {
            let key = ReplicaKey { replica: work.replica, epoch: work.epoch };
            let tokens = work.begun.tokens();
            if let Some(it) = self.queues.get_mut(&key) {
                it.add(age, tokens, now);
            }
            if in_zone {
                *self.zone_tokens.entry(key).or_default() += tokens;
            }
        }
    }

    /// Report of counts with the same content.
    pub(super) fn counts(&self, report: &WorkReport) -> LoadReport {
        let replicas = report.replicas.iter().map(|it| {
            let key = ReplicaKey { replica: it.replica, epoch: it.epoch };
            let queue = self.queues.get(&key);
            let mean = queue.map_or(f64::from(NOMINAL_PROMPT_TOKENS), |it| it.mean_prompt);
            let begun = (it.begun.tokens() / mean).ceil() as u32;
            ReplicaRequests { replica: it.replica, epoch: it.epoch, requests: it.requests, begun }
        });
        let (part, parts) = report.part.parts();
        LoadReport { part, parts, covers_ms: report.covers_ms(), replicas: replicas.collect() }
    }

    pub(super) fn take_zone_tokens(&mut self) -> HashMap<ReplicaKey, f64> {
        std::mem::take(&mut self.zone_tokens)
    }

    pub(super) fn remove_idle(&mut self, now: Time) {
        self.queues.retain(|_, it| !it.queue.is_idle(now));
    }
}

impl ReplicaQueue {
    fn add(&mut self, age: Option<Duration>, tokens: f64, now: Time) {
        match age {
            Some(age) => self.queue.add(tokens, age, now),
            None => self.queue.add_remote(tokens, now),
        }
    }
}

#[cfg(test)]
mod tests;
