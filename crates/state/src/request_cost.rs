//! Expected cost of requests to inference engines, and the time to the first event.
//!
//! For engines that work in passes: between the token steps of a pass, waiting prompts
//! are prefilled, at most a chunk a step. Events are sent once a pass. So far below full
//! slots, the time to the first event follows from the prompts that wait before it and
//! from the length of the passes, not from the number of free slots.

pub mod learned;
pub mod prefill_queue;

use self::prefill_queue::QueueSpeed;

/// Largest share of an engine's time that prefill is assumed to take. Passes would be
/// infinitely long at one.
const MAX_PREFILL_SHARE: f64 = 0.8;
/// Number of tokens in the unit of the figures per thousand tokens.
const TOKENS_PER_K: f64 = 1_000.0;
/// Number of token pairs in the unit of the figure per million pairs.
const PAIRS_PER_M: f64 = 1e6;
const MS_PER_S: f64 = 1_000.0;
/// Uncertainty of the number of requests at a server, which is known by late reports. With
/// none, servers near full slots count as free: 0.6% were late in the played load with many
/// replicas, against 0.3% by requests.
const REQUESTS_UNCERTAINTY: f64 = 1.5;

/// Prompt tokens that a request counts for where no cost is known, in the exchange of
/// loads between gateways.
pub const NOMINAL_PROMPT_TOKENS: u32 = 1_024;

/// Speed of an engine with one model, as its operators state it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineFigures {
    /// Base time of a token step, in milliseconds.
    pub step_ms: f64,
    /// Time that each generating request adds to a step, in milliseconds.
    pub per_request_ms: f64,
    /// Time that each 1,000 tokens of context of a generating request add to a step, in
    /// milliseconds.
    pub context_ms_per_k: f64,
    /// Prompt tokens prefilled in a second.
    pub prefill_tokens_per_s: f64,
    /// Time for a million pairs of a prompt token and an earlier one, in milliseconds.
    pub pairs_ms_per_m: f64,
    /// Limit on the prompt tokens prefilled in a step.
    pub chunk_tokens: f64,
    /// Token steps of a pass.
    pub stride: f64,
    /// Tokens of context that fit into the memory of the engine.
    pub kv_capacity_tokens: Option<f64>,
    /// Mean tokens of a prompt, as stated.
    pub usual_prompt_tokens: Option<f64>,
    /// Mean tokens of an output, as stated.
    pub usual_output_tokens: Option<f64>,
    /// Factor of the model on all times.
    pub pace: f64,
}

/// Cost that the caller states for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StatedCost {
    /// Tokens of the prompt.
    pub prompt_tokens: Option<u32>,
    /// Maximum of the output tokens.
    pub max_output_tokens: Option<u32>,
    /// Estimate of the output tokens.
    pub output_tokens: Option<u32>,
}

/// Expected cost of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExpectedCost {
    /// Tokens of the prompt.
    pub prompt_tokens: f64,
    /// Tokens of the output.
    pub output_tokens: f64,
    /// Standard deviation of the output tokens.
    pub output_spread: f64,
}

/// What a server has to do when a request arrives there.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerWork {
    /// Requests running or waiting.
    pub requests: f64,
    /// Requests that run at once.
    pub slots: f64,
    /// Prompt tokens that are not prefilled.
    pub queued_tokens: f64,
    /// Prompt tokens that arrive in a second.
    pub tokens_per_s: f64,
    /// Mean of the output tokens that a request there still has to generate.
    pub remaining_output_tokens: f64,
}

/// Prediction for a request at a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prediction {
    /// Time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Time between two events, in milliseconds.
    pub event_gap_ms: f64,
    /// Time that one more mean request at the server adds to the first, in milliseconds.
    pub per_request_ms: f64,
}

impl EngineFigures {
    /// Whether the figures describe an engine whose work can be predicted.
    pub fn are_usable(&self) -> bool {
        let positive =
            [self.step_ms, self.prefill_tokens_per_s, self.chunk_tokens, self.stride, self.pace];
        let not_negative = [self.per_request_ms, self.context_ms_per_k, self.pairs_ms_per_m];
        positive.iter().all(|it| it.is_finite() && 0.0 < *it)
            && not_negative.iter().all(|it| it.is_finite() && 0.0 <= *it)
    }

    /// Prompt tokens that the engine prefills in a second while it does nothing else.
    pub fn prefill_rate(&self) -> f64 {
        self.prefill_tokens_per_s / self.pace
    }

    /// Requests that run at once: the slots, or fewer if their contexts do not fit.
    pub fn usable_slots(&self, slots: f64, mean: &ExpectedCost) -> f64 {
        let context = (mean.prompt_tokens + mean.output_tokens).max(1.0);
        let fitting = self.kv_capacity_tokens.map_or(slots, |it| it / context);
        slots.min(fitting).max(1.0)
    }

    /// Time of a token step with `generating` requests, in milliseconds.
    fn step_time(&self, generating: f64, mean: &ExpectedCost) -> f64 {
        let context_k = (mean.prompt_tokens + mean.output_tokens / 2.0) / TOKENS_PER_K;
        let per_request = self.per_request_ms + self.context_ms_per_k * context_k;
        self.pace * (self.step_ms + generating * per_request)
    }

    /// Predicts how a request is served by a server. `mean` is the mean cost of the
    /// requests there.
    pub fn predict(
        &self,
        request: &ExpectedCost,
        mean: &ExpectedCost,
        work: &ServerWork,
    ) -> Prediction {
        let generating = work.requests.min(work.slots);
        let step_ms = self.step_time(generating + 1.0, mean);
        let prefill_share = (work.tokens_per_s / self.prefill_rate()).min(MAX_PREFILL_SHARE);
        let event_gap_ms = self.stride * step_ms / (1.0 - prefill_share);
        let tokens_before = work.queued_tokens + request.prompt_tokens;
        let ms_per_token = MS_PER_S / self.prefill_rate() + step_ms / self.chunk_tokens;
        let pairs = request.prompt_tokens * request.prompt_tokens / 2.0;
        let pairs_ms = self.pace * self.pairs_ms_per_m * pairs / PAIRS_PER_M;
        // The request joins a pass that has begun, unless the engine is idle.
        let joining_ms = event_gap_ms / 2.0 * generating.min(1.0);
        // A request holds its slot for twice the mean time that is left.
        let passes = 2.0 * work.remaining_output_tokens / self.stride;
        let slot_ms = passes * event_gap_ms / work.slots;
        // Mean of the requests beyond the slots, if their number is that uncertain.
        let beyond = (work.requests + 1.0 - work.slots) / REQUESTS_UNCERTAINTY;
        let waiting = REQUESTS_UNCERTAINTY * (beyond.max(0.0) + (-beyond.abs()).exp().ln_1p());
        let waiting_share = 1.0 / (1.0 + (-beyond).exp());
        let step_of_one = self.step_time(1.0, mean) - self.step_time(0.0, mean);
        let passes_to_first = event_gap_ms * 1.5 / step_ms;
        let per_request_ms = mean.prompt_tokens * ms_per_token
            + step_of_one * passes_to_first
            + waiting_share * slot_ms;
        Prediction {
            first_event_ms: waiting * slot_ms
                + joining_ms
                + tokens_before * ms_per_token
                + pairs_ms
                + event_gap_ms,
            event_gap_ms,
            per_request_ms,
        }
    }

    /// Expected prompt tokens in the queue of a server about which only the rate of its
    /// prompt tokens is known: those that arrive in a pass.
    pub fn mean_queued_tokens(&self, tokens_per_s: f64, speed: &QueueSpeed) -> f64 {
        let share = (tokens_per_s / speed.prefill_rate).min(MAX_PREFILL_SHARE);
        share * speed.prefill_rate * speed.pass_s / (1.0 - share)
    }

    /// Speed of a server with `generating` requests.
    pub fn queue_speed(&self, generating: f64, mean: &ExpectedCost) -> QueueSpeed {
        let pass_s = self.stride * self.step_time(generating, mean) / MS_PER_S;
        QueueSpeed { prefill_rate: self.prefill_rate(), pass_s }
    }
}

#[cfg(test)]
mod tests;
