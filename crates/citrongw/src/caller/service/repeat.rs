//! Exchanges that may be repeated: sent again after a lost reply, within a
//! deadline and the attempts of the profile.

use std::time::Duration;

use citrongw_protocol::code::ResultCode;
use citrongw_state::{claim::ClaimKey, time::Time};

use super::{
    answer::BackendAnswer,
    call::Call,
    send::{self, SendError},
};
use crate::node::Shared;

/// Longest pause before the second attempt; doubles with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Most doublings of that pause.
const MAX_DOUBLINGS: u32 = 6;
/// Answers with which a backend server asks to be called again.
const RETRIED_STATUSES: [u16; 3] = [502, 503, 504];

/// Runs an idempotent call until it is answered.
pub(super) async fn run(shared: &Shared, call: &Call) -> Result<BackendAnswer, ResultCode> {
    let res = send(shared, call, None, call.deadline()).await;
    res.map_err(|error| failure(shared, call, error))
}

/// Sends a call until it is answered. The time left is divided among the
/// attempts left, so that one silent exchange doesn't use it up.
pub(super) async fn send(
    shared: &Shared,
    call: &Call,
    key: Option<ClaimKey>,
    until: Time,
) -> Result<BackendAnswer, SendError> {
    let attempts = call.caller.profile.retries + 1;
    let addrs = call.rotated_addrs();
    let mut result = Err(SendError::NotReached);
    for attempt in 0..attempts {
        let left = until.since(shared.clock.now());
        let Some(addr) = addrs.get(attempt as usize % addrs.len().max(1)) else { break };
        if left.is_zero() {
            break;
        }
        let limit = shared.clock.instant(shared.clock.now() + left / (attempts - attempt));
        match send::send(&shared.services.http, *addr, call, key, limit).await {
            Ok(answer) if RETRIED_STATUSES.contains(&answer.status) => result = Ok(answer),
            Ok(answer) => return Ok(answer),
            Err(SendError::BrokenOff) => result = Err(SendError::BrokenOff),
            Err(SendError::NotReached) => {}
        }
        if attempt + 1 < attempts {
            let pause = RETRY_PAUSE * 2u32.pow(attempt.min(MAX_DOUBLINGS));
            let pause = pause.mul_f64(rand::random());
            tokio::time::sleep(pause.min(until.since(shared.clock.now()))).await;
        }
    }
    result
}

/// Code of an exchange that failed.
pub(super) fn failure(shared: &Shared, call: &Call, error: SendError) -> ResultCode {
    match error {
        SendError::NotReached => ResultCode::NotReached,
        SendError::BrokenOff if call.deadline() <= shared.clock.now() => ResultCode::DeadlinePassed,
        SendError::BrokenOff => ResultCode::BrokenOff,
    }
}
