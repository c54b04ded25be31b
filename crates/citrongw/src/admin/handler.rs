//! Handlers that wait for other systems, behind the check of the operator.

use std::sync::Arc;

use citrongw_protocol::code::ResultCode;
use citrongw_state::config::{Operator, Role};
use futures::future::BoxFuture;
use serde::Serialize;
use viz::{Request, Response};

use super::{answer, auth};
use crate::node::Shared;

/// Handler of a request.
pub(super) type Handler = BoxFuture<'static, viz::Result<Response>>;

/// Runs `run` for an operator of at least `role`.
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
            Ok(answer(res))
        })
    }
}
