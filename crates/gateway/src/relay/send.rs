//! One attempt of a request at one backend server.

use std::{sync::Arc, time::Duration};

use citrongw_state::{id::NodeId, retry::AttemptProgress, server_limit::StatedLimit, time::Time};
use citrongw_transport::http_client::{HttpError, PooledBody, RequestBody};
use derive_more::Display;
use http::{Request, Uri, response};

use super::{call::Call, hop};
use crate::{
    adapter::{ForwardMeta, ResponseMeta},
    fleet::{Backend, InFlight, work::RequestWork},
    node::Gateway,
    peers::message::PeerMessage,
};

/// Time that a replica which reports a lost member gets no requests. By then its
/// controller has repaired or closed it, and the instance list shows that.
const BROKEN_SUSPICION: Duration = Duration::from_millis(1_500);
/// Time that a server gets no requests after its address refused a connection or
/// a connection attempt timed out.
const UNREACHED_SUSPICION: Duration = Duration::from_millis(1_000);

/// Why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(super) enum Cause {
    /// No connection could be made.
    #[display("not reached")]
    NotReached,
    /// The gateway that the request was relayed to did not take it.
    #[display("declined")]
    Declined,
    /// The server reported that it did not run the request.
    #[display("server refused")]
    ServerRefused,
    /// The server reported that its replica lost a member.
    #[display("replica broken")]
    ReplicaBroken,
    /// The owner of the domain announced that the replica is down.
    #[display("replica down")]
    ReplicaDown,
    /// The connection broke during the exchange.
    #[display("broke off")]
    Interrupted,
    /// The caller did not send its body to the end.
    #[display("body of the caller broke off")]
    BodyBrokenOff,
    /// The response belongs to another request.
    #[display("answer of another request")]
    MismatchedResponse,
    /// The server sent nothing for too long.
    #[display("stalled")]
    Stalled,
    /// The server responded with a server error.
    #[display("server error")]
    ServerError,
    /// The deadline of the request passed.
    #[display("deadline passed")]
    DeadlinePassed,
    /// A part of the request was found to crash servers.
    #[display("quarantined")]
    Quarantined,
}

/// Failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct AttemptFailure {
    /// Why the attempt failed.
    pub(super) cause: Cause,
    /// Whether the request may have run.
    pub(super) progress: AttemptProgress,
}

impl AttemptFailure {
    /// Failure of an attempt that may have run.
    pub(super) fn may_have_run(cause: Cause) -> Self {
        Self { cause, progress: AttemptProgress::MayHaveRun }
    }

    fn not_run(cause: Cause) -> Self {
        Self { cause, progress: AttemptProgress::NotRun }
    }
}

/// Response of a backend server with its body unread.
#[derive(Debug)]
pub(super) struct BackendResponse {
    /// Status and headers of the response.
    pub(super) parts: response::Parts,
    /// Unread body of the response.
    pub(super) body: PooledBody,
    /// Server that sent the response.
    pub(super) backend: Arc<Backend>,
    /// Guard that counts the request as in flight.
    pub(super) in_flight: InFlight,
}

/// Sends a request through another gateway and waits for the head of the response.
async fn send_through(
    gateway: &Gateway,
    call: &Call,
    backend: &Arc<Backend>,
    relay: NodeId,
    attempts: u32,
    resume_after: Option<u64>,
) -> Result<BackendResponse, AttemptFailure> {
    let declined = || {
        let body = call.body.progress().map(|it| it.to_string());
        tracing::info!(
            request = %call.request, attempt = call.meta.attempt, gateway = %relay, body,
            "gateway declined the request"
        );
        hop::suspect(gateway, backend);
        Err(AttemptFailure::not_run(Cause::Declined))
    };
    let Some(request) = hop::build(gateway, call, (relay, backend.addr), attempts, resume_after)
    else {
        return declined();
    };
    let in_flight = backend.stats.begin_request();
    tracing::info!(
        request = %call.request, attempt = call.meta.attempt, gateway = %relay, attempts,
        is_cut = gateway.links.is_cut(), "request is relayed"
    );
    match hop::http(gateway).send_expecting_continue(request).await {
        Ok(response) => {
            let (mut parts, body) = response.into_parts();
            if hop::take_declined(gateway, backend, &mut parts) {
                return declined();
            }
            backend.stats.record_received(gateway.clock.now());
            parts.extensions.insert(hop::Relayed);
            Ok(BackendResponse { parts, body, backend: Arc::clone(backend), in_flight })
        }
        Err(HttpError::NotReached | HttpError::ConnectionRefused) => declined(),
        Err(_) if call.body.is_broken_off() => {
            Err(AttemptFailure::may_have_run(Cause::BodyBrokenOff))
        }
        // The other gateway never got a byte of the body.
        Err(_) if !call.body.is_buffered() && call.body.can_be_sent() => declined(),
        Err(_) => {
            hop::suspect(gateway, backend);
            Err(AttemptFailure::may_have_run(Cause::Interrupted))
        }
    }
}

/// Sends a request to a server and waits for the head of the response. `attempts` is the
/// number of servers that it was sent to before.
pub(super) async fn send(
    gateway: &Gateway,
    call: &Call,
    backend: &Arc<Backend>,
    attempts: u32,
    resume_after: Option<u64>,
) -> Result<BackendResponse, AttemptFailure> {
    if let Some(relay) = backend.gateway {
        return send_through(gateway, call, backend, relay, attempts, resume_after).await;
    }
    let sent_at = gateway.clock.now();
    let request = build(gateway, call, backend, resume_after, sent_at)
        .ok_or(AttemptFailure::not_run(Cause::NotReached))?;
    let in_flight = begin(gateway, call, backend, sent_at);
    let may_send = || {
        gateway.pauses.left(backend, gateway.clock.now()).is_none()
            && !gateway.departures.load().contains(&backend.id, backend.incarnation)
            && !gateway.routing.evacuations.zones().contains(&backend.zone)
    };
    let sent = gateway.adapter.http.send_if(request, may_send).await;
    let now = gateway.clock.now();
    let (parts, body) = match sent {
        Ok(Some(response)) => response.into_parts(),
        // The server has requested a pause meanwhile, is leaving, or its zone is evacuated.
        Ok(None) => return Err(AttemptFailure::not_run(Cause::ServerRefused)),
        // The server broke no connection, so it is not suspected.
        Err(_) if call.body.is_broken_off() => {
            return Err(AttemptFailure::may_have_run(Cause::BodyBrokenOff));
        }
        Err(error) => return Err(connection_failure(gateway, backend, &error, now)),
    };
    record_received(gateway, backend, now);
    let meta = gateway.adapter.codec.decode_response(parts.status, &parts.headers);
    if let Some(load) = meta.load {
        backend.stats.record_load(now, load);
    }
    if call.meta.attempt.is_some() && meta.attempt.is_some() && meta.attempt != call.meta.attempt {
        return Err(AttemptFailure::may_have_run(Cause::MismatchedResponse));
    }
    gateway.routing.record_response(backend);
    if let Some(left) = meta.cold_left {
        gateway.routing.record_cold_left(backend, left, now);
    }
    gateway.pauses.record(backend, meta.pause, now);
    if meta.is_leaving {
        record_leaving(gateway, backend, now);
    }
    // A failure without a limit does not say that there is none.
    if parts.status.is_success() || meta.limit != StatedLimit::None {
        gateway.limits.record_response(backend, meta.limit, sent_at);
    }
    if meta.not_run {
        return Err(refusal_failure(gateway, backend, &meta));
    }
    backend.stats.breaker.record_result(now, true);
    Ok(BackendResponse { parts, body, backend: Arc::clone(backend), in_flight })
}

/// Counts a request as in flight, with its work where the cost is known.
fn begin(gateway: &Gateway, call: &Call, backend: &Backend, now: Time) -> InFlight {
    let work = call.cost.map_or(RequestWork::UNKNOWN, |it| it.work());
    if let (true, Some(replica)) = (gateway.settings.by_cost, &backend.replica) {
        gateway.peer_loads.record_begun(replica, work.prompt_tokens, now);
    }
    backend.stats.begin_work(work, now)
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
    let mut request = Request::new(call.body.begin_attempt()?);
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = uri;
    request.headers_mut().clone_from(&call.headers);
    let forward = ForwardMeta {
        remaining: call.remaining(now),
        instance: &backend.id,
        organisation: call.holder.as_ref().map(|it| &it.organisation),
        urgency: backend.replica.is_some().then(|| call.urgency(resume_after.is_some())),
        resume_after,
    };
    gateway.adapter.codec.set_forward(request.headers_mut(), &forward);
    Some(request)
}

/// Records that a server stated that it is leaving, and tells the other gateways: the owner
/// of its domain replaces it before the list of instances shows that it leaves.
fn record_leaving(gateway: &Gateway, backend: &Backend, now: Time) {
    let server = backend.server();
    if !gateway.departures.record(&server, "response", now) {
        return;
    }
    let peers = Arc::clone(&gateway.peers);
    tokio::spawn(async move { peers.broadcast(&PeerMessage::ServerLeaving { server }).await });
}

/// Records that bytes arrived from a server.
pub(super) fn record_received(gateway: &Gateway, server: &Backend, now: Time) {
    server.stats.record_received(now);
    if server.gateway.is_none() {
        gateway.links.record_heard();
    }
}

/// Suspects a server for `duration`, and reports its replica, if any, to the
/// owner of the domain.
pub(super) fn mark_suspect(gateway: &Gateway, server: &Backend, duration: Duration) {
    server.stats.suspect_until(gateway.clock.now() + duration);
    if server.gateway.is_some() {
        return;
    }
    gateway.links.record_failure(&server.id);
    if gateway.links.is_cut() {
        return;
    }
    if let (Some(domain), Some(key)) = (&server.domain, &server.replica) {
        gateway.peers.report_suspect(domain, (key.replica, key.epoch));
    }
}

fn connection_failure(
    gateway: &Gateway,
    backend: &Backend,
    error: &HttpError,
    now: Time,
) -> AttemptFailure {
    backend.stats.breaker.record_result(now, false);
    if *error == HttpError::ConnectionRefused {
        gateway.crashes.record_refused(backend);
        gateway.routing.record_refused(backend);
    }
    match error {
        HttpError::NotReached | HttpError::ConnectionRefused => {
            mark_suspect(gateway, backend, UNREACHED_SUSPICION);
            AttemptFailure::not_run(Cause::NotReached)
        }
        HttpError::Interrupted => {
            gateway.links.record_failure(&backend.id);
            AttemptFailure::may_have_run(Cause::Interrupted)
        }
        HttpError::InvalidResponse | HttpError::Status { .. } => {
            AttemptFailure::may_have_run(Cause::Interrupted)
        }
    }
}

fn refusal_failure(gateway: &Gateway, backend: &Backend, meta: &ResponseMeta) -> AttemptFailure {
    if meta.at_fault.is_some() {
        mark_suspect(gateway, backend, BROKEN_SUSPICION);
        return AttemptFailure::not_run(Cause::ReplicaBroken);
    }
    AttemptFailure::not_run(Cause::ServerRefused)
}
