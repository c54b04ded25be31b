//! Engine that prefills prompts between the token steps of its passes, in virtual time.
//!
//! A request joins at the start of a pass, generates from the pass after the one in which
//! its prompt was prefilled, and sends an event at the end of each pass.

use std::{collections::VecDeque, time::Duration};

use citrongw_state::{request_cost::EngineFigures, time::Time};

/// Request at an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineRequest {
    pub(crate) id: u64,
    pub(crate) prompt_tokens: f64,
    pub(crate) events: u32,
}

/// Event of a response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineEvent {
    pub(crate) id: u64,
    pub(crate) at: Time,
    pub(crate) is_last: bool,
}

#[derive(Debug)]
struct Running {
    id: u64,
    prompt_tokens: f64,
    unread: f64,
    events_left: u32,
}

#[derive(Debug)]
pub(crate) struct Engine {
    figures: EngineFigures,
    slots: usize,
    /// Factor on all times that the operators' figures do not state.
    slow: f64,
    waiting: VecDeque<EngineRequest>,
    running: Vec<Running>,
    pass_ends_at: Option<Time>,
    /// Requests that generate in the present pass: the first ones of `running`.
    generating: usize,
}

impl Engine {
    pub(crate) fn new(figures: EngineFigures, slots: usize, slow: f64) -> Self {
        Self {
            figures,
            slots,
            slow,
            waiting: VecDeque::new(),
            running: Vec::new(),
            pass_ends_at: None,
            generating: 0,
        }
    }

    /// Requests running and waiting.
    pub(crate) fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Prompt tokens that are not prefilled when the present pass ends.
    pub(crate) fn unread(&self) -> f64 {
        let waiting: f64 = self.waiting.iter().map(|it| it.prompt_tokens).sum();
        waiting + self.running.iter().map(|it| it.unread).sum::<f64>()
    }

    pub(crate) fn submit(&mut self, request: EngineRequest, now: Time) {
        self.waiting.push_back(request);
        if self.pass_ends_at.is_none() {
            self.begin_pass(now);
        }
    }

    /// Finishes the passes that end by `now`.
    pub(crate) fn advance(&mut self, now: Time, events: &mut Vec<EngineEvent>) {
        while let Some(at) = self.pass_ends_at.filter(|at| *at <= now) {
            for it in self.running.iter_mut().take(self.generating) {
                it.events_left -= 1;
                events.push(EngineEvent { id: it.id, at, is_last: it.events_left == 0 });
            }
            self.running.retain(|it| it.events_left != 0);
            self.begin_pass(at);
        }
    }

    fn begin_pass(&mut self, now: Time) {
        while self.running.len() < self.slots
            && let Some(request) = self.waiting.pop_front()
        {
            self.running.push(Running {
                id: request.id,
                prompt_tokens: request.prompt_tokens,
                unread: request.prompt_tokens,
                events_left: request.events,
            });
        }
        if self.running.is_empty() {
            self.pass_ends_at = None;
            self.generating = 0;
            return;
        }
        // Prompts are prefilled in order, so those that generate are the first ones.
        self.generating = self.running.iter().take_while(|it| it.unread <= 0.0).count();
        let figures = self.figures;
        let step_ms = figures.step_ms + self.generating as f64 * figures.per_request_ms;
        let steps = if self.generating == 0 { 1.0 } else { figures.stride };
        let mut pass_ms = step_ms * steps;
        let mut chunks = figures.chunk_tokens * steps;
        for it in &mut self.running[self.generating..] {
            let read = it.unread.min(chunks);
            chunks -= read;
            it.unread -= read;
            pass_ms += read / figures.prefill_tokens_per_s * 1_000.0;
            pass_ms += read * it.prompt_tokens / 2e6 * figures.pairs_ms_per_m;
        }
        let pass_ms = pass_ms * figures.pace * self.slow;
        self.pass_ends_at = Some(now + Duration::from_secs_f64(pass_ms / 1_000.0));
    }
}
