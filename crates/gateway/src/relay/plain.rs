//! Requests whose answer is passed on whole.

use std::time::Duration;

use bytes::Bytes;
use citrongw_protocol::code::ResultCode;
use http::StatusCode;
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::{timeout, timeout_at};
use viz::{Body, Response};

use super::{
    attempts::Attempts,
    call::{Call, end_to_end},
    refuse::Refusal,
    send::{self, Answer, Cause, Failed},
};
use crate::node::Gateway;

/// Largest answer of a plain service that is held until it is whole.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Part of the expected latency after which an idempotent request is given up
/// at a server and tried at another.
const GIVE_UP_FACTOR: u32 = 3;

/// Answer that has arrived whole.
struct Whole {
    parts: http::response::Parts,
    body: Bytes,
}

/// Serves a request.
pub(super) async fn serve(
    gateway: &Gateway,
    call: &Call,
    attempts: &mut Attempts,
) -> Result<Response, Refusal> {
    let deadline = gateway.clock.instant(call.deadline());
    loop {
        let server = attempts.next_server(gateway, call)?;
        let exchange = async {
            let answer = send::send(gateway, call, &server, None).await?;
            read_whole(answer).await
        };
        let may_go_on =
            call.route.kind.may_rerun() && attempts.count() < call.route.max_attempts as usize;
        let outcome = if may_go_on {
            let patience = call.route.target_latency * GIVE_UP_FACTOR;
            let limited = async {
                let stalled = Err(Failed::may_have_run(Cause::Stalled));
                timeout(patience, exchange).await.unwrap_or(stalled)
            };
            timeout_at(deadline, limited).await
        } else {
            timeout_at(deadline, exchange).await
        };
        let Ok(outcome) = outcome else { return Err(ResultCode::DeadlinePassed.into()) };
        let failed = match outcome {
            Ok(whole) if whole.parts.status.is_server_error() && call.route.kind.may_rerun() => {
                let failed = Failed::may_have_run(Cause::ServerError);
                if attempts.retry(gateway, call, failed).await.is_err() {
                    return Ok(respond(call, whole));
                }
                continue;
            }
            Ok(whole) => {
                return Ok(respond(call, whole));
            }
            Err(failed) => failed,
        };
        attempts.retry(gateway, call, failed).await?;
    }
}

async fn read_whole(answer: Answer) -> Result<Whole, Failed> {
    let Answer { parts, body, in_flight, .. } = answer;
    let read = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    drop(in_flight);
    match read {
        Ok(body) => Ok(Whole { parts, body: body.to_bytes() }),
        Err(_) => Err(Failed::may_have_run(Cause::BrokeOff)),
    }
}

/// The answer as the caller gets it.
fn respond(call: &Call, whole: Whole) -> Response {
    let Whole { parts, body } = whole;
    // These promise that a request never runs, which this one may have.
    let promises = matches!(parts.status.as_u16(), 408 | 421 | 429 | 503);
    if promises && !call.route.kind.may_rerun() {
        return Refusal::from(ResultCode::EngineError).into_response(call.request);
    }
    let mut response = Response::new(Body::Full(Full::new(body)));
    *response.status_mut() = parts.status;
    *response.headers_mut() = end_to_end(parts.headers);
    response
}

/// Reads a failure of a stream's server whole and passes it on.
pub(super) async fn pass_on(call: &Call, answer: Answer, limit: Duration) -> Option<Response> {
    let whole = timeout(limit, read_whole(answer)).await.ok()?.ok()?;
    debug_assert!(whole.parts.status != StatusCode::OK);
    Some(respond(call, whole))
}
