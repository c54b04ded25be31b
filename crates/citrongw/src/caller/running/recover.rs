//! What follows a break, a doubted silence, or an attempt that ran nothing.

use std::{sync::Arc, time::Duration};

use citrongw_protocol::{
    code::ResultCode,
    decision::Decision,
    engine::{EngineError, EngineResult},
};
use citrongw_state::{
    config::CallClass,
    retry::{self, AttemptProgress, FailedAttempt},
};

use super::Running;
use crate::caller::{refusal::Failure, suspects};

/// Pause before a stream is asked for again.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

impl Running {
    /// Takes the answer up again where it runs, or gives the attempt up so that
    /// another is started.
    pub(super) async fn recover(&mut self, cause: ResultCode) -> Result<(), Failure> {
        self.may_have_run = true;
        loop {
            self.use_retry(cause)?;
            let error = match self.resume().await {
                Ok(()) => {
                    // The engine works on it; a silence from now on is its own.
                    self.doubted |= cause == ResultCode::DeadlinePassed;
                    return Ok(());
                }
                Err(error) => error,
            };
            if self.is_late() {
                return Err(ResultCode::DeadlinePassed.into());
            }
            self.note_lost(cause, &error);
            if !self.begun {
                self.forgive(&error);
                return self.run_again(cause).await;
            }
            if matches!(error, EngineError::Refused { .. }) {
                return Err(ResultCode::BrokenOff.into());
            }
            self.pause(RESUME_PAUSE).await?;
        }
    }

    /// Gives up an attempt that ran nothing, so that another is started.
    pub(super) async fn try_elsewhere(&mut self) -> Result<(), Failure> {
        self.attempt = None;
        let reached =
            if self.may_have_run { AttemptProgress::MayHaveRun } else { AttemptProgress::NotRun };
        self.pay(reached, ResultCode::NotReached).await
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
            replica: attempt.side().entry.spec.id,
            offset: self.next_sequence,
        });
        Ok(())
    }

    /// Takes in that an engine can't be reached after a connection to it broke:
    /// its process died with the request in flight.
    fn note_lost(&mut self, cause: ResultCode, error: &EngineError) {
        let Some(attempt) = &self.attempt else { return };
        if *error != EngineError::NotReached {
            return;
        }
        let side = attempt.side();
        side.breaker.record_result(self.shared.clock.now(), false);
        if cause == ResultCode::BrokenOff {
            suspects::add_death(&self.shared, side, Some(self.want.fingerprint));
        }
    }

    /// Lets a replica be tried again whose engine knows nothing of the request:
    /// the connection was at fault.
    fn forgive(&mut self, error: &EngineError) {
        let Some(attempt) = &self.attempt else { return };
        if matches!(error, EngineError::Refused { .. }) {
            let id = attempt.side().entry.spec.id;
            Arc::make_mut(&mut self.want).tried.retain(|it| *it != id);
        }
    }

    async fn run_again(&mut self, cause: ResultCode) -> Result<(), Failure> {
        self.pay(AttemptProgress::MayHaveRun, cause).await?;
        if let Some(attempt) = self.attempt.take() {
            self.shared.decisions.add(Decision::RunAgain {
                request: self.work.request,
                replica: attempt.side().entry.spec.id,
            });
        }
        Ok(())
    }

    /// Pays for another attempt and pauses before it.
    async fn pay(&mut self, reached: AttemptProgress, cause: ResultCode) -> Result<(), Failure> {
        let failed = FailedAttempt {
            class: CallClass::Idempotent,
            progress: reached,
            attempts: self.attempts,
            max_retries: self.work.profile().retries,
            from_node: false,
            expected: Duration::ZERO,
            deadline: self.limit(),
        };
        let now = self.shared.clock.now();
        match retry::decide(&failed, &self.shared.callers.retries, now, rand::random()) {
            Ok(pause) => self.pause(pause).await,
            Err(reason) => {
                let request = self.work.request;
                self.shared.decisions.add(Decision::NotRetried { request, reason });
                Err(cause.into())
            }
        }
    }

    fn use_retry(&mut self, cause: ResultCode) -> Result<(), Failure> {
        if self.is_late() {
            return Err(ResultCode::DeadlinePassed.into());
        }
        if self.retries_left == 0 {
            return Err(cause.into());
        }
        self.retries_left -= 1;
        Ok(())
    }

    async fn pause(&mut self, pause: Duration) -> Result<(), Failure> {
        let limit = self.shared.clock.instant(self.limit());
        let slept = tokio::time::timeout_at(limit, tokio::time::sleep(pause)).await;
        slept.map_err(|_| ResultCode::DeadlinePassed.into())
    }
}
