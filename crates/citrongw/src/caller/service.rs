//! Calls of plain services: `/services/NAME/...`.
//!
//! The configuration states for each method and path whether a call may be
//! repeated. An idempotent call is retried within its deadline and number of
//! attempts; an at-most-once call with a key is claimed first. It is sent once, unless the
//! backend server deduplicates repeats by the key.

mod at_most_once;
mod backend_response;
mod call;
mod repeat;
mod send;

use std::sync::Arc;

use citrongw_coordination::{
    claims::{self, driver::Claims},
    clock::Clock,
    node_view::NodeView,
};
use citrongw_protocol::{code::ResultCode, store::Store};
use citrongw_state::config::CallClass;
use citrongw_transport::http_client::{self, HttpClient};
use viz::{Request, Response};

use self::{backend_response::BackendResponse, call::Call};
use super::{new_request_id, refusal, request_log};
use crate::node::Shared;

/// Clients used by calls of plain services.
#[derive(Debug)]
pub struct ServiceClients {
    http: HttpClient,
    /// Client for at-most-once calls, each over a new connection: a pooled
    /// connection that died unnoticed would make the outcome unknown.
    at_most_once_http: HttpClient,
    claims: Claims,
}

/// Opens the clients and starts the claims driver.
pub fn open(nodes: &Arc<NodeView>, store: &Arc<dyn Store>, clock: Clock) -> ServiceClients {
    ServiceClients {
        http: http_client::open(),
        at_most_once_http: http_client::open(),
        claims: claims::driver::spawn(nodes, store, clock),
    }
}

impl ServiceClients {
    /// Claims of at-most-once calls.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }
}

/// Handles any method on `/services/NAME/...`.
pub(super) async fn serve(shared: Arc<Shared>, req: Request) -> viz::Result<Response> {
    let request = new_request_id();
    let mut entry = request_log::open(&shared, request);
    let res = match call::read(&shared, req, &mut entry).await {
        Ok(call) => run(&shared, call).await,
        Err(code) => Err(code),
    };
    entry.end(res.as_ref().err().copied());
    Ok(match res {
        Ok(response) => backend_response::response(&response, request),
        Err(code) => refusal::response(code, request),
    })
}

async fn run(shared: &Arc<Shared>, call: Call) -> Result<BackendResponse, ResultCode> {
    match call.rule.class {
        CallClass::Idempotent => repeat::run(shared, &call).await,
        CallClass::AtMostOnce => at_most_once::run(shared, call).await,
    }
}
