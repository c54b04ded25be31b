//! Calls that must never run twice: a call with a key is claimed, sent and settled.
//! It is sent once, unless the backend server deduplicates repeats by the key.
//!
//! An attempt continues after its caller disconnects or its deadline passes, so that
//! a resend gets the response instead of an unknown outcome.

mod claiming;

use std::{sync::Arc, time::Duration};

use citrongw_protocol::{
    code::{Outcome, ResultCode},
    decision::Decision,
};
use citrongw_state::{
    claim::{ClaimKey, SettledOutcome, Settlement, StoredResponse},
    time::Time,
};
use tokio::sync::oneshot;

use self::claiming::ClaimedCall;
use super::{
    backend_response::BackendResponse,
    call::Call,
    repeat,
    send::{self, SendError},
};
use crate::node::Shared;

/// Longest exchange, as a multiple of the deadline. A response after the deadline is
/// stored for a resend.
const SEND_DEADLINE_FACTOR: u32 = 2;
/// Time before the deadline at which the response is returned even if its settlement
/// is not stored yet.
const RESPONSE_RESERVE: Duration = Duration::from_millis(20);

type CallResult = Result<BackendResponse, ResultCode>;

/// Runs a call at most once.
pub(super) async fn run(shared: &Arc<Shared>, call: Call) -> CallResult {
    let key = match &call.key {
        Some(key) => ClaimKey::of(&call.caller.organisation, &call.caller.service, key),
        None if call.rule.key_required => return Err(ResultCode::KeyMissing),
        None => return run_unclaimed(shared, &call).await,
    };
    let deadline = shared.clock.instant(call.deadline());
    let (result_tx, result_rx) = oneshot::channel();
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        match claiming::claim(&shared, &call, key).await {
            Ok(claimed) => run_claimed(&shared, &call, claimed, result_tx).await,
            Err(refusal) => {
                let _ = result_tx.send(refusal);
            }
        }
    });
    match tokio::time::timeout_at(deadline, result_rx).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => Err(ResultCode::OutcomeUnknown),
        Err(_) => Err(ResultCode::DeadlinePassed),
    }
}

/// Sends a call without a key, whose resends can't be recognised.
async fn run_unclaimed(shared: &Shared, call: &Call) -> CallResult {
    let deadline = shared.clock.instant(call.deadline());
    let res = tokio::time::timeout_at(deadline, send_once(shared, call)).await;
    let res = res.unwrap_or(Err(SendError::BrokenOff));
    res.map_err(|error| repeat::failure(shared, call, error))
}

async fn run_claimed(
    shared: &Shared,
    call: &Call,
    claimed: ClaimedCall,
    result_tx: oneshot::Sender<CallResult>,
) {
    let ClaimedCall { permit, replaces } = claimed;
    let (request, attempt, key) = (call.request, permit.attempt(), permit.key());
    shared.decisions.add(Decision::CallClaimed { request, attempt });
    let permit = permit.begin();
    let res = if call.rule.passes_key {
        repeat::send(shared, call, Some(key), send_deadline(call)).await
    } else {
        send_once(shared, call).await
    };
    let settlement = settlement(call, &res);
    let result = res.map_err(|error| match error {
        // This attempt did not run, but the one it replaces may have.
        SendError::NotReached if replaces => ResultCode::OutcomeUnknown,
        error => repeat::failure(shared, call, error),
    });
    let deadline = shared.clock.instant(call.deadline() - RESPONSE_RESERVE);
    // After the timeout the settlement continues in the background.
    let _ = tokio::time::timeout_at(deadline, permit.settle(settlement)).await;
    let outcome = result.as_ref().map_or_else(|code| code.outcome(), |_| Outcome::Completed);
    shared.decisions.add(Decision::CallSettled { request, attempt, outcome });
    // The caller may have disconnected; a resend gets the stored response.
    let _ = result_tx.send(result);
}

fn settlement(call: &Call, res: &Result<BackendResponse, SendError>) -> Settlement {
    let outcome = match res {
        Ok(response) => {
            let content_type = response.content_type.clone();
            let max_bytes = call.rule.answer_bytes;
            let body = &response.body;
            let stored = StoredResponse::bounded(response.status, content_type, body, max_bytes);
            SettledOutcome::Completed(stored)
        }
        Err(SendError::BrokenOff) => SettledOutcome::Unknown,
        Err(SendError::NotReached) => return Settlement::NotRun,
    };
    Settlement::Sent(outcome)
}

/// Sends a call to the first backend server that accepts the connection.
async fn send_once(shared: &Shared, call: &Call) -> Result<BackendResponse, SendError> {
    let deadline = shared.clock.instant(send_deadline(call));
    for addr in call.rotated_addrs() {
        match send::send(&shared.services.at_most_once_http, addr, call, None, deadline).await {
            Err(SendError::NotReached) => {}
            res => return res,
        }
    }
    Err(SendError::NotReached)
}

fn send_deadline(call: &Call) -> Time {
    call.arrived_at + call.caller.profile.deadline() * SEND_DEADLINE_FACTOR
}
