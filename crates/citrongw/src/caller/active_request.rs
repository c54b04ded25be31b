//! A request in progress: attempts on replicas, deadlines, and the resumption of
//! broken or unresponsive streams.
//!
//! Until a part of the response has been sent to the caller, the request may run
//! again on another replica. After that it is resumed on the same replica or fails.
//! Every error states correctly whether the request may have run.

mod hedge;
mod recover;

use std::{sync::Arc, time::Duration};

use citrongw_protocol::{
    code::{Outcome, ResultCode},
    engine::{Chunk, EngineError, EngineResult},
};
use citrongw_state::{concurrency::Sample, time::Time};
use tokio::sync::watch;

use super::{
    attempt::Attempt,
    queue,
    refusal::Failure,
    route::RouteCriteria,
    suspects,
    work::{Work, suspicion_deadline},
};
use crate::node::Shared;

/// Time to first token that the concurrency limit of a replica aims for.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(520);

/// Part of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ResponsePart {
    /// One token.
    Token(String),
    /// Regular end of the response.
    End {
        /// Number of tokens in the whole response.
        tokens: u64,
        /// Reason why generation ended.
        reason: String,
    },
    /// All parts so far are invalid; the response starts again.
    Restart,
}

/// Request in progress. Dropping it before the end cancels the running attempt.
pub(super) struct ActiveRequest {
    shared: Arc<Shared>,
    work: Work,
    criteria: Arc<RouteCriteria>,
    attempt: Option<Attempt>,
    abort_rx: watch::Receiver<bool>,
    attempts: u32,
    retries_left: u32,
    next_sequence: u64,
    /// Whether a backend server may have run the request.
    may_have_run: bool,
    /// Whether a part of the response has been sent to the caller.
    response_started: bool,
    /// Whether the attempt was already suspected during the current wait.
    suspected: bool,
    /// Whether a hedged attempt was started.
    hedged: bool,
    waiting_since: Time,
}

/// Outcome of waiting for the next chunk.
enum ChunkResult {
    Chunk(Chunk),
    /// The engine did not run the request.
    NotRun,
    Interrupted(ResultCode),
    Unresponsive,
}

/// Position of a chunk relative to the expected one.
enum ChunkOrder {
    /// The chunk is the next one.
    Next(ResponsePart),
    /// The chunk was received before.
    Duplicate,
    /// Chunks are missing before this one.
    OutOfOrder,
}

/// Opens a request. Nothing is sent before its first part is polled.
pub(super) fn open(shared: Arc<Shared>, work: Work, criteria: RouteCriteria) -> ActiveRequest {
    let now = shared.clock.now();
    ActiveRequest {
        abort_rx: shared.abort_tx.subscribe(),
        criteria: Arc::new(criteria),
        attempt: None,
        attempts: 0,
        retries_left: work.profile().retries,
        next_sequence: 0,
        may_have_run: false,
        response_started: false,
        suspected: false,
        hedged: false,
        waiting_since: now,
        work,
        shared,
    }
}

impl ActiveRequest {
    /// Request with its caller and limits.
    pub(super) fn work(&self) -> &Work {
        &self.work
    }

    /// Records that the parts returned so far are sent to the caller, so that the
    /// response can't be restarted.
    pub(super) fn mark_started(&mut self) {
        self.response_started = true;
    }

    /// Returns the first part of the response, and skips restarts before it.
    pub(super) async fn first(&mut self) -> Result<ResponsePart, Failure> {
        loop {
            match self.next().await? {
                ResponsePart::Restart => {}
                part => return Ok(part),
            }
        }
    }

    /// Returns the next part of the response, in order, without gaps or duplicates.
    pub(super) async fn next(&mut self) -> Result<ResponsePart, Failure> {
        self.waiting_since = self.shared.clock.now();
        self.suspected = false;
        let mut abort_rx = self.abort_rx.clone();
        let res = tokio::select! {
            biased;
            res = self.advance() => res,
            _ = abort_rx.wait_for(|it| *it) => Err(ResultCode::NodeEnded.into()),
        };
        res.map_err(|failure| {
            let attempt = self.attempt.take();
            self.may_have_run |= attempt.as_ref().is_some_and(Attempt::may_have_run);
            self.correct_outcome(failure)
        })
    }

    /// Replaces a code that is wrong about whether the request may have run.
    fn correct_outcome(&self, failure: Failure) -> Failure {
        match (failure.code, failure.code.outcome()) {
            (ResultCode::NodeEnded, _) if !self.may_have_run => ResultCode::Stopping.into(),
            (_, Outcome::NotRun) if self.may_have_run => ResultCode::BrokenOff.into(),
            _ => failure,
        }
    }

    async fn advance(&mut self) -> Result<ResponsePart, Failure> {
        let mut restarted = false;
        loop {
            if self.attempt.is_none() {
                self.start().await?;
                restarted |= self.next_sequence != 0;
                self.next_sequence = 0;
            }
            if restarted {
                return Ok(ResponsePart::Restart);
            }
            match self.next_chunk().await? {
                ChunkResult::Chunk(chunk) => match self.order_chunk(chunk) {
                    ChunkOrder::Next(part) => return Ok(part),
                    ChunkOrder::Duplicate => {}
                    ChunkOrder::OutOfOrder => self.recover(ResultCode::BrokenOff).await?,
                },
                ChunkResult::NotRun => self.try_another_replica().await?,
                ChunkResult::Interrupted(code) => self.recover(code).await?,
                ChunkResult::Unresponsive => self.recover(ResultCode::DeadlinePassed).await?,
            }
        }
    }

    /// Prepares an attempt on a replica that was not tried yet. The request is sent
    /// when the first chunk is polled.
    async fn start(&mut self) -> Result<(), Failure> {
        let permit = queue::admit(&self.shared, &self.work, &self.criteria).await?;
        self.attempts += 1;
        Arc::make_mut(&mut self.criteria).tried.push(permit.replica.entry.spec.id);
        self.attempt = Some(Attempt::new(&self.shared, &self.work, permit, self.attempts));
        self.suspected = false;
        Ok(())
    }

    /// Waits for a chunk until the deadline, or until the attempt is suspected.
    async fn next_chunk(&mut self) -> Result<ChunkResult, Failure> {
        let deadline = self.deadline();
        let suspect_at = self.suspicion_deadline(deadline);
        let wake_at = self.shared.clock.instant(suspect_at.min(deadline));
        let received = match self.hedge_at() {
            Some(at) if at < suspect_at => {
                tokio::time::timeout_at(wake_at, self.next_hedged_chunk(at)).await
            }
            _ => {
                let Some(attempt) = &mut self.attempt else {
                    return Err(ResultCode::BrokenOff.into());
                };
                tokio::time::timeout_at(wake_at, attempt.next(&self.work)).await
            }
        };
        let Ok(item) = received else {
            self.record_timeout();
            return if suspect_at < deadline {
                Ok(ChunkResult::Unresponsive)
            } else {
                Err(ResultCode::DeadlinePassed.into())
            };
        };
        Ok(self.process_chunk(item))
    }

    /// Classifies an item of the attempt's stream, and updates the breaker and the
    /// concurrency limit of its replica.
    fn process_chunk(&mut self, item: Option<EngineResult<Chunk>>) -> ChunkResult {
        let Some(attempt) = &self.attempt else {
            return ChunkResult::Interrupted(ResultCode::BrokenOff);
        };
        let (replica, now) = (attempt.replica(), self.shared.clock.now());
        let error = match item {
            Some(Ok(chunk)) => {
                self.may_have_run = true;
                if self.next_sequence == 0 {
                    self.record_first_token();
                }
                return ChunkResult::Chunk(chunk);
            }
            Some(Err(error)) => error,
            None => EngineError::BrokenOff,
        };
        match error {
            EngineError::NotReached => {
                replica.breaker.record_result(now, false);
                ChunkResult::NotRun
            }
            EngineError::Refused { .. } => {
                replica.limit.add(Sample::Overloaded, attempt.in_flight(), FIRST_TOKEN_TARGET, now);
                ChunkResult::NotRun
            }
            EngineError::BrokenOff => {
                self.may_have_run = true;
                ChunkResult::Interrupted(ResultCode::BrokenOff)
            }
            EngineError::Failed { .. } => {
                replica.breaker.record_result(now, false);
                self.may_have_run = true;
                ChunkResult::Interrupted(ResultCode::EngineError)
            }
        }
    }

    fn record_first_token(&self) {
        let Some(attempt) = &self.attempt else { return };
        let now = self.shared.clock.now();
        self.shared.metrics.add_first_token(now.since(self.work.arrived_at));
        let took = now.since(attempt.started_at());
        let target = FIRST_TOKEN_TARGET.min(self.work.profile().first_token() / 2);
        let replica = attempt.replica();
        replica.breaker.record_result(now, true);
        replica.limit.add(Sample::FirstToken(took), attempt.in_flight(), target, now);
        self.work.caller.profile.group.first_token_p95.add(took);
    }

    fn record_timeout(&self) {
        let Some(attempt) = &self.attempt else { return };
        if self.next_sequence == 0 {
            let (replica, now) = (attempt.replica(), self.shared.clock.now());
            replica.limit.add(Sample::Overloaded, attempt.in_flight(), FIRST_TOKEN_TARGET, now);
        }
    }

    /// Compares a chunk with the next expected sequence number.
    fn order_chunk(&mut self, chunk: Chunk) -> ChunkOrder {
        match chunk {
            Chunk::Token { sequence, .. } if sequence < self.next_sequence => ChunkOrder::Duplicate,
            Chunk::Token { sequence, text } if sequence == self.next_sequence => {
                self.next_sequence += 1;
                ChunkOrder::Next(ResponsePart::Token(text))
            }
            Chunk::End { tokens, reason, .. } if tokens == self.next_sequence => {
                self.record_end();
                ChunkOrder::Next(ResponsePart::End { tokens, reason })
            }
            Chunk::Token { .. } | Chunk::End { .. } => ChunkOrder::OutOfOrder,
        }
    }

    fn record_end(&self) {
        self.shared.callers.retries.add_success();
        suspects::add_success(&self.shared, self.criteria.fingerprint);
        if let Some(attempt) = &self.attempt {
            attempt.record_token_interval();
        }
    }

    fn deadline(&self) -> Time {
        if self.next_sequence == 0 {
            return self.work.first_token_deadline();
        }
        self.work.next_token_deadline(self.waiting_since)
    }

    fn suspicion_deadline(&self, deadline: Time) -> Time {
        if self.retries_left == 0 || self.suspected {
            return deadline;
        }
        suspicion_deadline(self.shared.clock.now(), deadline)
    }

    fn is_late(&self) -> bool {
        self.deadline() <= self.shared.clock.now()
    }
}
