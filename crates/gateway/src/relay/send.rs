//! One attempt of a request at one backend server.

use std::{sync::Arc, time::Duration};

use citrongw_state::{retry::AttemptProgress, time::Time};
use citrongw_transport::http_client::{HttpError, PooledBody, RequestBody};
use derive_more::Display;
use http::{Request, Uri, response};

use super::call::Call;
use crate::{
    adapter::{AnswerMeta, Forward},
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
    BrokeOff,
    /// The answer was to another request.
    #[display("answer of another request")]
    ForeignAnswer,
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
pub(super) struct Failed {
    /// Why.
    pub(super) cause: Cause,
    /// How far it came.
    pub(super) reached: AttemptProgress,
}

impl Failed {
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
pub(super) struct Answer {
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
) -> Result<Answer, Failed> {
    let now = gateway.clock.now();
    let request = build(gateway, call, backend, resume_after, now)
        .ok_or(Failed::not_run(Cause::NotReached))?;
    let in_flight = backend.stats.enter();
    let sent = gateway.http.send(request).await;
    let now = gateway.clock.now();
    let (parts, body) = match sent {
        Ok(response) => response.into_parts(),
        Err(error) => return Err(fail(gateway, backend, &error, now)),
    };
    backend.stats.hear(now);
    let meta = gateway.adapter.codec.decode_answer(parts.status, &parts.headers);
    if let Some(load) = meta.load {
        backend.stats.hear_load(now, load);
    }
    if call.meta.attempt.is_some() && meta.attempt.is_some() && meta.attempt != call.meta.attempt {
        return Err(Failed::may_have_run(Cause::ForeignAnswer));
    }
    if meta.not_run {
        return Err(refused(gateway, backend, &meta));
    }
    backend.stats.breaker.record_result(now, true);
    Ok(Answer { parts, body, backend: Arc::clone(backend), in_flight })
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
pub(super) fn doubt(gateway: &Gateway, server: &Backend, pause: Duration) {
    server.stats.suspect(gateway.clock.now() + pause);
    if let (Some(domain), Some(key)) = (&server.domain, &server.replica) {
        gateway.peers.doubt(domain, (key.replica, key.epoch));
    }
}

fn fail(gateway: &Gateway, backend: &Backend, error: &HttpError, now: Time) -> Failed {
    backend.stats.breaker.record_result(now, false);
    match error {
        HttpError::NotReached | HttpError::ConnectionRefused => {
            doubt(gateway, backend, UNREACHED_PAUSE);
            Failed::not_run(Cause::NotReached)
        }
        HttpError::BrokenOff | HttpError::BadAnswer | HttpError::Status { .. } => {
            Failed::may_have_run(Cause::BrokeOff)
        }
    }
}

fn refused(gateway: &Gateway, backend: &Backend, meta: &AnswerMeta) -> Failed {
    if meta.at_fault.is_some() {
        doubt(gateway, backend, BROKEN_PAUSE);
        return Failed::not_run(Cause::ReplicaBroken);
    }
    Failed::not_run(Cause::ServerRefused)
}
