//! Calls that may be sent repeatedly: retried after a lost response, within the
//! deadline, the attempts of the profile and the retry budget of the node.

use std::time::Duration;

use citrongw_protocol::{code::ResultCode, decision::Decision};
use citrongw_state::{
    claim::ClaimKey,
    config::CallClass,
    retry::{self, AttemptProgress, FailedAttempt},
    time::Time,
};

use super::{
    backend_response::BackendResponse,
    call::Call,
    send::{self, SendError},
};
use crate::node::Shared;

/// Status codes after which a call is retried.
const RETRIED_STATUSES: [u16; 3] = [502, 503, 504];

/// Runs an idempotent call, with retries.
pub(super) async fn run(shared: &Shared, call: &Call) -> Result<BackendResponse, ResultCode> {
    let res = send(shared, call, None, call.deadline()).await;
    res.map_err(|error| failure(shared, call, error))
}

/// Sends a call until it gets a response that is not retried, or until no further
/// retry is allowed.
pub(super) async fn send(
    shared: &Shared,
    call: &Call,
    key: Option<ClaimKey>,
    until: Time,
) -> Result<BackendResponse, SendError> {
    let addrs = call.rotated_addrs();
    let mut result = Err(SendError::NotReached);
    for (attempt, addr) in (1..).zip(addrs.iter().cycle()) {
        let deadline = shared.clock.instant(attempt_deadline(shared, call, attempt, until));
        let progress = match send::send(&shared.services.http, *addr, call, key, deadline).await {
            Ok(response) if RETRIED_STATUSES.contains(&response.status) => {
                result = Ok(response);
                AttemptProgress::MayHaveRun
            }
            Ok(response) => {
                shared.callers.retries.add_success();
                return Ok(response);
            }
            Err(SendError::BrokenOff) => {
                result = Err(SendError::BrokenOff);
                AttemptProgress::MayHaveRun
            }
            Err(SendError::NotReached) => AttemptProgress::NotRun,
        };
        let failed = FailedAttempt {
            // A server that accepts the key runs the call once, however often it is sent.
            class: CallClass::Idempotent,
            progress,
            attempts: attempt,
            max_retries: call.caller.profile.retries,
            from_node: false,
            expected: Duration::ZERO,
            deadline: until,
        };
        let now = shared.clock.now();
        match retry::decide(&failed, &shared.callers.retries, now, rand::random()) {
            Ok(pause) => tokio::time::sleep(pause).await,
            Err(reason) => {
                shared.decisions.add(Decision::NotRetried { request: call.request, reason });
                break;
            }
        }
    }
    result
}

/// Divides the remaining time among the remaining attempts, so that one unresponsive
/// server doesn't use up the deadline.
fn attempt_deadline(shared: &Shared, call: &Call, attempt: u32, until: Time) -> Time {
    let attempts_left = (call.caller.profile.retries + 2).saturating_sub(attempt).max(1);
    let now = shared.clock.now();
    now + until.since(now) / attempts_left
}

/// Result code of a failed exchange.
pub(super) fn failure(shared: &Shared, call: &Call, error: SendError) -> ResultCode {
    match error {
        SendError::NotReached => ResultCode::NotReached,
        SendError::BrokenOff if call.deadline() <= shared.clock.now() => ResultCode::DeadlinePassed,
        SendError::BrokenOff => ResultCode::BrokenOff,
    }
}
