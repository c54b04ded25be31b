//! One attempt of a request at one backend server.

use std::{sync::Arc, time::Duration};

use citrongw_state::{retry::AttemptProgress, time::Time};
use citrongw_transport::http_client::{HttpError, PooledBody, RequestBody};
use derive_more::Display;
use http::{Request, Uri, response};

use super::call::Call;
use crate::{
    adapter::{Forward, ResponseMeta},
    fleet::{Backend, InFlight},
    node::Gateway,
};

/// Time that a replica which reports a lost member gets no requests; its
/// controller has formed it anew or closed it by then, and the instance list
/// has told so.
const BROKEN_PAUSE: Duration = Duration::from_millis(1_500);
/// Time that a server gets no requests after its address refused or did not
/// answer a connect.
const UNREACHED_PAUSE: Duration = Duration::from_millis(1_000);

/// Why an attempt brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(super) enum Cause {
    /// No connection could be made.
    #[display("not reached")]
    NotReached,
    /// The server said that it did not run the request.
    #[display("server refused")]
    ServerRefused,
    /// The replica lost a member.
    #[display("replica broken")]
    ReplicaBroken,
    /// The owner of the replica told that it lost a member.
    #[display("replica down")]
    ReplicaDown,
    /// The exchange broke off.
    #[display("broke off")]
    Interrupted,
    /// The answer was to another request.
    #[display("answer of another request")]
    MismatchedResponse,
    /// Nothing came for too long.
    #[display("stalled")]
    Stalled,
    /// The server answered with an error of its own.
    #[display("server error")]
    ServerError,
    /// The request's time was up.
    #[display("deadline passed")]
    DeadlinePassed,
}

/// Attempt that brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct AttemptFailure {
    /// Why.
    pub(super) cause: Cause,
    /// How far it came.
    pub(super) reached: AttemptProgress,
}

impl AttemptFailure {
    /// Attempt that may have run.
    pub(super) fn may_have_run(cause: Cause) -> Self {
        Self { cause, reached: AttemptProgress::MayHaveRun }
    }

    fn not_run(cause: Cause) -> Self {
        Self { cause, reached: AttemptProgress::NotRun }
    }
}

/// Answer of a backend server with its body unread.
#[derive(Debug)]
pub(super) struct BackendResponse {
    /// Status and headers.
    pub(super) parts: response::Parts,
    /// Body.
    pub(super) body: PooledBody,
    /// Server that gave it.
    pub(super) backend: Arc<Backend>,
    /// Counts it as in flight.
    pub(super) in_flight: InFlight,
}

/// Sends a request to a server and waits for the head of its answer.
pub(super) async fn send(
    gateway: &Gateway,
    call: &Call,
    backend: &Arc<Backend>,
    resume_after: Option<u64>,
) -> Result<BackendResponse, AttemptFailure> {
    let now = gateway.clock.now();
    let request = build(gateway, call, backend, resume_after, now)
        .ok_or(AttemptFailure::not_run(Cause::NotReached))?;
    let in_flight = backend.stats.begin_request();
    let sent = gateway.http.send(request).await;
    let now = gateway.clock.now();
    let (parts, body) = match sent {
        Ok(response) => response.into_parts(),
        Err(error) => return Err(fail(gateway, backend, &error, now)),
    };
    backend.stats.record_received(now);
    let meta = gateway.adapter.codec.decode_response(parts.status, &parts.headers);
    if let Some(load) = meta.load {
        backend.stats.record_load(now, load);
    }
    if call.meta.attempt.is_some() && meta.attempt.is_some() && meta.attempt != call.meta.attempt {
        return Err(AttemptFailure::may_have_run(Cause::MismatchedResponse));
    }
    if meta.not_run {
        return Err(refused(gateway, backend, &meta));
    }
    backend.stats.breaker.record_result(now, true);
    Ok(BackendResponse { parts, body, backend: Arc::clone(backend), in_flight })
}

fn build(
    gateway: &Gateway,
    call: &Call,
    backend: &Backend,
    resume_after: Option<u64>,
    now: Time,
) -> Option<Request<RequestBody>> {
    let path = call.uri.path_and_query().map_or("/", |it| it.as_str());
    let uri: Uri = format!("http://{}{path}", backend.addr).parse().ok()?;
    let mut request = Request::new(call.body.to_request_body());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = uri;
    request.headers_mut().clone_from(&call.headers);
    let forward = Forward {
        remaining: call.remaining(now),
        instance: &backend.id,
        organisation: call.holder.as_ref().map(|it| &it.organisation),
        urgency: backend.replica.is_some().then(|| call.urgency(resume_after.is_some())),
        resume_after,
    };
    gateway.adapter.codec.set_forward(request.headers_mut(), &forward);
    Some(request)
}

/// Keeps requests away from a server for a while and tells the owner of its
/// domain, if it has one.
pub(super) fn mark_suspect(gateway: &Gateway, server: &Backend, pause: Duration) {
    server.stats.suspect_until(gateway.clock.now() + pause);
    if let (Some(domain), Some(key)) = (&server.domain, &server.replica) {
        gateway.peers.report_suspect(domain, (key.replica, key.epoch));
    }
}

fn fail(gateway: &Gateway, backend: &Backend, error: &HttpError, now: Time) -> AttemptFailure {
    backend.stats.breaker.record_result(now, false);
    match error {
        HttpError::NotReached | HttpError::ConnectionRefused => {
            mark_suspect(gateway, backend, UNREACHED_PAUSE);
            AttemptFailure::not_run(Cause::NotReached)
        }
        HttpError::Interrupted | HttpError::InvalidResponse | HttpError::Status { .. } => {
            AttemptFailure::may_have_run(Cause::Interrupted)
        }
    }
}

fn refused(gateway: &Gateway, backend: &Backend, meta: &ResponseMeta) -> AttemptFailure {
    if meta.at_fault.is_some() {
        mark_suspect(gateway, backend, BROKEN_PAUSE);
        return AttemptFailure::not_run(Cause::ReplicaBroken);
    }
    AttemptFailure::not_run(Cause::ServerRefused)
}
