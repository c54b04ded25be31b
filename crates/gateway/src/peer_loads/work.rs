//! Work of requests in the reports between gateways.
//!
//! A report of work takes the place of a report of counts for a gateway that reads it.
//! It has the prompt tokens of the requests begun where that has their number, in no
//! more bytes.

use std::{collections::HashMap, time::Duration};

use citrongw_state::{
    id::{Epoch, ReplicaId},
    request_cost::{NOMINAL_PROMPT_TOKENS, prefill_queue::PrefillQueue},
    time::Time,
};
use serde::{Deserialize, Serialize};

use super::{LoadReport, ReplicaRequests};
use crate::fleet::ReplicaKey;

/// Unit of the covered time on the wire, so that it takes one byte up to 1.2 s.
const COVERS_UNIT_MS: u32 = 10;
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

/// Part of a report of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkReport {
    /// Index of this part.
    part: u8,
    /// Number of parts.
    parts: u8,
    /// Time since the previous report, in hundredths of a second.
    covers_cs: u32,
    /// Replicas with requests.
    replicas: Vec<ReplicaWork>,
}

impl WorkReport {
    /// Adds the tokens begun to a report of counts. `tokens` returns those of a replica.
    pub(super) fn new(counts: &LoadReport, tokens: impl Fn(&ReplicaKey) -> f64) -> Self {
        let work = counts.replicas.iter().map(|it| ReplicaWork {
            replica: it.replica,
            epoch: it.epoch,
            requests: it.requests,
            begun: ScaledTokens::new(tokens(&it.key())),
        });
        Self {
            part: counts.part,
            parts: counts.parts,
            covers_cs: counts.covers_ms.div_ceil(COVERS_UNIT_MS),
            replicas: work.collect(),
        }
    }

    pub(super) fn covers(&self) -> Duration {
        Duration::from_millis(u64::from(self.covers_cs) * u64::from(COVERS_UNIT_MS))
    }
}

/// Prompt tokens at a server.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ServerQueue {
    /// Tokens that wait.
    pub tokens: f64,
    /// Tokens that arrive in a second.
    pub tokens_per_s: f64,
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
        prefill_rate: f64,
        mean_prompt: f64,
        now: Time,
    ) -> ServerQueue {
        if !self.queues.contains_key(key) {
            self.queues.insert(key.clone(), ReplicaQueue::default());
        }
        let Some(it) = self.queues.get_mut(key) else { return ServerQueue::default() };
        it.mean_prompt = mean_prompt.max(1.0);
        it.queue.set_prefill_rate(prefill_rate);
        it.queue.advance(now);
        ServerQueue { tokens: it.queue.tokens(), tokens_per_s: it.queue.tokens_per_s() }
    }

    /// Records a request of this gateway.
    pub(super) fn record_begun(&mut self, key: &ReplicaKey, prompt_tokens: u32, now: Time) {
        if let Some(it) = self.queues.get_mut(key) {
            it.queue.add(prompt_tokens.into(), Duration::ZERO, now);
        }
    }

    /// Records a report of counts, whose requests began within `latest`; none for the
    /// sums of another zone. Each request begun counts as a mean one.
    pub(super) fn record_counts(
        &mut self,
        latest: Option<Duration>,
        report: &LoadReport,
        now: Time,
    ) {
        if self.queues.is_empty() {
            return;
        }
        for requests in report.replicas.iter().filter(|it| it.begun != 0) {
            let Some(it) = self.queues.get_mut(&requests.key()) else { continue };
            let tokens = f64::from(requests.begun) * it.mean_prompt;
            it.add(latest, tokens, now);
        }
    }

    /// Records a report of work, as one of counts.
    pub(super) fn record_work(&mut self, latest: Option<Duration>, report: &WorkReport, now: Time) {
        for work in report.replicas.iter().filter(|it| it.begun.0 != 0) {
            let key = ReplicaKey { replica: work.replica, epoch: work.epoch };
            let tokens = work.begun.tokens();
            if let Some(it) = self.queues.get_mut(&key) {
                it.add(latest, tokens, now);
            }
            if latest.is_some() {
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
        LoadReport {
            part: report.part,
            parts: report.parts,
            covers_ms: report.covers_cs.saturating_mul(COVERS_UNIT_MS),
            replicas: replicas.collect(),
        }
    }

    pub(super) fn take_zone_tokens(&mut self) -> HashMap<ReplicaKey, f64> {
        std::mem::take(&mut self.zone_tokens)
    }

    pub(super) fn remove_idle(&mut self, now: Time) {
        self.queues.retain(|_, it| !it.queue.is_idle(now));
    }
}

impl ReplicaQueue {
    fn add(&mut self, latest: Option<Duration>, tokens: f64, now: Time) {
        match latest {
            Some(latest) => self.queue.add(tokens, latest, now),
            None => self.queue.add_remote(tokens, now),
        }
    }
}

#[cfg(test)]
mod tests;
