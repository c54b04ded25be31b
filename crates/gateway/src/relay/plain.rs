//! Requests whose response is forwarded without interpreting its body.
//!
//! A short response is buffered until it is complete, so that a request that may
//! run again can be sent to another server if the response breaks off. A longer
//! one is streamed as it arrives, and if it breaks off, the caller's connection is
//! closed too.

use std::{io, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use citrongw_protocol::code::ResultCode;
use citrongw_transport::{
    http_client::PooledBody,
    memory_budget::{Account, MemoryKind},
};
use futures::stream;
use http::{HeaderValue, StatusCode, header, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Body as _;
use tokio::time::{Instant, timeout, timeout_at};
use viz::{Body, Response};

use super::{
    admission,
    attempts::Attempts,
    body::{MAX_BUFFERED_BYTES, expected_buffer},
    call::{Call, strip_hop_by_hop},
    hop::Relayed,
    log::RequestLog,
    memory::{self, BufferCharge},
    refuse::Refusal,
    send::{self, AttemptFailure, BackendResponse, Cause},
    signatures, unanswered,
};
use crate::{
    fleet::{Backend, InFlight},
    node::Gateway,
};

/// Multiple of the expected latency after which an idempotent request is
/// abandoned at one server and retried at another.
const ABANDON_FACTOR: u32 = 3;

/// Response that is complete, or longer than the buffer.
struct ResponseStart {
    parts: response::Parts,
    buffered: Bytes,
    rest: Option<Rest>,
}

/// Rest of a response that is streamed as it arrives.
struct Rest {
    body: PooledBody,
    backend: Arc<Backend>,
    _in_flight: InFlight,
    /// Charge of the part that is buffered.
    _charge: BufferCharge,
    /// Charge of the request body, which may still be in transfer.
    body_charge: Option<BufferCharge>,
}

/// Relays a request and its response.
pub(super) async fn serve(
    gateway: &Arc<Gateway>,
    mut call: Call,
    mut attempts: Attempts,
    mut log: RequestLog,
) -> Response {
    let started = match start(gateway, &call, &mut attempts).await {
        Ok(started) => started,
        Err(refusal) => {
            let is_too_large = call.body.is_too_large();
            let refusal = if is_too_large { ResultCode::TooLarge.into() } else { refusal };
            log.end_with_refusal(refusal.code, &attempts);
            return refusal.into_response(call.request);
        }
    };
    let ResponseStart { parts, buffered, rest } = started;
    if let Some(mut rest) = rest {
        rest.body_charge = call.body_charge.take();
        return forward_rest(gateway, &call, parts, buffered, rest, attempts, log);
    }
    if parts.status.is_success() {
        let shared_parts = call.signatures.shared_parts();
        gateway.crashes.record_success(shared_parts, || signatures::all_of(&call));
    }
    let response = respond(&call, parts, Body::Full(Full::new(buffered)));
    log.end_with_status(response.status().as_u16(), &attempts);
    response
}

/// Responds with the buffered part and the rest as it arrives.
fn forward_rest(
    gateway: &Gateway,
    call: &Call,
    parts: response::Parts,
    buffered: Bytes,
    rest: Rest,
    attempts: Attempts,
    mut log: RequestLog,
) -> Response {
    let length = rest.body.size_hint().exact().map(|it| it + buffered.len() as u64);
    let deadline = gateway.clock.instant(call.deadline());
    let status = parts.status;
    let crashes = Arc::clone(&gateway.crashes);
    let backend = Arc::clone(&rest.backend);
    let shared_parts = call.signatures.shared_parts().to_vec();
    let signatures = signatures::all_of(call);
    let chunks = stream_rest(buffered, rest, deadline, move |outcome| match outcome {
        Ok(()) => {
            if status.is_success() {
                crashes.record_success(&shared_parts, || signatures);
            }
            log.end_with_status(status.as_u16(), &attempts);
        }
        Err(cause) => {
            if cause == Cause::Interrupted && backend.gateway.is_none() {
                crashes.record_interrupted(&backend, signatures);
            }
            log.end_interrupted(cause, &attempts);
        }
    });
    let mut response = respond(call, parts, Body::from_stream(chunks));
    if let Some(length) = length.filter(|_| response.status() == status) {
        response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    }
    response
}

/// Sends the request, with retries, until a server has begun to respond.
async fn start(
    gateway: &Gateway,
    call: &Call,
    attempts: &mut Attempts,
) -> Result<ResponseStart, Refusal> {
    let deadline = gateway.clock.instant(call.deadline());
    loop {
        let server = attempts.next_server(gateway, call).await?;
        let unanswered = unanswered::open(gateway, call, &server);
        let sent = attempts.sent();
        let sent_at = gateway.clock.now();
        let exchange = async {
            let response = send::send(gateway, call, &server, sent, None).await?;
            read_buffered(response, call.account.as_ref()).await
        };
        let may_abandon = server.gateway.is_none()
            && call.route.kind.may_rerun()
            && call.body.is_buffered()
            && attempts.count() < call.route.max_attempts as usize;
        let outcome = if may_abandon {
            let attempt_timeout = call.route.target_latency * ABANDON_FACTOR;
            let limited = async {
                let stalled = Err(AttemptFailure::may_have_run(Cause::Stalled));
                tokio::select! {
                    res = timeout(attempt_timeout, exchange) => res.unwrap_or(stalled),
                    () = gateway.links.wait_until_cut() => stalled,
                }
            };
            timeout_at(deadline, limited).await
        } else {
            timeout_at(deadline, exchange).await
        };
        let Ok(outcome) = outcome else { return Err(ResultCode::DeadlinePassed.into()) };
        if !matches!(outcome, Err(AttemptFailure { cause: Cause::Stalled, .. })) {
            unanswered.end();
        }
        let failed = match outcome {
            Ok(started)
                if started.parts.status.is_server_error()
                    && server.gateway.is_none()
                    && call.route.kind.may_rerun() =>
            {
                let failed = AttemptFailure::may_have_run(Cause::ServerError);
                if attempts.retry(gateway, call, failed).await.is_err() {
                    return Ok(started);
                }
                continue;
            }
            Ok(started) => {
                if started.parts.status.is_success() && started.rest.is_none() {
                    let took = gateway.clock.now().since(sent_at);
                    admission::record_first_event(gateway, call, attempts, took);
                    admission::record_end(gateway, call, attempts, Duration::ZERO);
                }
                return Ok(started);
            }
            Err(failed) => failed,
        };
        if failed.cause == Cause::Interrupted && server.gateway.is_none() {
            gateway.crashes.record_interrupted(&server, signatures::all_of(call));
        }
        attempts.retry(gateway, call, failed).await?;
    }
}

/// Reads a response to its end, or up to the limit of the buffer. While there is no memory
/// for it, it is streamed from where the memory ends.
async fn read_buffered(
    response: BackendResponse,
    account: Option<&Arc<Account>>,
) -> Result<ResponseStart, AttemptFailure> {
    let BackendResponse { parts, mut body, backend, in_flight } = response;
    let mut charge = memory::open(account, MemoryKind::Response);
    let mut buffered = BytesMut::new();
    let expected_bytes = expected_buffer(body.size_hint().exact());
    let mut has_memory = true;
    while has_memory && buffered.len() <= MAX_BUFFERED_BYTES {
        let Some(frame) = body.frame().await else {
            let buffered = buffered.freeze();
            return Ok(ResponseStart { parts, buffered, rest: None });
        };
        let frame = frame.map_err(|_| AttemptFailure::may_have_run(Cause::Interrupted))?;
        if let Ok(data) = frame.into_data() {
            buffered.reserve(data.len().max(expected_bytes.saturating_sub(buffered.len())));
            buffered.extend_from_slice(&data);
            has_memory = charge.grow_to(buffered.capacity()).is_ok();
        }
    }
    let rest = Rest { body, backend, _in_flight: in_flight, _charge: charge, body_charge: None };
    Ok(ResponseStart { parts, buffered: buffered.freeze(), rest: Some(rest) })
}

/// Stream of the buffered part and then the rest as it arrives. `on_end` is
/// called with the outcome.
fn stream_rest(
    buffered: Bytes,
    rest: Rest,
    deadline: Instant,
    on_end: impl FnOnce(Result<(), Cause>) + Send + 'static,
) -> impl stream::Stream<Item = io::Result<Bytes>> + Send + 'static {
    stream::unfold(Some((Some(buffered), rest, on_end)), move |state| async move {
        let (buffered, mut rest, on_end) = state?;
        let data = match buffered {
            Some(buffered) => Ok(Some(buffered)),
            None => next_data(&mut rest.body, deadline).await,
        };
        match data {
            // The server polls no further once a response of known length is sent.
            Ok(Some(data)) if rest.body.is_end_stream() => {
                on_end(Ok(()));
                Some((Ok(data), None))
            }
            Ok(Some(data)) => Some((Ok(data), Some((None, rest, on_end)))),
            Ok(None) => {
                on_end(Ok(()));
                None
            }
            Err(cause) => {
                on_end(Err(cause));
                Some((Err(io::Error::other(cause.to_string())), None))
            }
        }
    })
}

/// Reads the next data of a body; none at its end.
async fn next_data(body: &mut PooledBody, deadline: Instant) -> Result<Option<Bytes>, Cause> {
    loop {
        match timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
            Ok(Some(Err(_))) => return Err(Cause::Interrupted),
            Ok(None) => return Ok(None),
            Err(_) => return Err(Cause::DeadlinePassed),
        }
    }
}

/// Builds the response for the caller.
fn respond(call: &Call, parts: response::Parts, body: Body) -> Response {
    // These codes promise that the request never runs, but it may have run.
    let is_of_server = parts.extensions.get::<Relayed>().is_none();
    let promises_not_run = is_of_server && matches!(parts.status.as_u16(), 408 | 421 | 429 | 503);
    if promises_not_run && !call.route.kind.may_rerun() {
        return Refusal::from(ResultCode::EngineError).into_response(call.request);
    }
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = strip_hop_by_hop(parts.headers);
    response
}

/// Forwards an error response to a stream request if it is complete within the
/// limit.
pub(super) async fn forward_buffered(
    call: &Call,
    response: BackendResponse,
    limit: Duration,
) -> Option<Response> {
    let read = read_buffered(response, call.account.as_ref());
    let started = timeout(limit, read).await.ok()?.ok()?;
    debug_assert!(started.parts.status != StatusCode::OK);
    let ResponseStart { parts, buffered, rest: None } = started else { return None };
    Some(respond(call, parts, Body::Full(Full::new(buffered))))
}
