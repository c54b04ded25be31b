//! Calls of plain services: `/services/NAME/...`.
//!
//! The configuration says of each method and path whether a call may be
//! repeated. An idempotent call is sent again while its deadline and attempts
//! last; an at-most-once call is claimed first and sent once.

mod answer;
mod at_most_once;
mod call;
mod idempotent;
mod send;

use std::sync::Arc;

use citrongw_protocol::code::ResultCode;
use citrongw_state::config::CallClass;
use citrongw_transport::http_client::{self, HttpClient};
use viz::{Request, Response};

use self::call::Call;
use super::{new_request_id, refusal};
use crate::node::Shared;

/// What calls of plain services use.
#[derive(Debug)]
pub struct ServiceClients {
    http: HttpClient,
}

/// Opens the clients.
pub fn open() -> ServiceClients {
    ServiceClients { http: http_client::open() }
}

/// Any method on `/services/NAME/...`.
pub(super) async fn serve(shared: Arc<Shared>, req: Request) -> viz::Result<Response> {
    let request = new_request_id();
    let res = match call::read(&shared, req, request).await {
        Ok(call) => run(&shared, &call).await,
        Err(code) => Err(code),
    };
    Ok(res.unwrap_or_else(|code| refusal::response(code, request)))
}

async fn run(shared: &Arc<Shared>, call: &Call) -> Result<Response, ResultCode> {
    let answer = match call.rule.class {
        CallClass::Idempotent => idempotent::run(shared, call).await?,
        CallClass::AtMostOnce => at_most_once::run(call)?,
    };
    Ok(answer::response(&answer, call.request))
}
