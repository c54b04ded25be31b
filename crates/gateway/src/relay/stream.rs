//! Requests whose response is a stream of events.
//!
//! Events are forwarded one by one as they arrive. When a server breaks off or
//! falls silent, a resumable stream continues at another replica after the last
//! forwarded event, under the headers of the first response. Any other stream
//! ends with an error, so that it does not look complete.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use citrongw_protocol::code::ResultCode;
use citrongw_state::time::Time;
use citrongw_transport::http_client::PooledBody;
use futures::stream;
use http_body_util::BodyExt;
use tokio::time::{sleep_until, timeout_at};
use viz::{Body, Response};

use super::{
    admission,
    attempts::Attempts,
    call::{Call, strip_hop_by_hop},
    events::{Event, EventSplitter},
    log::RequestLog,
    plain,
    refuse::Refusal,
    send::{self, AttemptFailure, BackendResponse, Cause},
    signatures, unanswered,
};
use crate::{
    fleet::{Backend, InFlight},
    node::Gateway,
};

/// Silence of a server, as a multiple of the expected time between events, after
/// which a stream continues at another server.
const SILENT_GAP_FACTOR: u32 = 2;
/// Silence before the first event, as a multiple of the expected latency, after
/// which a request is sent to another server if its server is silent to all
/// requests of this node.
const SILENT_LATENCY_FACTOR: u32 = 3;
/// Silence of one stream, as a multiple of the expected time between events,
/// after which it continues at another server although its server responds to
/// other requests. It is below the shortest time after which callers abandon a
/// silent stream.
const STUCK_GAP_FACTOR: u32 = 5;
/// Time after the first event of a stream in which its request may be what crashed
/// its server.
const CRASH_WINDOW: Duration = Duration::from_secs(1);
/// Time that a server that fell silent gets no requests.
const SILENT_SUSPICION: Duration = Duration::from_secs(2);

/// Relays a request and its stream of events.
pub(super) async fn serve(
    gateway: &Arc<Gateway>,
    call: Call,
    mut attempts: Attempts,
    mut log: RequestLog,
) -> Response {
    let call = Arc::new(call);
    let (parts, source) = match open(gateway, &call, &mut attempts, call.meta.last_event).await {
        Ok(Opened::Stream(parts, source)) => (parts, source),
        Ok(Opened::Failure(response)) => {
            log.end_with_status(response.status().as_u16(), &attempts);
            return response;
        }
        Err(refusal) => {
            log.end_with_refusal(refusal.code, &attempts);
            return refusal.into_response(call.request);
        }
    };
    log.record_first_event();
    let mut response = Response::new(Body::Empty);
    *response.status_mut() = parts.status;
    *response.headers_mut() = strip_hop_by_hop(parts.headers);
    let relay = Relay {
        gateway: Arc::clone(gateway),
        last_event: call.meta.last_event,
        call,
        attempts,
        source,
        must_wait: false,
        log,
    };
    let events = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
            Ok(None) => {
                let parts = relay.call.signatures.shared_parts();
                let all = || signatures::all_of(&relay.call);
                relay.gateway.crashes.record_success(parts, all);
                relay.record_end();
                relay.record_cost();
                relay.log.end_with_status(200, &relay.attempts);
                None
            }
            Err(cause) => {
                relay.log.end_interrupted(cause, &relay.attempts);
                Some((Err(io::Error::other(cause.to_string())), None))
            }
        }
    });
    *response.body_mut() = Body::from_stream(events);
    response
}

enum Opened {
    Stream(http::response::Parts, Box<Source>),
    Failure(Response),
}

/// Response stream of the current backend server.
struct Source {
    body: PooledBody,
    splitter: EventSplitter,
    /// Event that was read before the response head was forwarded.
    first: Option<Event>,
    backend: Arc<Backend>,
    opened_at: Time,
    in_flight: InFlight,
}

/// Sends the request, with retries, until a server has sent its first event.
async fn open(
    gateway: &Gateway,
    call: &Call,
    attempts: &mut Attempts,
    resume_after: Option<u64>,
) -> Result<Opened, Refusal> {
    loop {
        let server = attempts.next_server(gateway, call).await?;
        let failed = match open_at(gateway, call, &server, attempts, resume_after).await {
            Ok(Ok((parts, source))) => return Ok(Opened::Stream(parts, Box::new(source))),
            Ok(Err(response)) => {
                let failed = AttemptFailure::may_have_run(Cause::ServerError);
                let is_server_error = response.parts.status.is_server_error();
                if is_server_error
                    && server.gateway.is_none()
                    && attempts.retry(gateway, call, failed).await.is_ok()
                {
                    continue;
                }
                let left = call.deadline().since(gateway.clock.now());
                let forwarded = plain::forward_buffered(call, response, left).await;
                return forwarded
                    .map(Opened::Failure)
                    .ok_or_else(|| attempts.refusal(ResultCode::BrokenOff));
            }
            Err(failed) => failed,
        };
        match failed.cause {
            Cause::Interrupted if server.gateway.is_none() => {
                gateway.crashes.record_interrupted(&server, signatures::all_of(call));
            }
            Cause::Quarantined => return Err(attempts.withdraw()),
            _ => {}
        }
        attempts.retry(gateway, call, failed).await?;
    }
}

/// Sends the request to one server and reads the first event. A response that is
/// not a stream is returned unread. If the server is silent and there is no other
/// server, the function keeps waiting.
async fn open_at(
    gateway: &Gateway,
    call: &Call,
    server: &Arc<Backend>,
    attempts: &Attempts,
    resume_after: Option<u64>,
) -> Result<Result<(http::response::Parts, Source), BackendResponse>, AttemptFailure> {
    let sent_at = gateway.clock.now();
    let unanswered = unanswered::open(gateway, call, server);
    let exchange = async {
        let response = send::send(gateway, call, server, attempts.sent(), resume_after).await?;
        if !response.parts.status.is_success() {
            return Ok(Err(response));
        }
        let BackendResponse { parts, body, backend, mut in_flight } = response;
        // The time that a caller takes to send a long body says nothing of the server.
        let is_timed = call.body.is_buffered();
        let predicted = attempts.last_choice().and_then(|it| it.best.load.predicted);
        in_flight.set_predicted(predicted.filter(|_| is_timed));
        let splitter = EventSplitter::default();
        let opened_at = gateway.clock.now();
        let mut source = Source { body, splitter, first: None, backend, opened_at, in_flight };
        source.first = source.read(gateway).await?;
        source.opened_at = gateway.clock.now();
        if source.first.is_some() && is_timed {
            let took = source.opened_at.since(sent_at);
            admission::record_first_event(gateway, call, attempts, took);
        }
        Ok(Ok((parts, source)))
    };
    tokio::pin!(exchange);
    let deadline = gateway.clock.instant(call.deadline());
    let limit = call.route.target_latency * SILENT_LATENCY_FACTOR;
    let cause = tokio::select! {
        res = &mut exchange => {
            unanswered.end();
            return res;
        }
        () = sleep_until(deadline) => return Err(AttemptFailure::may_have_run(Cause::DeadlinePassed)),
        // Another gateway watches its servers itself.
        () = wait_for_no_response(gateway, call, server, sent_at, limit), if server.gateway.is_none() => {
            send::mark_suspect(gateway, server, SILENT_SUSPICION);
            Cause::Stalled
        }
        () = server.stats.wait_until_down() => Cause::ReplicaDown,
        () = gateway.links.wait_until_cut(), if server.gateway.is_none() => Cause::Stalled,
        // The server drops the request with its connection.
        () = gateway.crashes.wait_until_quarantined(|| signatures::all_of(call)) => {
            return Err(AttemptFailure::may_have_run(Cause::Quarantined));
        }
    };
    tokio::select! {
        biased;
        () = attempts.wait_for_another(gateway, call) => Err(AttemptFailure::may_have_run(cause)),
        res = exchange => {
            unanswered.end();
            res
        }
        () = sleep_until(deadline) => Err(AttemptFailure::may_have_run(Cause::DeadlinePassed)),
    }
}

/// Completes once a server has not begun to respond to a request for `limit`, and sent
/// nothing to any other. A server that still waits for the caller's body is not silent.
async fn wait_for_no_response(
    gateway: &Gateway,
    call: &Call,
    server: &Backend,
    mut since: Time,
    limit: Duration,
) {
    loop {
        wait_for_silence(gateway, server, since, limit).await;
        if !call.body.is_in_transfer() {
            return;
        }
        since = gateway.clock.now();
    }
}

/// Completes once a server has sent nothing to any request of this node for
/// `limit`.
async fn wait_for_silence(gateway: &Gateway, server: &Backend, since: Time, limit: Duration) {
    loop {
        let last_received_at = server.stats.last_received_at().max(since);
        let until = last_received_at + limit;
        if until <= gateway.clock.now() {
            return;
        }
        sleep_until(gateway.clock.instant(until)).await;
    }
}

impl Source {
    /// Reads the next event; none at the regular end of the stream.
    async fn read(&mut self, gateway: &Gateway) -> Result<Option<Event>, AttemptFailure> {
        let interrupted = || AttemptFailure::may_have_run(Cause::Interrupted);
        loop {
            if let Some(event) = self.splitter.next_event() {
                self.in_flight.record_event(gateway.clock.now());
                return Ok(Some(event));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    send::record_received(gateway, &self.backend, gateway.clock.now());
                    let Ok(data) = frame.into_data() else { continue };
                    self.splitter.push(&data).map_err(|_| interrupted())?;
                }
                Some(Err(_)) => return Err(interrupted()),
                None if self.splitter.is_mid_event() => return Err(interrupted()),
                None => return Ok(None),
            }
        }
    }
}

/// Stream that is relayed to the caller.
struct Relay {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    attempts: Attempts,
    source: Box<Source>,
    /// Whether to wait for the silent source until another server is available.
    must_wait: bool,
    last_event: Option<u64>,
    log: RequestLog,
}

impl Relay {
    /// Next bytes for the caller; none at the regular end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, Cause> {
        loop {
            let failed = match self.read().await {
                Ok(None) => return Ok(None),
                Ok(Some(event)) => {
                    self.must_wait = false;
                    match self.check(&event) {
                        Position::Next => return Ok(Some(event.bytes)),
                        Position::Repeated => continue,
                        Position::AfterGap => AttemptFailure::may_have_run(Cause::Interrupted),
                    }
                }
                Err(failed) => failed,
            };
            self.record_interrupted(failed.cause);
            self.resume(failed).await?;
        }
    }

    async fn read(&mut self) -> Result<Option<Event>, AttemptFailure> {
        if let Some(first) = self.source.first.take() {
            return Ok(Some(first));
        }
        let gateway = Arc::clone(&self.gateway);
        let backend = Arc::clone(&self.source.backend);
        let since = gateway.clock.now();
        let limit = self.call.route.target_gap * SILENT_GAP_FACTOR;
        let stuck = self.call.route.target_gap * STUCK_GAP_FACTOR;
        let deadline = gateway.clock.instant(self.call.deadline());
        tokio::select! {
            res = timeout_at(deadline, self.source.read(&gateway)) => {
                res.unwrap_or(Err(AttemptFailure::may_have_run(Cause::DeadlinePassed)))
            }
            () = sleep_until(gateway.clock.instant(since + stuck)), if !self.must_wait => {
                Err(AttemptFailure::may_have_run(Cause::Stalled))
            }
            () = wait_for_silence(&gateway, &backend, since, limit), if !self.must_wait => {
                send::mark_suspect(&gateway, &backend, SILENT_SUSPICION);
                Err(AttemptFailure::may_have_run(Cause::Stalled))
            }
            () = gateway.links.wait_until_cut(), if !self.must_wait && backend.gateway.is_none() => {
                Err(AttemptFailure::may_have_run(Cause::Stalled))
            }
            () = backend.stats.wait_until_down(), if !self.must_wait => {
                Err(AttemptFailure::may_have_run(Cause::ReplicaDown))
            }
            () = self.attempts.wait_for_another(&gateway, &self.call), if self.must_wait => {
                Err(AttemptFailure::may_have_run(Cause::Stalled))
            }
        }
    }

    fn record_end(&self) {
        let took = self.gateway.clock.now().since(self.source.opened_at);
        admission::record_end(&self.gateway, &self.call, &self.attempts, took);
    }

    /// Records what a complete response cost. One that another server began is left out.
    fn record_cost(&self) {
        let (Some(cost), in_flight) = (&self.call.cost, &self.source.in_flight) else { return };
        if self.attempts.count() == 1 && self.call.meta.last_event.is_none() {
            let (events, factor) = (in_flight.events(), in_flight.time_factor());
            self.gateway.costs.record(cost, events, factor, self.gateway.clock.now());
        }
    }

    fn record_interrupted(&self, cause: Cause) {
        let age = self.gateway.clock.now().since(self.source.opened_at);
        let is_server = self.source.backend.gateway.is_none();
        if is_server && cause == Cause::Interrupted && age < CRASH_WINDOW {
            let signatures = signatures::all_of(&self.call);
            self.gateway.crashes.record_interrupted(&self.source.backend, signatures);
        }
    }

    /// Resumes the stream at another replica after the last event that the caller
    /// has. A source that is only silent is kept until the other stream has
    /// begun, and waited for if none begins: silence alone is no reason to end a
    /// response.
    async fn resume(&mut self, failed: AttemptFailure) -> Result<(), Cause> {
        if failed.cause == Cause::DeadlinePassed {
            return Err(failed.cause);
        }
        let (gateway, call) = (Arc::clone(&self.gateway), Arc::clone(&self.call));
        let may_recover = matches!(failed.cause, Cause::Stalled | Cause::ReplicaDown);
        if may_recover && !self.attempts.has_another(&gateway, &call) {
            self.must_wait = true;
            return Ok(());
        }
        if self.attempts.retry(&gateway, &call, failed).await.is_err() {
            self.must_wait = true;
            return if may_recover { Ok(()) } else { Err(failed.cause) };
        }
        match open(&gateway, &call, &mut self.attempts, self.last_event).await {
            Ok(Opened::Stream(_, source)) => {
                self.source = source;
                Ok(())
            }
            Ok(Opened::Failure(_)) | Err(_) if may_recover => {
                self.must_wait = true;
                Ok(())
            }
            Ok(Opened::Failure(_)) | Err(_) => Err(failed.cause),
        }
    }

    fn check(&mut self, event: &Event) -> Position {
        let Some(id) = event.id else { return Position::Next };
        match self.last_event {
            Some(last) if id <= last => Position::Repeated,
            Some(last) if last + 1 < id => Position::AfterGap,
            _ => {
                self.last_event = Some(id);
                Position::Next
            }
        }
    }
}

/// Position of an event relative to the last forwarded one.
enum Position {
    Next,
    Repeated,
    AfterGap,
}
