//! Exchanges that may be repeated: sent again after a lost reply, within a
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
    answer::BackendAnswer,
    call::Call,
    send::{self, SendError},
};
use crate::node::Shared;

/// Answers with which a backend server asks to be called again.
const RETRIED_STATUSES: [u16; 3] = [502, 503, 504];

/// Runs an idempotent call until it is answered.
pub(super) async fn run(shared: &Shared, call: &Call) -> Result<BackendAnswer, ResultCode> {
    let res = send(shared, call, None, call.deadline()).await;
    res.map_err(|error| failure(shared, call, error))
}

/// Sends a call until it is answered.
pub(super) async fn send(
    shared: &Shared,
    call: &Call,
    key: Option<ClaimKey>,
    until: Time,
) -> Result<BackendAnswer, SendError> {
    let addrs = call.rotated_addrs();
    let mut result = Err(SendError::NotReached);
    for (attempt, addr) in (1..).zip(addrs.iter().cycle()) {
        let limit = shared.clock.instant(attempt_limit(shared, call, attempt, until));
        let reached = match send::send(&shared.services.http, *addr, call, key, limit).await {
            Ok(answer) if RETRIED_STATUSES.contains(&answer.status) => {
                result = Ok(answer);
                AttemptProgress::MayHaveRun
            }
            Ok(answer) => {
                shared.callers.retries.add_success();
                return Ok(answer);
            }
            Err(SendError::BrokenOff) => {
                result = Err(SendError::BrokenOff);
                AttemptProgress::MayHaveRun
            }
            Err(SendError::NotReached) => AttemptProgress::NotRun,
        };
        let failed = FailedAttempt {
            // A server that takes the key runs it once, however often it comes.
            class: CallClass::Idempotent,
            progress: reached,
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

/// Divides the time left among the attempts left, so that one silent exchange
/// doesn't use it up.
fn attempt_limit(shared: &Shared, call: &Call, attempt: u32, until: Time) -> Time {
    let attempts_left = (call.caller.profile.retries + 2).saturating_sub(attempt).max(1);
    let now = shared.clock.now();
    now + until.since(now) / attempts_left
}

/// Code of an exchange that failed.
pub(super) fn failure(shared: &Shared, call: &Call, error: SendError) -> ResultCode {
    match error {
        SendError::NotReached => ResultCode::NotReached,
        SendError::BrokenOff if call.deadline() <= shared.clock.now() => ResultCode::DeadlinePassed,
        SendError::BrokenOff => ResultCode::BrokenOff,
    }
}
