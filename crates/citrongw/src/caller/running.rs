//! A request under way: attempts over the replicas, deadlines, and taking a
//! broken or silent stream up again.
//!
//! Until the caller has been given a part of the answer, the request may run
//! again elsewhere. From then on it is resumed where it runs, or ends with an
//! error. Every error is honest about what may have run.

use std::{sync::Arc, time::Duration};

use citrongw_protocol::{
    code::{Outcome, ResultCode},
    decision::Decision,
    engine::{Chunk, EngineError, EngineResult},
};
use citrongw_state::{id::ReplicaId, time::Time};
use tokio::sync::watch;

use super::{
    attempt::Attempt,
    select,
    work::{Work, doubt_limit},
};
use crate::node::Shared;

/// Pause before a stream is asked for again.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

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
    attempt: Option<Attempt>,
    ended_rx: watch::Receiver<bool>,
    tried: Vec<ReplicaId>,
    attempts: u32,
    retries_left: u32,
    next_sequence: u64,
    /// Whether a backend server may have run the request.
    may_have_run: bool,
    /// Whether the caller has been given a part of the answer.
    begun: bool,
    /// Whether the silence now lasting has been doubted already.
    doubted: bool,
    waiting_since: Time,
}

/// What waiting for a chunk came to.
enum Heard {
    Chunk(Chunk),
    Broken(ResultCode),
    Silent,
}

/// Takes a request up. Nothing is sent before the first piece is asked for.
pub(super) fn open(shared: Arc<Shared>, work: Work) -> Running {
    let now = shared.clock.now();
    Running {
        ended_rx: shared.ended_tx.subscribe(),
        attempt: None,
        tried: Vec::new(),
        attempts: 0,
        retries_left: work.profile().retries,
        next_sequence: 0,
        may_have_run: false,
        begun: false,
        doubted: false,
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
    pub(super) async fn first(&mut self) -> Result<Piece, ResultCode> {
        loop {
            match self.next().await? {
                Piece::Restart => {}
                piece => return Ok(piece),
            }
        }
    }

    /// The next piece of the answer, in order, without gap or repetition.
    pub(super) async fn next(&mut self) -> Result<Piece, ResultCode> {
        self.waiting_since = self.shared.clock.now();
        self.doubted = false;
        let mut ended_rx = self.ended_rx.clone();
        let res = tokio::select! {
            biased;
            res = self.advance() => res,
            _ = ended_rx.wait_for(|it| *it) => Err(ResultCode::NodeEnded),
        };
        res.map_err(|code| {
            self.attempt = None;
            self.honest(code)
        })
    }

    /// Code that doesn't deny a run that may have been.
    fn honest(&self, code: ResultCode) -> ResultCode {
        match (code, code.outcome()) {
            (ResultCode::NodeEnded, _) if !self.may_have_run => ResultCode::Stopping,
            (_, Outcome::NotRun) if self.may_have_run => ResultCode::BrokenOff,
            _ => code,
        }
    }

    async fn advance(&mut self) -> Result<Piece, ResultCode> {
        if self.attempt.is_none() {
            self.run().await?;
        }
        loop {
            match self.hear().await? {
                Heard::Chunk(chunk) => match self.place(chunk) {
                    Place::Next(piece) => return Ok(piece),
                    Place::Known => {}
                    Place::Wrong => {
                        if self.recover(ResultCode::BrokenOff).await? == Recovered::RunAgain {
                            return Ok(Piece::Restart);
                        }
                    }
                },
                Heard::Broken(code) => {
                    if self.recover(code).await? == Recovered::RunAgain {
                        return Ok(Piece::Restart);
                    }
                }
                Heard::Silent => {
                    if self.recover(ResultCode::DeadlinePassed).await? == Recovered::RunAgain {
                        return Ok(Piece::Restart);
                    }
                }
            }
        }
    }

    /// Waits for a chunk up to the deadline, or to the point at which the
    /// silence is doubted.
    async fn hear(&mut self) -> Result<Heard, ResultCode> {
        let limit = self.limit();
        let doubt = self.doubt_limit(limit);
        let wake_at = self.shared.clock.instant(doubt.min(limit));
        let Some(attempt) = &mut self.attempt else { return Err(ResultCode::BrokenOff) };
        match tokio::time::timeout_at(wake_at, attempt.next()).await {
            Ok(Some(Ok(chunk))) => Ok(Heard::Chunk(chunk)),
            Ok(Some(Err(EngineError::Failed { .. }))) => Ok(Heard::Broken(ResultCode::EngineError)),
            Ok(Some(Err(_)) | None) => Ok(Heard::Broken(ResultCode::BrokenOff)),
            Err(_) if doubt < limit => Ok(Heard::Silent),
            Err(_) => Err(ResultCode::DeadlinePassed),
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
                Place::Next(Piece::End { tokens, reason })
            }
            Chunk::Token { .. } | Chunk::End { .. } => Place::Wrong,
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

    /// Runs the request on replicas not yet tried until one answers, or breaks
    /// off so that it may be resumed.
    async fn run(&mut self) -> Result<(), ResultCode> {
        loop {
            let replica = select::select(&self.shared, &self.work, &self.tried)?;
            let id = replica.spec.id;
            self.tried.push(id);
            self.attempts += 1;
            let mut attempt = Attempt::new(&self.shared, &self.work, replica, self.attempts);
            match self.send(&mut attempt).await {
                Ok(()) => {
                    self.may_have_run = true;
                    self.attempt = Some(attempt);
                    return Ok(());
                }
                Err(code) => {
                    self.may_have_run |= code.outcome() != Outcome::NotRun;
                    if can_resume(code) && !self.is_late() {
                        self.attempt = Some(attempt);
                        return Ok(());
                    }
                    self.use_retry(code)?;
                }
            }
        }
    }

    /// Sends one attempt.
    async fn send(&mut self, attempt: &mut Attempt) -> Result<(), ResultCode> {
        let limit = self.limit();
        let wake_at = self.shared.clock.instant(self.doubt_limit(limit));
        let sent = attempt.send(&self.work, self.attempts);
        match tokio::time::timeout_at(wake_at, sent).await {
            Ok(res) => res.map_err(|error| code_of(&error)),
            Err(_) => Err(ResultCode::DeadlinePassed),
        }
    }

    /// Takes the answer up again after a break or a doubted silence.
    async fn recover(&mut self, cause: ResultCode) -> Result<Recovered, ResultCode> {
        loop {
            self.use_retry(cause)?;
            match self.resume().await {
                // The engine works on it; a silence from now on is its own.
                Ok(()) => {
                    self.doubted |= cause == ResultCode::DeadlinePassed;
                    return Ok(Recovered::Resumed);
                }
                Err(_) if self.is_late() => return Err(ResultCode::DeadlinePassed),
                Err(error) if self.begun => {
                    if matches!(error, EngineError::Refused { .. }) {
                        return Err(ResultCode::BrokenOff);
                    }
                    self.pause().await?;
                }
                Err(error) => {
                    self.forgive(&error);
                    self.run_again().await?;
                    return Ok(Recovered::RunAgain);
                }
            }
        }
    }

    async fn resume(&mut self) -> EngineResult<()> {
        let wake_at = self.shared.clock.instant(self.doubt_limit(self.limit()));
        let Some(attempt) = &mut self.attempt else { return Err(EngineError::BrokenOff) };
        // An attempt that stayed silent after it was resumed has had its turn.
        if attempt.was_resumed() && !self.begun {
            return Err(EngineError::BrokenOff);
        }
        let resume = attempt.resume(self.next_sequence);
        tokio::time::timeout_at(wake_at, resume).await.unwrap_or(Err(EngineError::BrokenOff))?;
        self.shared.decisions.add(Decision::Resumed {
            request: self.work.request,
            replica: attempt.replica().spec.id,
            offset: self.next_sequence,
        });
        Ok(())
    }

    /// Lets a replica be tried again whose engine knows nothing of the request:
    /// the connection was at fault.
    fn forgive(&mut self, error: &EngineError) {
        let Some(attempt) = &self.attempt else { return };
        if matches!(error, EngineError::Refused { .. }) {
            let id = attempt.replica().spec.id;
            self.tried.retain(|it| *it != id);
        }
    }

    async fn run_again(&mut self) -> Result<(), ResultCode> {
        if let Some(attempt) = self.attempt.take() {
            self.shared.decisions.add(Decision::RunAgain {
                request: self.work.request,
                replica: attempt.replica().spec.id,
            });
        }
        self.next_sequence = 0;
        self.doubted = false;
        self.run().await
    }

    fn is_late(&self) -> bool {
        self.limit() <= self.shared.clock.now()
    }

    fn use_retry(&mut self, cause: ResultCode) -> Result<(), ResultCode> {
        if self.is_late() {
            return Err(ResultCode::DeadlinePassed);
        }
        if self.retries_left == 0 {
            return Err(cause);
        }
        self.retries_left -= 1;
        Ok(())
    }

    async fn pause(&mut self) -> Result<(), ResultCode> {
        let limit = self.shared.clock.instant(self.limit());
        tokio::time::timeout_at(limit, tokio::time::sleep(RESUME_PAUSE))
            .await
            .map_err(|_| ResultCode::DeadlinePassed)
    }
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

/// How an answer goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Recovered {
    Resumed,
    RunAgain,
}

/// Whether an attempt that failed with this code may still be running.
fn can_resume(code: ResultCode) -> bool {
    matches!(code, ResultCode::BrokenOff | ResultCode::DeadlinePassed)
}

fn code_of(error: &EngineError) -> ResultCode {
    match error {
        EngineError::NotReached | EngineError::Refused { .. } => ResultCode::NotReached,
        EngineError::BrokenOff => ResultCode::BrokenOff,
        EngineError::Failed { .. } => ResultCode::EngineError,
    }
}
