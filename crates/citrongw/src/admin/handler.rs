//! Asynchronous handlers that check the operator's role first.

use std::sync::Arc;

use citrongw_protocol::code::ResultCode;
use citrongw_state::config::{Operator, Role};
use futures::future::BoxFuture;
use serde::Serialize;
use viz::{Request, Response};

use super::{auth, respond};
use crate::node::Shared;

/// Future of a handler's response.
pub(super) type Handler = BoxFuture<'static, viz::Result<Response>>;

/// Builds a handler that calls `run` for operators with at least `role`.
pub(super) fn handler<T, F, R>(
    shared: &Arc<Shared>,
    role: Role,
    run: F,
) -> impl Fn(Request) -> Handler + Clone + use<T, F, R>
where
    T: Serialize + Send + 'static,
    F: Fn(Arc<Shared>, Operator, Request) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<T, ResultCode>> + Send + 'static,
{
    let shared = Arc::clone(shared);
    move |req| {
        let (shared, run) = (Arc::clone(&shared), run.clone());
        Box::pin(async move {
            let res = match auth::check(&shared, &req, role) {
                Ok(operator) => run(shared, operator, req).await,
                Err(code) => Err(code),
            };
            Ok(respond(res))
        })
    }
}
