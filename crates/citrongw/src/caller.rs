//! The HTTP interface for callers: routes, authentication and responses.

mod active_request;
mod attempt;
mod auth;
mod body;
mod completion;
mod directory;
mod events;
mod fleet;
mod leaving;
mod limits;
mod quantile;
mod queue;
mod refusal;
mod request_log;
mod response;
mod route;
pub mod service;
mod suspects;
mod tick;
mod work;

use std::sync::{Arc, atomic::Ordering};

use citrongw_protocol::code::ResultCode;
use citrongw_state::{id::RequestId, retry::RetryBudget};
pub use tick::spawn;
use viz::{Request, Response, Router};

use crate::node::Shared;

/// State shared by all requests of a node.
#[derive(Debug, Default)]
pub struct Callers {
    directory: directory::DirectoryCell,
    bodies: body::BodyBudget,
    fleet: fleet::FleetCell,
    leaving: leaving::LeavingInstances,
    limits: limits::Limits,
    retries: RetryBudget,
    suspects: suspects::Suspects,
}

/// Routes of the caller interface.
pub fn router(shared: &Arc<Shared>) -> Router {
    let on = || Arc::clone(shared);
    let (chat, text, models, ready) = (on(), on(), on(), on());
    let services = on();
    Router::new()
        .post("/v1/chat/completions", move |req| completion::chat(Arc::clone(&chat), req))
        .post("/v1/completions", move |req| completion::text(Arc::clone(&text), req))
        .get("/v1/models", move |req| completion::models(Arc::clone(&models), req))
        .get("/ready", move |req| check_ready(Arc::clone(&ready), req))
        .any("/services/*", move |req| service::serve(Arc::clone(&services), req))
        .any("/", |_: Request| not_found())
        .any("/*", |_: Request| not_found())
}

async fn not_found() -> viz::Result<Response> {
    Ok(refusal::response(ResultCode::NotFound, new_request_id()))
}

/// Generates a random request id.
fn new_request_id() -> RequestId {
    RequestId(rand::random())
}

async fn check_ready(shared: Arc<Shared>, _req: Request) -> viz::Result<Response> {
    let code = if shared.stopping.load(Ordering::Relaxed) {
        ResultCode::Stopping
    } else if !shared.gate.may_serve(shared.clock.now()) {
        ResultCode::NotConfirmed
    } else {
        return Ok(response::json(&"ready"));
    };
    Ok(refusal::response(code, new_request_id()))
}
