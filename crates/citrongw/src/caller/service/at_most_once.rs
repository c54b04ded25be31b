//! Calls that must never run twice: claimed, sent once, settled.
//!
//! An attempt goes on when its caller has left or its deadline has passed, so
//! that a resend gets the answer rather than an unknown outcome.

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

use self::claiming::Holding;
use super::{
    answer::BackendAnswer,
    call::Call,
    repeat,
    send::{self, SendError},
};
use crate::node::Shared;

/// Deadlines that an exchange may take. An answer that comes after the first
/// is kept for a resend.
const SEND_DEADLINES: u32 = 2;
/// Time before the deadline at which an answer is given though its settlement
/// is not recorded yet.
const ANSWER_RESERVE: Duration = Duration::from_millis(20);

type Answer = Result<BackendAnswer, ResultCode>;

/// Runs a call at most once.
pub(super) async fn run(shared: &Arc<Shared>, call: Call) -> Answer {
    let key = match &call.key {
        Some(key) => ClaimKey::of(&call.caller.organisation, &call.caller.service, key),
        None if call.rule.key_required => return Err(ResultCode::KeyMissing),
        None => return run_unclaimed(shared, &call).await,
    };
    let deadline = shared.clock.instant(call.deadline());
    let (answer_tx, answer_rx) = oneshot::channel();
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        match claiming::claim(&shared, &call, key).await {
            Ok(holding) => run_claimed(&shared, &call, holding, answer_tx).await,
            Err(refusal) => {
                let _ = answer_tx.send(refusal);
            }
        }
    });
    match tokio::time::timeout_at(deadline, answer_rx).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) => Err(ResultCode::OutcomeUnknown),
        Err(_) => Err(ResultCode::DeadlinePassed),
    }
}

/// Sends a call without a key, which no resend can be told apart from.
async fn run_unclaimed(shared: &Shared, call: &Call) -> Answer {
    let deadline = shared.clock.instant(call.deadline());
    let res = tokio::time::timeout_at(deadline, send_once(shared, call)).await;
    let res = res.unwrap_or(Err(SendError::BrokenOff));
    res.map_err(|error| repeat::failure(shared, call, error))
}

async fn run_claimed(
    shared: &Shared,
    call: &Call,
    holding: Holding,
    answer_tx: oneshot::Sender<Answer>,
) {
    let Holding { permit, replaces } = holding;
    let (request, attempt, key) = (call.request, permit.attempt(), permit.key());
    shared.decisions.add(Decision::CallClaimed { request, attempt });
    let permit = permit.begin();
    let res = if call.rule.passes_key {
        repeat::send(shared, call, Some(key), send_limit(call)).await
    } else {
        send_once(shared, call).await
    };
    let settlement = settlement(call, &res);
    let answer = res.map_err(|error| match error {
        // Nothing of this attempt ran, but the replaced one may have.
        SendError::NotReached if replaces => ResultCode::OutcomeUnknown,
        error => repeat::failure(shared, call, error),
    });
    let limit = shared.clock.instant(call.deadline() - ANSWER_RESERVE);
    // What is not recorded by then is recorded while the caller has its answer.
    let _ = tokio::time::timeout_at(limit, permit.settle(settlement)).await;
    let outcome = answer.as_ref().map_or_else(|code| code.outcome(), |_| Outcome::Completed);
    shared.decisions.add(Decision::CallSettled { request, attempt, outcome });
    // A caller that left resends if it wants the answer.
    let _ = answer_tx.send(answer);
}

fn settlement(call: &Call, res: &Result<BackendAnswer, SendError>) -> Settlement {
    let outcome = match res {
        Ok(answer) => {
            let content_type = answer.content_type.clone();
            let bound_bytes = call.rule.answer_bytes;
            let body = &answer.body;
            let stored = StoredResponse::bounded(answer.status, content_type, body, bound_bytes);
            SettledOutcome::Completed(stored)
        }
        Err(SendError::BrokenOff) => SettledOutcome::Unknown,
        Err(SendError::NotReached) => return Settlement::NotRun,
    };
    Settlement::Sent(outcome)
}

/// Sends a call to the first backend server that takes the connection.
async fn send_once(shared: &Shared, call: &Call) -> Result<BackendAnswer, SendError> {
    let limit = shared.clock.instant(send_limit(call));
    for addr in call.rotated_addrs() {
        match send::send(&shared.services.once_http, addr, call, None, limit).await {
            Err(SendError::NotReached) => {}
            res => return res,
        }
    }
    Err(SendError::NotReached)
}

fn send_limit(call: &Call) -> Time {
    call.arrived_at + call.caller.profile.deadline() * SEND_DEADLINES
}
