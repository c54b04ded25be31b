//! Engine that processes requests in passes, in virtual time.
//!
//! A pass reads up to a chunk of prompt tokens and decodes a fixed number of
//! tokens for each writing request. A request occupies a slot from its first
//! prompt token to its last output token. The model covers what a choice of
//! servers influences: slots, reading, and the length of passes. It leaves out
//! memory, preemption and failures.

use std::{collections::VecDeque, time::Duration};

use citrongw_state::time::Time;

/// Speed and capacity of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpeed {
    /// Requests that run at once.
    pub slots: usize,
    /// Decoding steps of one pass.
    pub stride: u32,
    /// Base time of a step.
    pub step: Duration,
    /// Time that each writing request adds to a step.
    pub step_per_request: Duration,
    /// Prompt tokens read in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Limit on the prompt tokens read in one pass.
    pub chunk_tokens: u32,
    /// Constant time before the first event of each request.
    pub first_event_overhead: Duration,
    /// Factor on all times.
    pub pace: f64,
}

/// Request at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineRequest {
    /// Number of the request, unique within a run.
    pub id: u64,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Output tokens.
    pub output_tokens: u32,
}

/// Progress of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// The first event was sent.
    First {
        /// Number of the request.
        id: u64,
        /// When it was sent.
        at: Time,
    },
    /// The last event was sent.
    Last {
        /// Number of the request.
        id: u64,
        /// When it was sent.
        at: Time,
    },
}

#[derive(Debug)]
struct Running {
    request: EngineRequest,
    unread_tokens: u32,
    unwritten_tokens: u32,
}

/// Simulated engine.
#[derive(Debug)]
pub struct PassEngine {
    speed: EngineSpeed,
    waiting: VecDeque<EngineRequest>,
    running: Vec<Running>,
    pass_ends_at: Option<Time>,
}

/// Creates an idle engine.
pub fn open(speed: EngineSpeed) -> PassEngine {
    PassEngine { speed, waiting: VecDeque::new(), running: Vec::new(), pass_ends_at: None }
}

impl PassEngine {
    /// Requests running and waiting.
    pub fn load(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Submits a request at `now`, which is not before the last `advance`.
    pub fn submit(&mut self, request: EngineRequest, now: Time) {
        self.waiting.push_back(request);
        if self.pass_ends_at.is_none() {
            self.begin_pass(now);
        }
    }

    /// Finishes all passes that end by `now` and appends their events.
    pub fn advance(&mut self, now: Time, events: &mut Vec<EngineEvent>) {
        while let Some(at) = self.pass_ends_at.filter(|at| *at <= now) {
            self.end_pass(at, events);
            self.begin_pass(at);
        }
    }

    fn begin_pass(&mut self, now: Time) {
        while self.running.len() < self.speed.slots
            && let Some(request) = self.waiting.pop_front()
        {
            self.running.push(Running {
                request,
                unread_tokens: request.prompt_tokens,
                unwritten_tokens: request.output_tokens,
            });
        }
        if self.running.is_empty() {
            self.pass_ends_at = None;
            return;
        }
        let writing = self.running.iter().filter(|it| it.unread_tokens == 0).count();
        let unread: u32 = self.running.iter().map(|it| it.unread_tokens).sum();
        let read = f64::from(unread.min(self.speed.chunk_tokens));
        let step = self.speed.step + self.speed.step_per_request * writing as u32;
        let steps = if writing == 0 { 1 } else { self.speed.stride };
        let reading = Duration::from_secs_f64(read / self.speed.read_tokens_per_ms / 1_000.0);
        self.pass_ends_at = Some(now + (step * steps + reading).mul_f64(self.speed.pace));
    }

    fn end_pass(&mut self, at: Time, events: &mut Vec<EngineEvent>) {
        let first_at = at + self.speed.first_event_overhead.mul_f64(self.speed.pace);
        let mut chunk = self.speed.chunk_tokens;
        for it in &mut self.running {
            if it.unread_tokens == 0 {
                it.unwritten_tokens = it.unwritten_tokens.saturating_sub(self.speed.stride);
                continue;
            }
            let read = it.unread_tokens.min(chunk);
            chunk -= read;
            it.unread_tokens -= read;
            if it.unread_tokens == 0 {
                it.unwritten_tokens = it.unwritten_tokens.saturating_sub(1);
                events.push(EngineEvent::First { id: it.request.id, at: first_at });
            }
        }
        let is_done = |it: &Running| it.unread_tokens == 0 && it.unwritten_tokens == 0;
        let done = self.running.iter().filter(|it| is_done(it));
        events.extend(done.map(|it| EngineEvent::Last { id: it.request.id, at: first_at }));
        self.running.retain(|it| !is_done(it));
    }
}

#[cfg(test)]
mod tests;
