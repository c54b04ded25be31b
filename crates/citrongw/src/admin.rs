//! The HTTP interface for operators: JSON on a separate port, with bearer tokens.

mod action;
mod auth;
mod dump;
mod edit;
mod explain;
mod handler;
mod status;

use std::sync::Arc;

use citrongw_protocol::{
    admin::{Explanation, LogLevel},
    admin_config::Acceptance,
    caller::ErrorBody,
    code::ResultCode,
    decision::Subject,
    gossip_item::GossipItem,
};
use citrongw_state::{
    config::Role,
    id::{NodeId, RequestId},
};
use serde::{Serialize, de::DeserializeOwned};
use viz::{Request, RequestExt, Response, Router, StatusCode};

pub(crate) use self::{dump::dump, status::status};
use crate::{http_response, node::Shared};

/// Content type of the metrics page.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Routes of the operators' interface.
pub fn router(shared: &Arc<Shared>) -> Router {
    Router::new()
        .get("/admin/status", read(shared, |shared, _| Ok(status(shared))))
        .get("/admin/replicas", read(shared, |shared, _| Ok(status::replicas(shared))))
        .get("/admin/nodes", read(shared, |shared, _| Ok(status::nodes(shared))))
        .get("/admin/dump", read(shared, |shared, _| Ok(dump(shared))))
        .get("/admin/explain/refusals", read(shared, |shared, _| Ok(explain::refusals(shared))))
        .get("/admin/explain/request/:id", read(shared, explain_request))
        .get("/admin/explain/replica/:id", read(shared, explain_replica))
        .get("/admin/config", edit::read_current(shared))
        .get("/admin/config/:id", edit::read_earlier(shared))
        .get("/admin/config-history", edit::read_history(shared))
        .get("/admin/acceptance/:id", read(shared, read_acceptance))
        .get("/admin/edits/:id", edit::read_change(shared))
        .post("/admin/edits", edit::make_change(shared))
        .post("/admin/replicas/:id/drain", action::drain(shared))
        .post("/admin/instances/:id/leave", action::leave(shared))
        .post("/admin/instances/:id/return", action::return_instance(shared))
        .get("/metrics", {
            let shared = Arc::clone(shared);
            move |_: Request| {
                let text = shared.metrics.render(&shared);
                async move { Ok::<Response, viz::Error>(http_response::text(text, METRICS_TYPE)) }
            }
        })
        .post("/admin/nodes/:id/stop", {
            let shared = Arc::clone(shared);
            move |req| std::future::ready(Ok(respond(stop_node(&shared, &req))))
        })
        .put("/admin/log-level", {
            let shared = Arc::clone(shared);
            move |req| set_log_level(Arc::clone(&shared), req)
        })
}

/// Builds a read-only handler.
fn read<T, F>(
    shared: &Arc<Shared>,
    query: F,
) -> impl Fn(Request) -> std::future::Ready<viz::Result<Response>> + Clone + use<T, F>
where
    T: Serialize,
    F: Fn(&Shared, &Request) -> Result<T, ResultCode> + Clone + Send + Sync + 'static,
{
    let shared = Arc::clone(shared);
    move |req| {
        let found = auth::check(&shared, &req, Role::Read).and_then(|_| query(&shared, &req));
        std::future::ready(Ok(respond(found)))
    }
}

fn explain_request(shared: &Shared, req: &Request) -> Result<Explanation, ResultCode> {
    Ok(explain::about(shared, Subject::Request(path_param(req)?)))
}

fn explain_replica(shared: &Shared, req: &Request) -> Result<Explanation, ResultCode> {
    Ok(explain::about(shared, Subject::Replica(path_param(req)?)))
}

/// Returns the acceptance of a configuration version, as known to this node.
fn read_acceptance(shared: &Shared, req: &Request) -> Result<Acceptance, ResultCode> {
    Ok(shared.gate.acceptance(path_param(req)?))
}

/// Requests the planned stop of a live node by a gossip item.
fn stop_node(shared: &Shared, req: &Request) -> Result<NodeId, ResultCode> {
    let operator = auth::check(shared, req, Role::Operate)?;
    let node: NodeId = path_param(req)?;
    if !shared.nodes.alive().iter().any(|it| it.id == node) {
        return Err(ResultCode::NotFound);
    }
    tracing::info!(operator = %operator.id, %node, "node stop requested");
    shared.gossip.publish(GossipItem::StopNode(node));
    Ok(node)
}

async fn set_log_level(shared: Arc<Shared>, mut req: Request) -> viz::Result<Response> {
    let changed = match auth::check(&shared, &req, Role::Operate) {
        Ok(operator) => read_json::<LogLevel>(&mut req).await.and_then(|wanted| {
            crate::log::set_level(&wanted.level).map_err(|_| ResultCode::Malformed)?;
            tracing::info!(operator = %operator.id, level = wanted.level, "log level changed");
            Ok(wanted)
        }),
        Err(code) => Err(code),
    };
    Ok(respond(changed))
}

/// Parses the `id` path parameter.
fn path_param<T: std::str::FromStr>(req: &Request) -> Result<T, ResultCode> {
    let text: String = req.param("id").map_err(|_| ResultCode::NotFound)?;
    text.parse().map_err(|_| ResultCode::Malformed)
}

async fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T, ResultCode> {
    req.json().await.map_err(|_| ResultCode::Malformed)
}

fn respond<T: Serialize>(res: Result<T, ResultCode>) -> Response {
    match res {
        Ok(body) => http_response::json(StatusCode::OK, &body),
        Err(code) => {
            let status = StatusCode::from_u16(code.http_status());
            let body = ErrorBody::new(code, RequestId(rand::random()));
            http_response::json(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), &body)
        }
    }
}
