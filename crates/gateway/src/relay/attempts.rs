//! The attempts of one request: which server is next, and whether there is one.

use std::{sync::Arc, time::Duration};

use citrongw_protocol::code::ResultCode;
use citrongw_state::{
    id::InstanceId,
    retry::{self, AttemptProgress, FailedAttempt},
};
use tokio::time::sleep;

use super::{
    call::Call,
    refuse::Refusal,
    send::{AttemptFailure, Cause},
};
use crate::{
    choose::{Choice, ChoiceCriteria, choose},
    fleet::Backend,
    node::Gateway,
};

/// Pause that a caller is asked for when no server takes requests: the time
/// until a replica whose weights are staged serves again.
const NO_SERVER_PAUSE: Duration = Duration::from_millis(700);
/// Pause that a caller is asked for when all servers are full.
const FULL_PAUSE: Duration = Duration::from_millis(250);

/// Pause between two looks for another server while one is silent: well below
/// the pause that callers of a stream expect.
const ANOTHER_INTERVAL: Duration = Duration::from_millis(50);

/// Attempts made so far.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    tried: Vec<InstanceId>,
    /// Servers that the request, or part of it, was sent to.
    sent: u32,
    may_have_run: bool,
    last: Option<Cause>,
    last_choice: Option<Choice>,
}

impl Attempts {
    /// Servers tried so far.
    pub(super) fn count(&self) -> usize {
        self.tried.len()
    }

    /// Why the last one failed.
    pub(super) fn last_cause(&self) -> Option<Cause> {
        self.last
    }

    /// How the server of the last one was chosen.
    pub(super) fn last_choice(&self) -> Option<&Choice> {
        self.last_choice.as_ref()
    }

    /// Picks the server of the next attempt.
    pub(super) fn next_server(
        &mut self,
        gateway: &Gateway,
        call: &Call,
    ) -> Result<Arc<Backend>, Refusal> {
        let chosen = self.choose(gateway, call);
        let choice = chosen.ok_or_else(|| self.refusal(ResultCode::NoReplica))?;
        let server = Arc::clone(&choice.best.server);
        self.tried.push(server.id.clone());
        self.last_choice = Some(choice);
        Ok(server)
    }

    /// Whether a request that is being tried could go to another server.
    pub(super) fn has_another(&self, gateway: &Gateway, call: &Call) -> bool {
        let now = gateway.clock.now();
        call.route.kind.may_rerun()
            && call.body.can_be_sent()
            && self.sent + 1 < call.route.max_attempts
            && 0 < gateway
                .retries
                .service_budget(&call.service, gateway.peers.count(), now)
                .retries_left()
            && self.choose(gateway, call).is_some()
    }

    /// Ends once a request that is being tried could go to another server.
    pub(super) async fn wait_for_another(&self, gateway: &Gateway, call: &Call) {
        while !self.has_another(gateway, call) {
            sleep(ANOTHER_INTERVAL).await;
        }
    }

    fn choose(&self, gateway: &Gateway, call: &Call) -> Option<Choice> {
        let fleet = gateway.routing.fleet.load();
        let wish = ChoiceCriteria {
            zone: &gateway.settings.zone,
            tried: &self.tried,
            peer_loads: &gateway.peer_loads,
            now: gateway.clock.now(),
        };
        choose(call.servers(&fleet), &wish, rand::random)
    }

    /// Decides on another attempt after one failed; waits before it.
    pub(super) async fn retry(
        &mut self,
        gateway: &Gateway,
        call: &Call,
        failed: AttemptFailure,
    ) -> Result<(), Refusal> {
        self.last = Some(failed.cause);
        self.may_have_run |= failed.reached != AttemptProgress::NotRun;
        self.sent += u32::from(failed.cause != Cause::NotReached);
        let max_retries = match call.body.can_be_sent() {
            true => call.route.max_attempts.saturating_sub(1),
            false => 0,
        };
        let attempt = FailedAttempt {
            class: call.class(),
            progress: failed.reached,
            attempts: self.sent,
            max_retries,
            from_node: false,
            expected: Duration::ZERO,
            deadline: call.deadline(),
        };
        let now = gateway.clock.now();
        let budget = gateway.retries.service_budget(&call.service, gateway.peers.count(), now);
        let decision = retry::decide(&attempt, &budget, now, rand::random());
        let server = self.tried.last();
        match decision {
            Ok(pause) => {
                tracing::info!(
                    request = %call.request, attempt = call.meta.attempt, server = server.map(InstanceId::as_str),
                    cause = %failed.cause, attempts = self.tried.len(),
                    budget = budget.retries_left(), "request is sent again"
                );
                sleep(pause).await;
                Ok(())
            }
            Err(reason) => {
                tracing::info!(
                    request = %call.request, attempt = call.meta.attempt, server = server.map(InstanceId::as_str),
                    cause = %failed.cause, attempts = self.tried.len(), %reason,
                    budget = budget.retries_left(), "request is not sent again"
                );
                Err(self.refusal(code_of(failed.cause)))
            }
        }
    }

    /// Refusal that is true for all attempts made.
    pub(super) fn refusal(&self, code: ResultCode) -> Refusal {
        if self.may_have_run {
            return match code {
                ResultCode::DeadlinePassed => code.into(),
                _ => ResultCode::BrokenOff.into(),
            };
        }
        match code {
            ResultCode::NoReplica | ResultCode::NotReached => {
                Refusal::from(code).after(NO_SERVER_PAUSE)
            }
            ResultCode::Overloaded => Refusal::from(code).after(FULL_PAUSE),
            code => code.into(),
        }
    }
}

fn code_of(cause: Cause) -> ResultCode {
    match cause {
        Cause::NotReached => ResultCode::NotReached,
        Cause::ServerRefused => ResultCode::Overloaded,
        Cause::ReplicaBroken => ResultCode::NoReplica,
        Cause::Interrupted | Cause::MismatchedResponse | Cause::Stalled | Cause::ReplicaDown => {
            ResultCode::BrokenOff
        }
        Cause::ServerError => ResultCode::EngineError,
        Cause::DeadlinePassed => ResultCode::DeadlinePassed,
    }
}
