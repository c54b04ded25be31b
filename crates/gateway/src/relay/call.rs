//! Request of a caller, read and matched to its route.

use std::{sync::Arc, time::Duration};

use citrongw_protocol::code::ResultCode;
use citrongw_state::{
    config::CallClass,
    home::{Homes, ZoneRegions},
    id::{PlainServiceId, RequestId},
    time::Time,
};
use citrongw_transport::memory_budget::{Account, MemoryKind};
use http::{HeaderMap, Method, Uri, header};
use viz::Request;

use super::{
    body::{self, CallBody},
    memory::{self, BufferCharge},
    refuse::Refusal,
    signatures::Signatures,
    urgency::{self, Timeliness},
};
use crate::{
    adapter::RequestMeta,
    cost::CallCost,
    fleet::{Backend, Fleet},
    gateway_config::{CallKind, GatewayConfig, KeyHolder, Route},
    node::Gateway,
};

/// Value of `Retry-After` while this node has no configuration yet, or does not know the
/// zones under evacuation.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Request of a caller with its route.
#[derive(Debug)]
pub(super) struct Call {
    /// Id of the request in logs and error responses.
    pub(super) request: RequestId,
    /// Metadata from the request's headers.
    pub(super) meta: RequestMeta,
    /// Route that the request matched.
    pub(super) route: Arc<Route>,
    /// Service that was picked among the route's targets.
    pub(super) service: PlainServiceId,
    /// Holder of the request's API key.
    pub(super) holder: Option<Arc<KeyHolder>>,
    /// Method of the request.
    pub(super) method: Method,
    /// Request target as the caller sent it.
    pub(super) uri: Uri,
    /// Headers that are forwarded to the backend server.
    pub(super) headers: HeaderMap,
    /// Body of the request.
    pub(super) body: CallBody,
    /// Account of the caller's connection, if memory is limited.
    pub(super) account: Option<Arc<Account>>,
    /// Charge of the body, held as long as the request.
    pub(super) body_charge: Option<BufferCharge>,
    /// When the request head arrived.
    pub(super) arrived_at: Time,
    /// What the request may share with others that crash servers.
    pub(super) signatures: Signatures,
    /// Expected cost, if servers are chosen by cost and it is known.
    pub(super) cost: Option<CallCost>,
}

impl Call {
    /// Time by which the caller must have the response.
    pub(super) fn deadline(&self) -> Time {
        let timeout = self.route.timeout;
        self.arrived_at + self.meta.remaining.map_or(timeout, |it| it.min(timeout))
    }

    /// Remaining time that the caller waits.
    pub(super) fn remaining(&self, now: Time) -> Duration {
        let remaining = self.meta.remaining.unwrap_or(self.route.timeout);
        (self.arrived_at + remaining).since(now)
    }

    /// Class of the request for retry decisions.
    pub(super) fn class(&self) -> CallClass {
        if self.route.kind.may_rerun() { CallClass::Idempotent } else { CallClass::AtMostOnce }
    }

    /// Urgency at an engine. It follows from the priority of the key's holder, or
    /// else of the route.
    pub(super) fn urgency(&self, is_resumed: bool) -> u8 {
        let timeliness = match is_resumed {
            true => Timeliness::Resumed,
            false if self.is_late() => Timeliness::Late,
            false => Timeliness::InTime,
        };
        urgency::of(self.priority(), timeliness)
    }

    /// Priority of the key's holder, or else of the route; 0 is the highest.
    pub(super) fn priority(&self) -> u8 {
        let holder_priority = self.holder.as_ref().and_then(|it| it.priority);
        holder_priority.unwrap_or(self.route.priority)
    }

    /// Whether the request had waited for longer than its caller expects when it
    /// arrived, as by an earlier try.
    pub(super) fn is_late(&self) -> bool {
        let is_late = |left: Duration| left + self.route.target_latency < self.route.timeout;
        self.meta.remaining.is_some_and(is_late)
    }

    /// Regions to which the request is confined.
    pub(super) fn homes<'a>(&'a self, regions: &'a ZoneRegions) -> Homes<'a> {
        let organisation = self.holder.as_ref().map_or(&[][..], |it| &it.homes);
        Homes { regions, route: &self.route.homes, organisation }
    }

    /// Backend servers that may take the request.
    pub(super) fn servers<'a>(&self, fleet: &'a Fleet) -> &'a [Arc<Backend>] {
        let Some(pool) = fleet.pool(&self.service) else { return &[] };
        match &self.meta.model {
            Some(model) if pool.servers.is_empty() => {
                pool.replicas.get(model).map_or(&[], Vec::as_slice)
            }
            _ => &pool.servers,
        }
    }
}

/// Reads a request, or returns the refusal.
pub(super) async fn read(
    gateway: &Gateway,
    request: RequestId,
    req: Request,
) -> Result<Call, Refusal> {
    let arrived_at = gateway.clock.now();
    let Some(config) = gateway.routing.active_config.load_full() else {
        return Err(Refusal::from(ResultCode::NotConfirmed).after(NO_CONFIG_RETRY_AFTER));
    };
    if !gateway.knows_evacuations() {
        return Err(Refusal::from(ResultCode::NotConfirmed).after(NO_CONFIG_RETRY_AFTER));
    }
    let (parts, body) = req.into_parts();
    let mut meta = gateway.adapter.codec.decode_request(&parts.headers);
    let host = parts.headers.get(header::HOST).and_then(|it| it.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let route = config.routes.find(host, parts.uri.path()).ok_or(ResultCode::NotFound)?;
    let holder = find_holder(&config, route, &meta)?;
    // The API key is not forwarded.
    meta.api_key = None;
    let target = route.pick_target(rand::random()).ok_or(ResultCode::NoReplica)?;
    let timeout = meta.remaining.unwrap_or(route.timeout).min(route.timeout);
    let account = parts.extensions.get::<Arc<Account>>().cloned();
    let mut body_charge = memory::open(account.as_ref(), MemoryKind::Body);
    let read = body::read(body, config.limits.body_bytes, &mut body_charge);
    let body = tokio::time::timeout(timeout, read).await.map_err(|_| ResultCode::TooSlow)?;
    let body = body.map_err(|code| memory::refusal(code, account.as_ref()))?;
    let cost = expect_cost(gateway, &config, route, &target.service, &meta);
    let signatures = Signatures::of_prompt(&target.service, &meta.prompt_parts);
    Ok(Call {
        request,
        meta,
        signatures,
        cost,
        route: Arc::clone(route),
        service: target.service.clone(),
        holder,
        method: parts.method,
        uri: parts.uri,
        headers: strip_hop_by_hop(parts.headers),
        body,
        account,
        body_charge: Some(body_charge),
        arrived_at,
    })
}

/// Expects the cost of a request to an engine, if servers are chosen by cost.
fn expect_cost(
    gateway: &Gateway,
    config: &GatewayConfig,
    route: &Route,
    service: &PlainServiceId,
    meta: &RequestMeta,
) -> Option<CallCost> {
    if !gateway.settings.by_cost {
        return None;
    }
    let engine = config.services.get(service)?.engine.as_ref()?;
    gateway.costs.expect(engine, meta.model.as_ref()?, &route.name, meta.cost)
}

fn find_holder(
    config: &GatewayConfig,
    route: &Route,
    meta: &RequestMeta,
) -> Result<Option<Arc<KeyHolder>>, ResultCode> {
    let Some(keys) = &config.keys else { return Ok(None) };
    let holder = meta.api_key.as_ref().and_then(|it| keys.get(it)).map(Arc::clone);
    if holder.is_none() && route.needs_key {
        return Err(ResultCode::Unauthorised);
    }
    Ok(holder)
}

/// Removes hop-by-hop headers, including those that `Connection` names.
pub(super) fn strip_hop_by_hop(mut headers: HeaderMap) -> HeaderMap {
    const HOP_BY_HOP: [&str; 10] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    ];
    let connection_headers: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .map(|it| it.trim().to_ascii_lowercase())
        .collect();
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    for name in connection_headers.iter().filter(|it| !it.is_empty()) {
        headers.remove(name.as_str());
    }
    headers
}

/// Whether the route's responses are streams.
pub(super) fn is_stream(call: &Call) -> bool {
    matches!(call.route.kind, CallKind::Stream | CallKind::ResumableStream)
}
