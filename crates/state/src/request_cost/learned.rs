//! Costs of requests learned from responses, by model and route.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
};

use super::{EngineFigures, ExpectedCost, StatedCost};
use crate::{id::ModelId, time::Time};

/// Limit on the models and routes that figures are kept for: about 100 bytes each.
const MAX_KEYS: usize = 512;
/// Weight of a new value in an average.
const WEIGHT: f64 = 0.03;
/// Responses after which the averages count.
const MIN_RESPONSES: u32 = 8;
/// Bounds of the factor that corrects estimates of callers.
const HINT_FACTOR: std::ops::RangeInclusive<f64> = 0.2..=5.0;
/// Bounds of the factor between predicted and observed times.
const TIME_FACTOR: std::ops::RangeInclusive<f64> = 0.5..=4.0;
/// Spread of an output relative to its length where nothing is learned: that of an
/// exponential distribution.
const UNKNOWN_SPREAD: f64 = 1.0;

/// Model and route of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CostKey(u64);

impl CostKey {
    /// Key of a model's requests on a route.
    pub fn new(model: &ModelId, route: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        (model, route).hash(&mut hasher);
        Self(hasher.finish())
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Averages {
    responses: u32,
    /// Requests that stated their prompt tokens.
    prompts: u32,
    prompt_tokens: f64,
    output_tokens: f64,
    squared_output_tokens: f64,
    /// Output tokens relative to the caller's estimate, and how many stated one.
    hint_factor: f64,
    hints: u32,
    /// Observed relative to predicted times to the first event.
    time_factor: f64,
    predictions: u32,
    used_at: Time,
}

/// Averages by model and route, in bounded memory.
#[derive(Debug, Default)]
pub struct LearnedCosts {
    averages: HashMap<CostKey, Averages>,
}

fn average(mean: f64, value: f64, count: u32) -> f64 {
    let weight = (1.0 / f64::from(count)).max(WEIGHT);
    mean + weight * (value - mean)
}

impl LearnedCosts {
    /// Records a request whose response is complete.
    /// `time_factor` is its time to the first event relative to the predicted one.
    pub fn record(
        &mut self,
        key: CostKey,
        stated: StatedCost,
        output_tokens: f64,
        time_factor: Option<f64>,
        now: Time,
    ) {
        if MAX_KEYS <= self.averages.len() && !self.averages.contains_key(&key) {
            let oldest = self.averages.iter().min_by_key(|(_, it)| it.used_at);
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.averages.remove(&oldest);
            }
        }
        let it = self.averages.entry(key).or_default();
        it.used_at = now;
        it.responses = it.responses.saturating_add(1);
        if let Some(tokens) = stated.prompt_tokens {
            it.prompts = it.prompts.saturating_add(1);
            it.prompt_tokens = average(it.prompt_tokens, f64::from(tokens), it.prompts);
        }
        it.output_tokens = average(it.output_tokens, output_tokens, it.responses);
        let squared = output_tokens * output_tokens;
        it.squared_output_tokens = average(it.squared_output_tokens, squared, it.responses);
        if let Some(hint) = stated.output_tokens {
            it.hints = it.hints.saturating_add(1);
            let factor = output_tokens / f64::from(hint.max(1));
            let factor = factor.clamp(*HINT_FACTOR.start(), *HINT_FACTOR.end());
            it.hint_factor = average(it.hint_factor, factor, it.hints);
        }
        if let Some(factor) = time_factor.filter(|it| it.is_finite()) {
            it.predictions = it.predictions.saturating_add(1);
            let factor = factor.clamp(*TIME_FACTOR.start(), *TIME_FACTOR.end());
            it.time_factor = average(it.time_factor, factor, it.predictions);
        }
    }

    /// Mean cost of the requests: as learned, or as the operators state it. None if
    /// neither is known.
    pub fn mean(&self, key: CostKey, figures: &EngineFigures) -> Option<ExpectedCost> {
        let learned = self.averages.get(&key).filter(|it| MIN_RESPONSES <= it.responses);
        let prompt = learned.filter(|it| MIN_RESPONSES <= it.prompts).map(|it| it.prompt_tokens);
        let output = learned.map(|it| it.output_tokens);
        let output_tokens = output.or(figures.usual_output_tokens)?;
        let output_spread = learned.map_or(output_tokens * UNKNOWN_SPREAD, |it| {
            (it.squared_output_tokens - it.output_tokens * it.output_tokens).max(0.0).sqrt()
        });
        let prompt_tokens = prompt.or(figures.usual_prompt_tokens)?;
        Some(ExpectedCost { prompt_tokens, output_tokens, output_spread })
    }

    /// Factor between predicted and observed times to the first event; 1 until it is
    /// learned.
    pub fn time_factor(&self, key: CostKey) -> f64 {
        let learned = self.averages.get(&key).filter(|it| MIN_RESPONSES <= it.predictions);
        learned.map_or(1.0, |it| it.time_factor)
    }

    /// Expected cost of a request: as stated, corrected by what is learned, or else the
    /// mean.
    pub fn expect(&self, key: CostKey, stated: StatedCost, mean: &ExpectedCost) -> ExpectedCost {
        let learned = self.averages.get(&key);
        let factor = learned.filter(|it| MIN_RESPONSES <= it.hints).map(|it| it.hint_factor);
        let hinted = stated.output_tokens.map(|it| f64::from(it) * factor.unwrap_or(1.0));
        let most = stated.max_output_tokens.map_or(f64::INFINITY, f64::from);
        ExpectedCost {
            prompt_tokens: stated.prompt_tokens.map_or(mean.prompt_tokens, f64::from),
            output_tokens: hinted.unwrap_or(mean.output_tokens).min(most),
            output_spread: mean.output_spread,
        }
    }
}

#[cfg(test)]
mod tests;
