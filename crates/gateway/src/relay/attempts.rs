//! Attempts of one request: choice of the next server, and decisions on retries.

mod permitted;

use std::{sync::Arc, time::Duration};

use citrongw_protocol::code::ResultCode;
use citrongw_state::{
    crash_suspicion::shared_parts::QUARANTINE_TIME,
    id::InstanceId,
    retry::{self, AttemptProgress, FailedAttempt},
};
use tokio::time::{sleep, timeout_at};

use super::{
    admission,
    call::Call,
    hop,
    refuse::Refusal,
    send::{AttemptFailure, Cause},
    signatures,
};
use crate::{
    choose::{Candidate, Choice, ChoiceCriteria, Exclusion, choose, exclusion, exclusions},
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
/// Largest random extension of that time, as a part of it.
const LIMITED_SPREAD: f64 = 1.0;
/// Shortest value of `Retry-After` when the servers of a request are in zones under
/// evacuation, before it is spread. When operators take a zone back is not known; callers
/// must not return in the same moment, nor far too often.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Largest random extension of that time, as a part of it.
const EVACUATED_SPREAD: f64 = 1.0;
/// Largest random extension of the time to the end of a pause, as a part of it.
const PAUSE_SPREAD: f64 = 0.1;
/// Servers of a request that no connection could be made to before it is relayed.
const MAX_UNREACHED: u32 = 2;

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
    /// Whether another gateway relayed the request, so that it is relayed no further.
    is_relayed: bool,
    /// Number of gateways that declined the request.
    declined: u32,
    /// Number of servers that no connection could be made to.
    unreached: u32,
}

impl Attempts {
    /// Attempts of a request that another gateway relayed after `sent` of its own.
    pub(super) fn relayed(sent: u32) -> Self {
        Self { sent, is_relayed: true, ..Self::default() }
    }

    /// Whether another gateway relayed the request.
    pub(super) fn is_relayed(&self) -> bool {
        self.is_relayed
    }

    /// Number of servers that the request was sent to and failed at.
    pub(super) fn sent(&self) -> u32 {
        self.sent
    }

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
        admission::admit(gateway, call, self)?;
        if gateway.crashes.is_quarantined(|| signatures::all_of(call)) {
            return Err(self.refusal(ResultCode::Quarantined));
        }
        if let (Some(cause), false) = (self.last_cause, call.body.can_be_sent()) {
            return Err(self.refusal(code_of(cause)));
        }
        let choice = match self.choose_relay(gateway, call) {
            Some(choice) => choice,
            None if gateway.links.is_cut() => return Err(self.refusal(ResultCode::NotReached)),
            None => {
                let deadline = gateway.clock.instant(call.deadline());
                let choice = timeout_at(deadline, self.choose_permitted(gateway, call)).await;
                let choice = choice.map_err(|_| self.refusal(ResultCode::DeadlinePassed))?;
                choice.ok_or_else(|| self.refusal_without_server(gateway, call))?
            }
        };
        let server = Arc::clone(&choice.best.server);
        self.tried.push(server.id.clone());
        self.last_choice = Some(choice);
        Ok(server)
    }

    /// Chooses a gateway to relay the request through, if no server is in reach.
    fn choose_relay(&self, gateway: &Gateway, call: &Call) -> Option<Choice> {
        let max_declined = match gateway.links.is_cut() {
            true => hop::MAX_DECLINED,
            false => hop::MAX_DECLINED_IN_TOUCH,
        };
        let may_relay = !self.is_relayed
            && self.declined < max_declined
            && call.body.can_be_sent()
            && self.is_out_of_reach(gateway, call);
        let homes = call.homes(&gateway.settings.zone_regions);
        let relay = may_relay.then(|| hop::choose(gateway, &self.tried, homes))??;
        let load = relay.stats.estimate_load(gateway.clock.now(), 0.0);
        Some(Choice::of_gateway(Candidate { server: relay, load }))
    }

    /// Whether this gateway does not reach the servers of the request: it hears none at
    /// all, did not reach those that it tried, or none is left and some were not reached.
    fn is_out_of_reach(&self, gateway: &Gateway, call: &Call) -> bool {
        if gateway.links.is_cut() || MAX_UNREACHED <= self.unreached {
            return true;
        }
        let fleet = gateway.routing.fleet.load();
        let servers = call.servers(&fleet);
        self.with_criteria(gateway, call, |criteria| {
            let untried = ChoiceCriteria { tried: &[], ..*criteria };
            let is_unreached =
                |it: &Arc<Backend>| exclusion(it, &untried).is_some_and(Exclusion::is_out_of_reach);
            servers.iter().all(|it| exclusion(it, criteria).is_some())
                && servers.iter().any(is_unreached)
        })
    }

    /// Refusal when no server may be chosen. If limits or pauses are the reason, the
    /// caller may return once a permit is due or the first pause ends.
    fn refusal_without_server(&self, gateway: &Gateway, call: &Call) -> Refusal {
        let fleet = gateway.routing.fleet.load();
        let servers = call.servers(&fleet);
        let excluded = self.with_criteria(gateway, call, |criteria| exclusions(servers, criteria));
        tracing::info!(
            request = %call.request, attempt = call.meta.attempt, servers = servers.len(),
            %excluded, "no server may be sent the request"
        );
        match self.first_permitted_after(gateway, call, servers) {
            Some((code, wait)) if !self.may_have_run => {
                let spread = match code {
                    ResultCode::ServersLimited => LIMITED_SPREAD,
                    _ => PAUSE_SPREAD,
                };
                let extension = 1.0 + spread * rand::random::<f64>();
                let retry_after = wait.max(MIN_LIMITED_RETRY_AFTER).mul_f64(extension);
                Refusal::from(code).after(retry_after)
            }
            None if self.is_out_of_reach(gateway, call) => self.refusal(ResultCode::NotReached),
            None if !self.may_have_run && has_evacuated(gateway, servers) => {
                let extension = 1.0 + EVACUATED_SPREAD * rand::random::<f64>();
                let retry_after = EVACUATED_RETRY_AFTER.mul_f64(extension);
                Refusal::from(ResultCode::NoReplica).after(retry_after)
            }
            Some(_) | None => self.refusal(ResultCode::NoReplica),
        }
    }

    /// Time until the first server that is left out by a limit or a pause may be sent
    /// requests again.
    fn first_permitted_after(
        &self,
        gateway: &Gateway,
        call: &Call,
        servers: &[Arc<Backend>],
    ) -> Option<(ResultCode, Duration)> {
        let now = gateway.clock.now();
        // The end of a limit or a pause does not help where operators exclude the server.
        let allowed: Vec<&Arc<Backend>> = self.with_criteria(gateway, call, |criteria| {
            let untried = ChoiceCriteria { tried: &[], ..*criteria };
            let is_allowed = |it: &&Arc<Backend>| {
                !exclusion(it, &untried).is_some_and(Exclusion::is_by_operators)
            };
            servers.iter().filter(is_allowed).collect()
        });
        let waits = allowed.into_iter().filter_map(|server| {
            let denied = server.stats.denied_for(now).filter(|_| !self.tried.contains(&server.id));
            let paused = gateway.pauses.left(server, now);
            match (paused, denied) {
                (None, denied) => denied.map(|it| (ResultCode::ServersLimited, it)),
                (Some(paused), None) => Some((ResultCode::Overloaded, paused)),
                (Some(paused), Some(denied)) => Some((ResultCode::Overloaded, paused.max(denied))),
            }
        });
        waits.min_by_key(|(_, wait)| *wait)
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
            && !self.is_at_relay()
            && (self.choose(gateway, call).is_some() || self.choose_relay(gateway, call).is_some())
    }

    /// Whether the last attempt went to another gateway, which makes all further ones.
    fn is_at_relay(&self) -> bool {
        self.last_choice.as_ref().is_some_and(|it| it.best.server.gateway.is_some())
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

    pub(super) fn choose(&self, gateway: &Gateway, call: &Call) -> Option<Choice> {
        self.with_criteria(gateway, call, |criteria| {
            let criteria = ChoiceCriteria { cost: call.cost.as_ref(), ..*criteria };
            choose(call.servers(&gateway.routing.fleet.load()), &criteria, rand::random)
        })
    }

    fn with_criteria<R>(
        &self,
        gateway: &Gateway,
        call: &Call,
        decide: impl FnOnce(&ChoiceCriteria<'_>) -> R,
    ) -> R {
        decide(&ChoiceCriteria {
            zone: &gateway.settings.zone,
            tried: &self.tried,
            pauses: &gateway.pauses.load(),
            leaving: &gateway.departures.load(),
            peer_loads: &gateway.peer_loads,
            evacuated: &gateway.routing.evacuations.zones(),
            homes: Some(call.homes(&gateway.settings.zone_regions)),
            now: gateway.clock.now(),
            cost: None,
        })
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
        if !matches!(failed.cause, Cause::NotReached | Cause::Declined) {
            self.sent += self.in_progress();
        }
        self.counted = self.tried.len();
        if failed.cause == Cause::Declined {
            self.declined += 1;
            return Ok(());
        }
        if failed.cause == Cause::NotReached {
            self.unreached += 1;
            // Nothing has arrived at a server, so this is no retry yet.
            if self.choose_relay(gateway, call).is_some() {
                return Ok(());
            }
        }
        if self.is_at_relay() && failed.progress != AttemptProgress::NotRun {
            return Err(self.refusal(code_of(failed.cause)));
        }
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
                if failed.cause == Cause::NotReached {
                    self.unreached = MAX_UNREACHED;
                    if self.choose_relay(gateway, call).is_some() {
                        return Ok(());
                    }
                }
                if failed.cause == Cause::ServerRefused && self.choose(gateway, call).is_none() {
                    return Err(self.refusal_without_server(gateway, call));
                }
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

/// Whether any of the servers is in a zone under evacuation.
fn has_evacuated(gateway: &Gateway, servers: &[Arc<Backend>]) -> bool {
    let evacuated = gateway.routing.evacuations.zones();
    servers.iter().any(|it| evacuated.contains(&it.zone))
}

fn code_of(cause: Cause) -> ResultCode {
    match cause {
        Cause::NotReached | Cause::Declined => ResultCode::NotReached,
        Cause::ServerRefused => ResultCode::Overloaded,
        Cause::ReplicaBroken => ResultCode::NoReplica,
        Cause::Interrupted
        | Cause::BodyBrokenOff
        | Cause::MismatchedResponse
        | Cause::Stalled
        | Cause::ReplicaDown => ResultCode::BrokenOff,
        Cause::ServerError => ResultCode::EngineError,
        Cause::DeadlinePassed => ResultCode::DeadlinePassed,
        Cause::Quarantined => ResultCode::Quarantined,
    }
}
