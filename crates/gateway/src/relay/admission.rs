//! Admission of a request before its first attempt: early rejection of first tries while
//! the servers are full.

use std::time::Duration;

use citrongw_protocol::code::ResultCode;
use citrongw_state::{
    early_rejection::{FirstTry, PoolLoad, judge},
    id::ModelId,
};

use super::{attempts::Attempts, call::Call, refuse::Refusal};
use crate::{
    early_rejection::{FirstEventSample, PoolKey, has_free_slot},
    fleet::LoadEstimate,
    node::Gateway,
};

/// Whether admission applies to the request's route. A target latency that is not
/// stated is the timeout.
fn applies(gateway: &Gateway, call: &Call) -> bool {
    gateway.settings.reject_early && call.route.target_latency < call.route.timeout
}

fn pool_of(call: &Call) -> PoolKey {
    PoolKey { service: call.service.clone(), model: call.meta.model.clone() }
}

/// Decides whether the request is sent; the refusal is for a request that was never sent.
/// A late request is always sent: callers start with different times, so that many first
/// tries count as late, and would be late or time out if they waited here.
pub(super) fn admit(gateway: &Gateway, call: &Call, attempts: &Attempts) -> Result<(), Refusal> {
    let is_first = attempts.count() == 0 && attempts.sent() == 0 && !attempts.is_relayed();
    if !is_first || call.meta.last_event.is_some() || !applies(gateway, call) {
        return Ok(());
    }
    if call.is_late() {
        return Ok(());
    }
    let pool = pool_of(call);
    gateway.early.update(&pool, |it| it.record_arrival(call.priority()));
    let Some(times) = gateway.early.estimates(&pool, call.priority()) else { return Ok(()) };
    let Some((load, best)) = load_of(gateway, call, attempts) else { return Ok(()) };
    let remaining = call.deadline().since(gateway.clock.now());
    let request = FirstTry { target_latency: call.route.target_latency, remaining };
    let judgement = judge(&request, &load, &times, rand::random(), rand::random());
    let Some(retry_after) = judgement.retry_after else { return Ok(()) };
    gateway.metrics.count_early_rejection(call.service.as_str());
    tracing::info!(
        request = %call.request, attempt = call.meta.attempt, service = %call.service,
        model = call.meta.model.as_ref().map(ModelId::as_str), priority = call.priority(),
        requests = load.requests.round(), slots = load.slots,
        load_age_ms = best.reported_age.map(|it| it.as_millis()),
        hold_ms = times.hold.as_millis(), unqueued_ms = times.first_event.as_millis(),
        estimate_ms = judgement.estimate.as_millis(),
        target_ms = call.route.target_latency.as_millis(),
        probability = judgement.probability, retry_after_ms = retry_after.as_millis(),
        "request is rejected early"
    );
    Err(Refusal::from(ResultCode::PoolFull).after(retry_after))
}

/// Load of the usable servers, and that of the server that would be chosen.
fn load_of(
    gateway: &Gateway,
    call: &Call,
    attempts: &Attempts,
) -> Option<(PoolLoad, LoadEstimate)> {
    let choice = attempts.choose(gateway, call)?;
    Some((choice.pool, choice.best.load))
}

/// Whether the times of a response count: one server gave all of it to its first attempt.
fn counts(gateway: &Gateway, call: &Call, attempts: &Attempts) -> bool {
    applies(gateway, call) && attempts.count() == 1 && call.meta.last_event.is_none()
}

/// Records the time from sending a request to its first event, or to the response of a
/// plain call.
pub(super) fn record_first_event(
    gateway: &Gateway,
    call: &Call,
    attempts: &Attempts,
    took: Duration,
) {
    let Some(choice) = attempts.last_choice().filter(|it| it.best.server.gateway.is_none()) else {
        return;
    };
    if !counts(gateway, call, attempts) {
        return;
    }
    let sample = FirstEventSample {
        took,
        had_free_slot: has_free_slot(choice.best.load.requests, choice.best.server.slots),
        pool: (!call.is_late()).then_some(choice.pool),
        priority: call.priority(),
    };
    gateway.early.update(&pool_of(call), |it| sample.record(it));
}

/// Records the time from the first event to the end of a response that one server gave.
pub(super) fn record_end(gateway: &Gateway, call: &Call, attempts: &Attempts, took: Duration) {
    if counts(gateway, call, attempts) {
        gateway.early.update(&pool_of(call), |it| it.record_end(took));
    }
}
