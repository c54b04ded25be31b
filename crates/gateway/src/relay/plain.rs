//! Requests whose answer is passed on as it is.
//!
//! A short answer is held until it is whole, so that a request that may run
//! again can be sent elsewhere if the answer breaks off. A longer one is passed
//! on as it comes, and the caller's connection ends with it if it breaks off.

use std::{io, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use citrongw_protocol::code::ResultCode;
use citrongw_transport::http_client::PooledBody;
use futures::stream;
use http::{HeaderValue, StatusCode, header, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Body as _;
use tokio::time::{Instant, timeout, timeout_at};
use viz::{Body, Response};

use super::{
    attempts::Attempts,
    body::MAX_BUFFERED_BYTES,
    call::{Call, end_to_end},
    log::RequestLog,
    refuse::Refusal,
    send::{self, AttemptFailure, BackendResponse, Cause},
};
use crate::{fleet::InFlight, node::Gateway};

/// Part of the expected latency after which an idempotent request is given up
/// at a server and tried at another.
const GIVE_UP_FACTOR: u32 = 3;

/// Answer that is whole, or longer than what is held.
struct Begun {
    parts: response::Parts,
    held: Bytes,
    rest: Option<Rest>,
}

/// Rest of an answer that is passed on as it comes.
struct Rest {
    body: PooledBody,
    _in_flight: InFlight,
}

/// Serves a request.
pub(super) async fn serve(
    gateway: &Arc<Gateway>,
    call: Call,
    mut attempts: Attempts,
    mut log: RequestLog,
) -> Response {
    let begun = match begin(gateway, &call, &mut attempts).await {
        Ok(begun) => begun,
        Err(refusal) => {
            let is_too_large = call.body.is_too_large();
            let refusal = if is_too_large { ResultCode::TooLarge.into() } else { refusal };
            log.end_with_refusal(refusal.code, &attempts);
            return refusal.into_response(call.request);
        }
    };
    let Begun { parts, held, rest } = begun;
    let Some(rest) = rest else {
        let response = respond(&call, parts, Body::Full(Full::new(held)));
        log.end_with_status(response.status().as_u16(), &attempts);
        return response;
    };
    let length = rest.body.size_hint().exact().map(|it| it + held.len() as u64);
    let deadline = gateway.clock.instant(call.deadline());
    let status = parts.status.as_u16();
    let pieces = pass_on_rest(held, rest, deadline, move |ended| match ended {
        Ok(()) => log.end_with_status(status, &attempts),
        Err(cause) => log.end_interrupted(cause, &attempts),
    });
    let mut response = respond(&call, parts, Body::from_stream(pieces));
    if let Some(length) = length.filter(|_| response.status().as_u16() == status) {
        response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    }
    response
}

/// Sends the request until a server has begun to answer it.
async fn begin(gateway: &Gateway, call: &Call, attempts: &mut Attempts) -> Result<Begun, Refusal> {
    let deadline = gateway.clock.instant(call.deadline());
    loop {
        let server = attempts.next_server(gateway, call)?;
        let exchange = async {
            let answer = send::send(gateway, call, &server, None).await?;
            read_held(answer).await
        };
        let may_go_on = call.route.kind.may_rerun()
            && call.body.is_buffered()
            && attempts.count() < call.route.max_attempts as usize;
        let outcome = if may_go_on {
            let patience = call.route.target_latency * GIVE_UP_FACTOR;
            let limited = async {
                let stalled = Err(AttemptFailure::may_have_run(Cause::Stalled));
                timeout(patience, exchange).await.unwrap_or(stalled)
            };
            timeout_at(deadline, limited).await
        } else {
            timeout_at(deadline, exchange).await
        };
        let Ok(outcome) = outcome else { return Err(ResultCode::DeadlinePassed.into()) };
        let failed = match outcome {
            Ok(begun) if begun.parts.status.is_server_error() && call.route.kind.may_rerun() => {
                let failed = AttemptFailure::may_have_run(Cause::ServerError);
                if attempts.retry(gateway, call, failed).await.is_err() {
                    return Ok(begun);
                }
                continue;
            }
            Ok(begun) => return Ok(begun),
            Err(failed) => failed,
        };
        attempts.retry(gateway, call, failed).await?;
    }
}

/// Reads an answer to its end, or as far as it is held.
async fn read_held(answer: BackendResponse) -> Result<Begun, AttemptFailure> {
    let BackendResponse { parts, mut body, in_flight, .. } = answer;
    let mut held = BytesMut::new();
    while held.len() <= MAX_BUFFERED_BYTES {
        let Some(frame) = body.frame().await else {
            return Ok(Begun { parts, held: held.freeze(), rest: None });
        };
        let frame = frame.map_err(|_| AttemptFailure::may_have_run(Cause::Interrupted))?;
        if let Ok(data) = frame.into_data() {
            held.extend_from_slice(&data);
        }
    }
    let rest = Rest { body, _in_flight: in_flight };
    Ok(Begun { parts, held: held.freeze(), rest: Some(rest) })
}

/// What is held and then the rest as it comes; `end` is told how it ended.
fn pass_on_rest(
    held: Bytes,
    rest: Rest,
    deadline: Instant,
    end: impl FnOnce(Result<(), Cause>) + Send + 'static,
) -> impl stream::Stream<Item = io::Result<Bytes>> + Send + 'static {
    stream::unfold(Some((Some(held), rest, end)), move |state| async move {
        let (mut held, mut rest, end) = state?;
        if let Some(held) = held.take() {
            return Some((Ok(held), Some((None, rest, end))));
        }
        let cause = loop {
            match timeout_at(deadline, rest.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    return Some((Ok(data), Some((None, rest, end))));
                }
                Ok(None) => {
                    end(Ok(()));
                    return None;
                }
                Ok(Some(Err(_))) => break Cause::Interrupted,
                Err(_) => break Cause::DeadlinePassed,
            }
        };
        end(Err(cause));
        Some((Err(io::Error::other(cause.to_string())), None))
    })
}

/// The answer as the caller gets it.
fn respond(call: &Call, parts: response::Parts, body: Body) -> Response {
    // These promise that a request never runs, which this one may have.
    let promises = matches!(parts.status.as_u16(), 408 | 421 | 429 | 503);
    if promises && !call.route.kind.may_rerun() {
        return Refusal::from(ResultCode::EngineError).into_response(call.request);
    }
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = end_to_end(parts.headers);
    response
}

/// Passes on a failure of a stream's server, if it is whole in time.
pub(super) async fn forward_buffered(
    call: &Call,
    answer: BackendResponse,
    limit: Duration,
) -> Option<Response> {
    let begun = timeout(limit, read_held(answer)).await.ok()?.ok()?;
    debug_assert!(begun.parts.status != StatusCode::OK);
    let Begun { parts, held, rest: None } = begun else { return None };
    Some(respond(call, parts, Body::Full(Full::new(held))))
}
