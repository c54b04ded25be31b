//! Expected cost of callers' requests, and what is learned from their responses.
//!
//! For gateways that each serve a few requests a second. The state is that of one gateway:
//! all see the same mix of requests, so nothing is exchanged. There is one short lock at
//! the start and at the end of a request.

use std::{sync::Mutex, time::Duration};

use citrongw_state::{
    id::ModelId,
    request_cost::{
        EngineFigures, ExpectedCost, StatedCost,
        learned::{CostKey, LearnedCosts},
    },
    time::Time,
};

use crate::{fleet::work::RequestWork, gateway_config::EngineSpec, lock::lock};

/// Time that a server of another zone must gain for each 1,000 tokens of a request and
/// its response, whose bytes between zones are billed: about 4 KB.
const CROSSING_MS_PER_K_TOKENS: f64 = 1.0;

/// Expected cost of one request, with what the choice of a server needs beside it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallCost {
    key: CostKey,
    stated: StatedCost,
    /// Figures of the engine, with the pace of the model.
    pub figures: EngineFigures,
    /// Expected cost of the request.
    pub expected: ExpectedCost,
    /// Mean cost of the requests of the model and route.
    pub mean: ExpectedCost,
    /// Factor between predicted and observed times.
    pub time_factor: f64,
    /// Time that a server of another zone must gain.
    pub crossing: Duration,
}

impl CallCost {
    /// Work that the request is for a server.
    pub fn work(&self) -> RequestWork {
        RequestWork {
            prompt_tokens: self.expected.prompt_tokens as u32,
            output_tokens: self.expected.output_tokens as u32,
            event_tokens: self.figures.stride as u32,
        }
    }
}

/// Learned costs of requests.
#[derive(Debug)]
pub struct RequestCosts {
    zone_penalty: Duration,
    learned: Mutex<LearnedCosts>,
}

/// Creates the costs of a gateway that has learned nothing.
pub fn open(zone_penalty: Duration) -> RequestCosts {
    RequestCosts { zone_penalty, learned: Mutex::default() }
}

impl RequestCosts {
    /// Expects the cost of a request. None if the figures of the engine or the mean cost
    /// are not known: then requests are counted.
    pub fn expect(
        &self,
        engine: &EngineSpec,
        model: &ModelId,
        route: &str,
        stated: StatedCost,
    ) -> Option<CallCost> {
        let pace = engine.model(model)?.pace;
        let figures = EngineFigures { pace, ..engine.figures? };
        if !figures.are_usable() {
            return None;
        }
        let key = CostKey::new(model, route);
        let learned = lock(&self.learned);
        let mean = learned.mean(key, &figures)?;
        let expected = learned.expect(key, stated, &mean);
        let time_factor = learned.time_factor(key);
        drop(learned);
        let tokens = expected.prompt_tokens + expected.output_tokens;
        let bytes_ms = CROSSING_MS_PER_K_TOKENS * tokens / 1_000.0;
        let crossing = self.zone_penalty + Duration::from_secs_f64(bytes_ms / 1_000.0);
        Some(CallCost { key, stated, figures, expected, mean, time_factor, crossing })
    }

    /// Records a complete response of `events` events. `time_factor` is the time to its
    /// first event relative to the prediction, if there was one.
    pub fn record(&self, cost: &CallCost, events: u32, time_factor: Option<f64>, now: Time) {
        let output_tokens = f64::from(events) * cost.figures.stride;
        lock(&self.learned).record(cost.key, cost.stated, output_tokens, time_factor, now);
    }
}

#[cfg(test)]
mod tests;
