//! Relays requests of callers to backend servers and the responses back.

mod admission;
mod attempts;
mod body;
mod call;
mod events;
pub(crate) mod hop;
mod log;
mod memory;
mod plain;
mod refuse;
mod send;
mod signatures;
mod stream;
mod unanswered;
mod urgency;

use std::sync::{Arc, atomic::Ordering};

use citrongw_protocol::code::ResultCode;
use citrongw_state::id::RequestId;
use viz::{Body, Request, Response, Router, StatusCode};

use self::{attempts::Attempts, log::RequestLog, refuse::Refusal};
use crate::node::Gateway;

/// Router of the port for callers. It serves all paths.
pub(crate) fn router(gateway: &Arc<Gateway>) -> Router {
    let shared = || Arc::clone(gateway);
    let (root, rest) = (shared(), shared());
    Router::new()
        .any("/", move |req| serve(Arc::clone(&root), req))
        .any("/*", move |req| serve(Arc::clone(&rest), req))
}

/// Router of the readiness port, which the load balancer polls to decide whether
/// to send callers to this gateway.
pub(crate) fn ready_router(gateway: &Arc<Gateway>, path: &str) -> Router {
    let gateway = Arc::clone(gateway);
    Router::new().get(path, move |_: Request| check_ready(Arc::clone(&gateway)))
}

async fn check_ready(gateway: Arc<Gateway>) -> viz::Result<Response> {
    let code = if gateway.stopping.load(Ordering::Relaxed) {
        ResultCode::Stopping
    } else if gateway.routing.active_config.load().is_none() || !gateway.knows_evacuations() {
        ResultCode::NotConfirmed
    } else {
        let mut response = Response::new(Body::Empty);
        *response.status_mut() = StatusCode::OK;
        return Ok(response);
    };
    Ok(Refusal::from(code).into_response(new_request_id()))
}

fn new_request_id() -> RequestId {
    RequestId(rand::random())
}

async fn serve(gateway: Arc<Gateway>, req: Request) -> viz::Result<Response> {
    Ok(serve_with(&gateway, req, Attempts::default()).await)
}

/// Serves a request of a caller, or of another gateway after these attempts.
async fn serve_with(gateway: &Arc<Gateway>, req: Request, attempts: Attempts) -> Response {
    let request = new_request_id();
    gateway.routing.record_traffic();
    let call = match call::read(gateway, request, req).await {
        Ok(call) => call,
        Err(refusal) => {
            let code = refusal.code;
            let config = gateway.routing.active_config.load().as_ref().map(|it| it.version);
            tracing::info!(%request, %code, config, "request rejected before its body was read");
            gateway.metrics.count_refusal(code);
            return refusal.into_response(request);
        }
    };
    // The gateway that relayed a request has counted it.
    if !attempts.is_relayed() {
        gateway.retries.add_request(&call.service, gateway.clock.now());
    }
    let version = gateway.routing.active_config.load().as_ref().map(|it| it.version);
    let log = RequestLog::open(&call, gateway.clock, version, &gateway.metrics);
    if call::is_stream(&call) {
        return stream::serve(gateway, call, attempts, log).await;
    }
    plain::serve(gateway, call, attempts, log).await
}
