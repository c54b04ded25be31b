//! Attempts of one request: choice of the next server, and decisions on retries.

use std::{sync::Arc, time::Duration};

use citrongw_protocol::code::ResultCode;
use citrongw_state::{
    crash_suspicion::shared_parts::QUARANTINE_TIME,
    id::InstanceId,
    retry::{self, AttemptProgress, FailedAttempt},
    server_limit::permits::Permit,
};
use tokio::time::{sleep, timeout_at};

use super::{
    call::Call,
    refuse::Refusal,
    send::{AttemptFailure, Cause},
    signatures,
};
use crate::{
    choose::{Choice, ChoiceCriteria, choose},
    fleet::Backend,
    node::Gateway,
};

/// Value of `Retry-After` when no server takes requests: the time until a replica
/// whose weights are staged serves again.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Value of `Retry-After` when all servers are full.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Shortest value of `Retry-After` when all servers are at their limits, before it is
/// spread: callers that return sooner find the same tokens taken.
const MIN_LIMITED_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Permits that are requested one after the other for one attempt.
const MAX_PERMIT_REQUESTS: usize = 4;
/// Time for which all servers with limits count as denied after that many.
const DENIAL_TIME: Duration = Duration::from_millis(50);

/// Interval between checks for another server while the current one is silent:
/// well below the time between events that callers of a stream expect.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Attempts made so far for one request.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    tried: Vec<InstanceId>,
    /// Number of servers that the request, or part of it, was sent to and failed at.
    sent: u32,
    /// Number of servers tried whose failure is counted. A silent one that is kept can
    /// fail more than once.
    counted: usize,
    may_have_run: bool,
    last_cause: Option<Cause>,
    last_choice: Option<Choice>,
}

impl Attempts {
    /// Number of servers tried so far.
    pub(super) fn count(&self) -> usize {
        self.tried.len()
    }

    /// Why the last failed attempt failed.
    pub(super) fn last_cause(&self) -> Option<Cause> {
        self.last_cause
    }

    /// Choice of the server of the last attempt.
    pub(super) fn last_choice(&self) -> Option<&Choice> {
        self.last_choice.as_ref()
    }

    /// Chooses the server of the next attempt and records it as tried.
    pub(super) async fn next_server(
        &mut self,
        gateway: &Gateway,
        call: &Call,
    ) -> Result<Arc<Backend>, Refusal> {
        if gateway.crashes.is_quarantined(|| signatures::all_of(call)) {
            return Err(self.refusal(ResultCode::Quarantined));
        }
        let deadline = gateway.clock.instant(call.deadline());
        let choice = timeout_at(deadline, self.choose_permitted(gateway, call)).await;
        let choice = choice.map_err(|_| self.refusal(ResultCode::DeadlinePassed))?;
        let choice = choice.ok_or_else(|| self.refusal_without_server(gateway, call))?;
        let server = Arc::clone(&choice.best.server);
        self.tried.push(server.id.clone());
        self.last_choice = Some(choice);
        Ok(server)
    }

    /// Chooses a server that has no limit, or that the attempt has a permit for.
    async fn choose_permitted(&self, gateway: &Gateway, call: &Call) -> Option<Choice> {
        for _ in 0..MAX_PERMIT_REQUESTS {
            let choice = self.choose(gateway, call)?;
            let server = &choice.best.server;
            match gateway.limits.acquire(server).await {
                Permit::Granted => return Some(choice),
                Permit::Denied { wait } => server.stats.deny_until(gateway.clock.now() + wait),
            }
        }
        let until = gateway.clock.now() + DENIAL_TIME;
        for server in call.servers(&gateway.routing.fleet.load()) {
            if gateway.limits.is_limited(server) {
                server.stats.deny_until(until);
            }
        }
        self.choose(gateway, call)
    }

    /// Refusal when no server may be chosen. If limits are the reason, the caller may
    /// return once a permit is due.
    fn refusal_without_server(&self, gateway: &Gateway, call: &Call) -> Refusal {
        let now = gateway.clock.now();
        let fleet = gateway.routing.fleet.load();
        let untried = call.servers(&fleet).iter().filter(|it| !self.tried.contains(&it.id));
        match untried.filter_map(|it| it.stats.denied_for(now)).min() {
            Some(wait) if !self.may_have_run => {
                let spread = 1.0 + rand::random::<f64>();
                let retry_after = wait.max(MIN_LIMITED_RETRY_AFTER).mul_f64(spread);
                Refusal::from(ResultCode::ServersLimited).after(retry_after)
            }
            Some(_) | None => self.refusal(ResultCode::NoReplica),
        }
    }

    /// Whether a request with an attempt in progress could be sent to another
    /// server.
    pub(super) fn has_another(&self, gateway: &Gateway, call: &Call) -> bool {
        let now = gateway.clock.now();
        call.route.kind.may_rerun()
            && call.body.can_be_sent()
            && self.sent + self.in_progress() < call.route.max_attempts
            && 0 < gateway
                .retries
                .service_budget(&call.service, gateway.peers.gateway_count(), now)
                .retries_left()
            && self.choose(gateway, call).is_some()
    }

    /// Number of attempts in progress whose failure is not counted yet.
    fn in_progress(&self) -> u32 {
        u32::from(self.counted < self.tried.len())
    }

    /// Completes once a request with an attempt in progress could be sent to
    /// another server.
    pub(super) async fn wait_for_another(&self, gateway: &Gateway, call: &Call) {
        while !self.has_another(gateway, call) {
            sleep(CHECK_INTERVAL).await;
        }
    }

    fn choose(&self, gateway: &Gateway, call: &Call) -> Option<Choice> {
        let fleet = gateway.routing.fleet.load();
        let criteria = ChoiceCriteria {
            zone: &gateway.settings.zone,
            tried: &self.tried,
            peer_loads: &gateway.peer_loads,
            now: gateway.clock.now(),
        };
        choose(call.servers(&fleet), &criteria, rand::random)
    }

    /// Decides whether to retry after a failed attempt, and waits for the retry
    /// delay. An error is the refusal for the caller.
    pub(super) async fn retry(
        &mut self,
        gateway: &Gateway,
        call: &Call,
        failed: AttemptFailure,
    ) -> Result<(), Refusal> {
        self.last_cause = Some(failed.cause);
        self.may_have_run |= failed.progress != AttemptProgress::NotRun;
        if failed.cause != Cause::NotReached {
            self.sent += self.in_progress();
        }
        self.counted = self.tried.len();
        let max_retries = match call.body.can_be_sent() {
            true => call.route.max_attempts.saturating_sub(1),
            false => 0,
        };
        let attempt = FailedAttempt {
            class: call.class(),
            progress: failed.progress,
            attempts: self.sent,
            max_retries,
            from_node: false,
            expected: Duration::ZERO,
            deadline: call.deadline(),
        };
        let now = gateway.clock.now();
        let budget =
            gateway.retries.service_budget(&call.service, gateway.peers.gateway_count(), now);
        let decision = retry::decide(&attempt, &budget, now, rand::random());
        let server = self.tried.last();
        match decision {
            Ok(delay) => {
                tracing::info!(
                    request = %call.request, attempt = call.meta.attempt, server = server.map(InstanceId::as_str),
                    cause = %failed.cause, attempts = self.tried.len(),
                    budget = budget.retries_left(), "request is retried"
                );
                sleep(delay).await;
                Ok(())
            }
            Err(reason) => {
                tracing::info!(
                    request = %call.request, attempt = call.meta.attempt, server = server.map(InstanceId::as_str),
                    cause = %failed.cause, attempts = self.tried.len(), %reason,
                    budget = budget.retries_left(), "request is not retried"
                );
                Err(self.refusal(code_of(failed.cause)))
            }
        }
    }

    /// Ends the attempts of a request that was withdrawn from its server because it
    /// is quarantined.
    pub(super) fn withdraw(&mut self) -> Refusal {
        self.last_cause = Some(Cause::Quarantined);
        self.may_have_run = true;
        self.refusal(ResultCode::Quarantined)
    }

    /// Refusal that is correct for all attempts made: once one may have run, the
    /// code does not promise that none did.
    pub(super) fn refusal(&self, code: ResultCode) -> Refusal {
        if self.may_have_run {
            return match code {
                ResultCode::DeadlinePassed => code.into(),
                _ => ResultCode::BrokenOff.into(),
            };
        }
        match code {
            ResultCode::NoReplica | ResultCode::NotReached => {
                Refusal::from(code).after(NO_SERVER_RETRY_AFTER)
            }
            ResultCode::Overloaded => Refusal::from(code).after(OVERLOADED_RETRY_AFTER),
            ResultCode::Quarantined => Refusal::from(code).after(QUARANTINE_TIME),
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
        Cause::Quarantined => ResultCode::Quarantined,
    }
}
