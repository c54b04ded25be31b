//! A request under way: attempts over the replicas, deadlines, and taking a
//! broken or silent stream up again.
//!
//! Until the caller has been given a part of the answer, the request may run
//! again elsewhere. From then on it is resumed where it runs, or ends with an
//! error. Every error is honest about what may have run.

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
    route::Want,
    suspects,
    work::{Work, doubt_limit},
};
use crate::node::Shared;

/// First token time that the load of a replica is kept to.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(520);

/// Piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Piece {
    /// One token.
    Token(String),
    /// The clean end.
    End {
        /// Tokens in the whole answer.
        tokens: u64,
        /// Why generation ended.
        reason: String,
    },
    /// All pieces so far are void; the answer begins again.
    Restart,
}

/// Answer under way. Dropping it before the end cancels what runs.
pub(super) struct Running {
    shared: Arc<Shared>,
    work: Work,
    want: Arc<Want>,
    attempt: Option<Attempt>,
    ended_rx: watch::Receiver<bool>,
    attempts: u32,
    retries_left: u32,
    next_sequence: u64,
    /// Whether a backend server may have run the request.
    may_have_run: bool,
    /// Whether the caller has been given a part of the answer.
    begun: bool,
    /// Whether the silence now lasting has been doubted already.
    doubted: bool,
    /// Whether a second attempt was started beside the first.
    hedged: bool,
    waiting_since: Time,
}

/// What waiting for a chunk came to.
enum Heard {
    Chunk(Chunk),
    /// The attempt ran nothing.
    NotRun,
    Broken(ResultCode),
    Silent,
}

/// Place of a chunk.
enum Place {
    /// It follows what was passed on.
    Next(Piece),
    /// It was passed on before.
    Known,
    /// Something is missing before it.
    Wrong,
}

/// Takes a request up. Nothing is sent before the first piece is asked for.
pub(super) fn open(shared: Arc<Shared>, work: Work, want: Want) -> Running {
    let now = shared.clock.now();
    Running {
        ended_rx: shared.ended_tx.subscribe(),
        want: Arc::new(want),
        attempt: None,
        attempts: 0,
        retries_left: work.profile().retries,
        next_sequence: 0,
        may_have_run: false,
        begun: false,
        doubted: false,
        hedged: false,
        waiting_since: now,
        work,
        shared,
    }
}

impl Running {
    /// The request.
    pub(super) fn work(&self) -> &Work {
        &self.work
    }

    /// Notes that the caller is given what was returned so far.
    pub(super) fn begin(&mut self) {
        self.begun = true;
    }

    /// The first piece of the answer. Nothing before it needs to be taken back.
    pub(super) async fn first(&mut self) -> Result<Piece, Failure> {
        loop {
            match self.next().await? {
                Piece::Restart => {}
                piece => return Ok(piece),
            }
        }
    }

    /// The next piece of the answer, in order, without gap or repetition.
    pub(super) async fn next(&mut self) -> Result<Piece, Failure> {
        self.waiting_since = self.shared.clock.now();
        self.doubted = false;
        let mut ended_rx = self.ended_rx.clone();
        let res = tokio::select! {
            biased;
            res = self.advance() => res,
            _ = ended_rx.wait_for(|it| *it) => Err(ResultCode::NodeEnded.into()),
        };
        res.map_err(|failure| {
            let attempt = self.attempt.take();
            self.may_have_run |= attempt.as_ref().is_some_and(Attempt::may_have_run);
            self.honest(failure)
        })
    }

    /// Failure that doesn't deny a run that may have been.
    fn honest(&self, failure: Failure) -> Failure {
        match (failure.code, failure.code.outcome()) {
            (ResultCode::NodeEnded, _) if !self.may_have_run => ResultCode::Stopping.into(),
            (_, Outcome::NotRun) if self.may_have_run => ResultCode::BrokenOff.into(),
            _ => failure,
        }
    }

    async fn advance(&mut self) -> Result<Piece, Failure> {
        let mut restarted = false;
        loop {
            if self.attempt.is_none() {
                self.start().await?;
                restarted |= self.next_sequence != 0;
                self.next_sequence = 0;
            }
            if restarted {
                return Ok(Piece::Restart);
            }
            match self.hear().await? {
                Heard::Chunk(chunk) => match self.place(chunk) {
                    Place::Next(piece) => return Ok(piece),
                    Place::Known => {}
                    Place::Wrong => self.recover(ResultCode::BrokenOff).await?,
                },
                Heard::NotRun => self.try_elsewhere().await?,
                Heard::Broken(code) => self.recover(code).await?,
                Heard::Silent => self.recover(ResultCode::DeadlinePassed).await?,
            }
        }
    }

    /// Starts an attempt on a replica that was not tried yet. Nothing is sent
    /// before a chunk is waited for.
    async fn start(&mut self) -> Result<(), Failure> {
        let placed = queue::admit(&self.shared, &self.work, &self.want).await?;
        self.attempts += 1;
        Arc::make_mut(&mut self.want).tried.push(placed.side.entry.spec.id);
        self.attempt = Some(Attempt::new(&self.shared, &self.work, placed, self.attempts));
        self.doubted = false;
        Ok(())
    }

    /// Waits for a chunk up to the deadline, or to the point at which the
    /// silence is doubted.
    async fn hear(&mut self) -> Result<Heard, Failure> {
        let limit = self.limit();
        let doubt = self.doubt_limit(limit);
        let wake_at = self.shared.clock.instant(doubt.min(limit));
        let heard = match self.hedge_at() {
            Some(at) if at < doubt => tokio::time::timeout_at(wake_at, self.hear_hedged(at)).await,
            _ => {
                let Some(attempt) = &mut self.attempt else {
                    return Err(ResultCode::BrokenOff.into());
                };
                tokio::time::timeout_at(wake_at, attempt.next(&self.work)).await
            }
        };
        let Ok(item) = heard else {
            self.note_late();
            return if doubt < limit {
                Ok(Heard::Silent)
            } else {
                Err(ResultCode::DeadlinePassed.into())
            };
        };
        Ok(self.note_heard(item))
    }

    /// Takes in what an attempt gave.
    fn note_heard(&mut self, item: Option<EngineResult<Chunk>>) -> Heard {
        let Some(attempt) = &self.attempt else { return Heard::Broken(ResultCode::BrokenOff) };
        let (side, now) = (attempt.side(), self.shared.clock.now());
        let error = match item {
            Some(Ok(chunk)) => {
                self.may_have_run = true;
                if self.next_sequence == 0 {
                    self.note_first_token();
                }
                return Heard::Chunk(chunk);
            }
            Some(Err(error)) => error,
            None => EngineError::BrokenOff,
        };
        match error {
            EngineError::NotReached => {
                side.breaker.record_result(now, false);
                Heard::NotRun
            }
            EngineError::Refused { .. } => {
                side.limit.add(Sample::Overloaded, attempt.in_flight(), FIRST_TOKEN_TARGET, now);
                Heard::NotRun
            }
            EngineError::BrokenOff => {
                self.may_have_run = true;
                Heard::Broken(ResultCode::BrokenOff)
            }
            EngineError::Failed { .. } => {
                side.breaker.record_result(now, false);
                self.may_have_run = true;
                Heard::Broken(ResultCode::EngineError)
            }
        }
    }

    fn note_first_token(&self) {
        let Some(attempt) = &self.attempt else { return };
        let now = self.shared.clock.now();
        self.shared.metrics.add_first_token(now.since(self.work.arrived_at));
        let took = now.since(attempt.started_at());
        let target = FIRST_TOKEN_TARGET.min(self.work.profile().first_token() / 2);
        let side = attempt.side();
        side.breaker.record_result(now, true);
        side.limit.add(Sample::FirstToken(took), attempt.in_flight(), target, now);
        self.work.caller.profile.group.first_token.add(took);
    }

    fn note_late(&self) {
        let Some(attempt) = &self.attempt else { return };
        if self.next_sequence == 0 {
            let (side, now) = (attempt.side(), self.shared.clock.now());
            side.limit.add(Sample::Overloaded, attempt.in_flight(), FIRST_TOKEN_TARGET, now);
        }
    }

    /// Finds a chunk's place in the answer.
    fn place(&mut self, chunk: Chunk) -> Place {
        match chunk {
            Chunk::Token { sequence, .. } if sequence < self.next_sequence => Place::Known,
            Chunk::Token { sequence, text } if sequence == self.next_sequence => {
                self.next_sequence += 1;
                Place::Next(Piece::Token(text))
            }
            Chunk::End { tokens, reason, .. } if tokens == self.next_sequence => {
                self.note_end();
                Place::Next(Piece::End { tokens, reason })
            }
            Chunk::Token { .. } | Chunk::End { .. } => Place::Wrong,
        }
    }

    fn note_end(&self) {
        self.shared.callers.retries.add_success();
        suspects::add_success(&self.shared, self.want.fingerprint);
        if let Some(attempt) = &self.attempt {
            attempt.note_speed();
        }
    }

    fn limit(&self) -> Time {
        if self.next_sequence == 0 {
            return self.work.first_token_limit();
        }
        self.work.next_token_limit(self.waiting_since)
    }

    fn doubt_limit(&self, limit: Time) -> Time {
        if self.retries_left == 0 || self.doubted {
            return limit;
        }
        doubt_limit(self.shared.clock.now(), limit)
    }

    fn is_late(&self) -> bool {
        self.limit() <= self.shared.clock.now()
    }
}
