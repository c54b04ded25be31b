//! Calls that may be repeated: sent again after a lost reply, within the
//! deadline and the attempts of the profile.

use std::time::Duration;

use citrongw_protocol::code::ResultCode;

use super::{
    answer::BackendAnswer,
    call::Call,
    send::{self, SendError},
};
use crate::node::Shared;

/// Longest pause before the second attempt; doubles with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Answers with which a backend server asks to be called again.
const RETRIED_STATUSES: [u16; 3] = [502, 503, 504];

/// Runs a call until it is answered. The time left is divided among the
/// attempts left, so that one silent exchange doesn't use up the deadline.
pub(super) async fn run(shared: &Shared, call: &Call) -> Result<BackendAnswer, ResultCode> {
    let attempts = call.caller.profile.retries + 1;
    let first: usize = rand::random_range(0..call.service.addrs.len().max(1));
    let mut result = Err(ResultCode::NotReached);
    for attempt in 0..attempts {
        let left = call.deadline().since(shared.clock.now());
        if left.is_zero() {
            break;
        }
        let addrs = &call.service.addrs;
        let Some(addr) = addrs.get((first + attempt as usize) % addrs.len().max(1)) else { break };
        let limit = shared.clock.instant(shared.clock.now() + left / (attempts - attempt));
        match send::send(&shared.services.http, *addr, call, None, limit).await {
            Ok(answer) if RETRIED_STATUSES.contains(&answer.status) => result = Ok(answer),
            Ok(answer) => return Ok(answer),
            Err(SendError::BrokenOff) => result = Err(lost_reply(shared, call)),
            Err(SendError::NotReached) => {}
        }
        if attempt + 1 < attempts {
            let pause = RETRY_PAUSE.mul_f64(rand::random()) * 2u32.pow(attempt.min(8));
            tokio::time::sleep(pause.min(call.deadline().since(shared.clock.now()))).await;
        }
    }
    result
}

fn lost_reply(shared: &Shared, call: &Call) -> ResultCode {
    if call.deadline() <= shared.clock.now() {
        ResultCode::DeadlinePassed
    } else {
        ResultCode::BrokenOff
    }
}
