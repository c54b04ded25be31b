//! Recovery from an interrupted stream, an unresponsive attempt, or an attempt that
//! did not run.

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

use super::ActiveRequest;
use crate::caller::{refusal::Failure, suspects};

/// Delay before a failed resumption of a stream is retried.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

impl ActiveRequest {
    /// Resumes the stream on the same replica, or ends the attempt so that another
    /// one is started.
    pub(super) async fn recover(&mut self, cause: ResultCode) -> Result<(), Failure> {
        self.may_have_run = true;
        loop {
            self.use_retry(cause)?;
            let error = match self.resume().await {
                Ok(()) => {
                    // The engine still runs the request, so a further delay is the
                    // engine's and not the connection's: don't suspect it again.
                    self.suspected |= cause == ResultCode::DeadlinePassed;
                    return Ok(());
                }
                Err(error) => error,
            };
            if self.is_late() {
                return Err(ResultCode::DeadlinePassed.into());
            }
            self.record_unreachable(cause, &error);
            if !self.response_started {
                self.allow_replica_again(&error);
                return self.run_again(cause).await;
            }
            if matches!(error, EngineError::Refused { .. }) {
                return Err(ResultCode::BrokenOff.into());
            }
            self.pause(RESUME_PAUSE).await?;
        }
    }

    /// Ends an attempt that did not run, so that another one is started.
    pub(super) async fn try_another_replica(&mut self) -> Result<(), Failure> {
        self.attempt = None;
        let progress =
            if self.may_have_run { AttemptProgress::MayHaveRun } else { AttemptProgress::NotRun };
        self.charge_retry(progress, ResultCode::NotReached).await
    }

    async fn resume(&mut self) -> EngineResult<()> {
        let wake_at = self.shared.clock.instant(self.suspicion_deadline(self.deadline()));
        let Some(attempt) = &mut self.attempt else { return Err(EngineError::BrokenOff) };
        // An attempt that returned nothing after a resumption is not resumed again.
        if attempt.was_resumed() && !self.response_started {
            return Err(EngineError::BrokenOff);
        }
        let resume = attempt.resume(self.next_sequence);
        tokio::time::timeout_at(wake_at, resume).await.unwrap_or(Err(EngineError::BrokenOff))?;
        self.shared.decisions.add(Decision::Resumed {
            request: self.work.request,
            replica: attempt.replica().entry.spec.id,
            offset: self.next_sequence,
        });
        Ok(())
    }

    /// Records that an engine can't be reached after its connection broke: its
    /// process died with the request in flight.
    fn record_unreachable(&mut self, cause: ResultCode, error: &EngineError) {
        let Some(attempt) = &self.attempt else { return };
        if *error != EngineError::NotReached {
            return;
        }
        let replica = attempt.replica();
        replica.breaker.record_result(self.shared.clock.now(), false);
        if cause == ResultCode::BrokenOff {
            suspects::add_death(&self.shared, replica, Some(self.criteria.fingerprint));
        }
    }

    /// Allows the replica to be selected again if its engine doesn't know the request:
    /// then the connection failed, not the replica.
    fn allow_replica_again(&mut self, error: &EngineError) {
        let Some(attempt) = &self.attempt else { return };
        if matches!(error, EngineError::Refused { .. }) {
            let id = attempt.replica().entry.spec.id;
            Arc::make_mut(&mut self.criteria).tried.retain(|it| *it != id);
        }
    }

    async fn run_again(&mut self, cause: ResultCode) -> Result<(), Failure> {
        self.charge_retry(AttemptProgress::MayHaveRun, cause).await?;
        if let Some(attempt) = self.attempt.take() {
            self.shared.decisions.add(Decision::RunAgain {
                request: self.work.request,
                replica: attempt.replica().entry.spec.id,
            });
        }
        Ok(())
    }

    /// Charges the retry budget for another attempt and waits before it.
    async fn charge_retry(
        &mut self,
        progress: AttemptProgress,
        cause: ResultCode,
    ) -> Result<(), Failure> {
        let failed = FailedAttempt {
            class: CallClass::Idempotent,
            progress,
            attempts: self.attempts,
            max_retries: self.work.profile().retries,
            from_node: false,
            expected: Duration::ZERO,
            deadline: self.deadline(),
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
        let deadline = self.shared.clock.instant(self.deadline());
        let paused = tokio::time::timeout_at(deadline, tokio::time::sleep(pause)).await;
        paused.map_err(|_| ResultCode::DeadlinePassed.into())
    }
}
