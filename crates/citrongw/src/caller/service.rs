//! Calls of plain services: `/services/NAME/...`.
//!
//! The configuration says of each method and path whether a call may be
//! repeated. An idempotent call is sent again while its deadline and attempts
//! last; an at-most-once call is claimed first and sent once.

mod answer;
mod at_most_once;
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

use self::{answer::BackendAnswer, call::Call};
use super::{new_request_id, refusal, request_log};
use crate::node::Shared;

/// What calls of plain services use.
#[derive(Debug)]
pub struct ServiceClients {
    http: HttpClient,
    /// For calls that are sent once, over a connection of their own: one that
    /// died unnoticed in a pool would make the outcome unknown.
    once_http: HttpClient,
    claims: Claims,
}

/// Opens the clients.
pub fn open(nodes: &Arc<NodeView>, store: &Arc<dyn Store>, clock: Clock) -> ServiceClients {
    ServiceClients {
        http: http_client::open(),
        once_http: http_client::open(),
        claims: claims::driver::spawn(nodes, store, clock),
    }
}

impl ServiceClients {
    /// Claims of at-most-once calls.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }
}

/// Any method on `/services/NAME/...`.
pub(super) async fn serve(shared: Arc<Shared>, req: Request) -> viz::Result<Response> {
    let request = new_request_id();
    let mut entry = request_log::open(&shared, request);
    let res = match call::read(&shared, req, &mut entry).await {
        Ok(call) => run(&shared, call).await,
        Err(code) => Err(code),
    };
    entry.end(res.as_ref().err().copied());
    Ok(match res {
        Ok(answer) => answer::response(&answer, request),
        Err(code) => refusal::response(code, request),
    })
}

async fn run(shared: &Arc<Shared>, call: Call) -> Result<BackendAnswer, ResultCode> {
    match call.rule.class {
        CallClass::Idempotent => repeat::run(shared, &call).await,
        CallClass::AtMostOnce => at_most_once::run(shared, call).await,
    }
}
