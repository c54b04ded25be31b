//! Requests that are relayed through another gateway.
//!
//! A gateway that reaches no server of a request sends it, as its caller did, to
//! another gateway, on the port that the gateways use between them. That gateway serves
//! it as its own, but relays it no further, and declines it if it reaches no server
//! either or serves enough of others. A declined request has not run and goes to another
//! gateway; after any other failure it may have run, and ends. A body that can be sent
//! only once waits until the other gateway has read the head and asks for it.
//!
//! Both gateways route by configurations of their own. [`config_check`] keeps a request
//! from being decided by an older one than that of the gateway that its caller uses.

mod config_check;
mod token;

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use citrongw_protocol::code::ResultCode;
use citrongw_state::{
    home::Homes,
    id::{Incarnation, InstanceId, NodeId},
};
use citrongw_transport::{
    http_client::{self, HttpClient, RequestBody},
    http_server::{self, ConnectionLimits, HttpServer, ServerOptions},
};
use http::{HeaderName, HeaderValue, Request as HttpRequest, StatusCode, Uri, header};
use hyper::body::Body as _;
use rand::seq::IteratorRandom;
use tokio::time::sleep;
use viz::{Request, Response, Router};

use self::{
    config_check::KnownConfig,
    token::{AcceptedBy, HopToken},
};
use super::{attempts::Attempts, body::MAX_BUFFERED_BYTES, call::Call, refuse::Refusal};
use crate::{
    fleet::{Backend, BackendStats},
    lock::lock,
    node::Gateway,
};

/// Sender of a relayed request and its attempts so far, authenticated.
const TOKEN: HeaderName = HeaderName::from_static("citrongw-hop");
/// Version of the configuration of a gateway that a request was relayed to. Former builds
/// don't set it.
const CONFIG: HeaderName = HeaderName::from_static("citrongw-config");
/// Set on a response to a request that was declined without running.
const DECLINED: HeaderName = HeaderName::from_static("citrongw-declined");

/// Gateways that may decline a request before it is refused, while this one hears no
/// server.
pub(super) const MAX_DECLINED: u32 = 4;
/// The same while it hears servers, only none of the request's: the others may not
/// reach these either.
pub(super) const MAX_DECLINED_IN_TOUCH: u32 = 1;
/// Time for which a gateway that declined a request gets no others.
const DECLINED_TIME: Duration = Duration::from_secs(1);
/// Time for which a gateway with an older configuration than this one gets no requests:
/// longer than one that reaches the key-value service takes to catch up.
const OUTDATED_TIME: Duration = Duration::from_secs(3);
/// Relayed requests that a gateway serves at once: their buffered bodies fit into the
/// memory of a small instance beside those of its own callers.
const MAX_RELAYED: usize = 128;
/// Idle time of connections between gateways, longer than that of the client.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a head: that of a caller's request, with the token.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Timeout of a head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Value of `Retry-After` when the caller of a relayed request gets its refusal: the time
/// after which its gateway has found others.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Delay after a failed attempt to listen.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Marks the head of a response that came through another gateway.
#[derive(Debug, Clone, Copy)]
pub(super) struct Relayed;

/// Other gateways as relays, and the requests that this one serves for them.
#[derive(Debug)]
pub(crate) struct Hops {
    http: HttpClient,
    relays: Mutex<Vec<Arc<Backend>>>,
    /// Gateways of former builds, which have not stated their configuration.
    former_builds: Mutex<HashSet<NodeId>>,
    serving: AtomicUsize,
}

/// Creates the state without relays.
pub(crate) fn open() -> Hops {
    Hops {
        http: http_client::open(),
        relays: Mutex::default(),
        former_builds: Mutex::default(),
        serving: AtomicUsize::new(0),
    }
}

/// Listens for the requests of other gateways. A port that is taken is tried again.
pub(crate) async fn listen(gateway: Arc<Gateway>) -> HttpServer {
    let addr = gateway.settings.peer_addr;
    let limits = ConnectionLimits::default();
    limits.set(MAX_HEAD_BYTES, HEAD_TIMEOUT, IDLE_TIMEOUT);
    // A request that cannot be served is declined, so that its gateway sends it elsewhere.
    let options = ServerOptions {
        max_connections: gateway.ports.relays,
        limits: Arc::new(limits),
        budget: gateway.memory.clone(),
        refuses_over_budget: false,
        ..ServerOptions::default()
    };
    let shared = || Arc::clone(&gateway);
    loop {
        let (root, rest) = (shared(), shared());
        let router = Router::new()
            .any("/", move |req| serve(Arc::clone(&root), req))
            .any("/*", move |req| serve(Arc::clone(&rest), req));
        match http_server::bind_with(addr, router, options.clone()).await {
            Ok(server) => return server,
            Err(error) => tracing::info!(%error, %addr, "could not listen for gateways yet"),
        }
        sleep(LISTEN_RETRY_DELAY).await;
    }
}

/// Chooses the less busy of two gateways in a home region of the request or the region of
/// this gateway, which its caller uses.
pub(super) fn choose(
    gateway: &Gateway,
    tried: &[InstanceId],
    homes: Homes<'_>,
) -> Option<Arc<Backend>> {
    let cluster = gateway.peers.cluster();
    let now = gateway.clock.now();
    let mut relays = lock(&gateway.hops.relays);
    relays.retain(|it| it.gateway.is_some_and(|it| cluster.nodes.contains_key(&it)));
    for (node, listed) in cluster.nodes.iter().filter(|(node, _)| **node != gateway.node) {
        if !relays.iter().any(|it| it.gateway == Some(*node)) {
            relays.push(Arc::new(Backend {
                id: format!("gateway {node}").into(),
                incarnation: Incarnation(node.0),
                addr: listed.addr,
                zone: listed.zone.clone(),
                slots: 0,
                replica: None,
                domain: None,
                gateway: Some(*node),
                stats: Arc::new(BackendStats::default()),
            }));
        }
    }
    let mut former_builds = lock(&gateway.hops.former_builds);
    former_builds.retain(|it| cluster.nodes.contains_key(it));
    let is_shared = known_config(gateway).is_shared();
    let has_config =
        |it: &Backend| is_shared || it.gateway.is_some_and(|node| !former_builds.contains(&node));
    let own_region = gateway.settings.region.as_ref();
    let usable = relays.iter().filter(|it| {
        !tried.contains(&it.id)
            && !it.stats.is_suspect(now)
            && has_config(it)
            && homes.allows_relay(&it.zone, own_region)
    });
    let pair = usable.choose_multiple(&mut rand::rng(), 2);
    pair.into_iter().min_by_key(|it| it.stats.in_flight()).cloned()
}

/// What this gateway knows of its configuration.
fn known_config(gateway: &Gateway) -> KnownConfig {
    let (now, routing) = (gateway.clock.now(), &gateway.routing);
    KnownConfig {
        version: routing.config_version(),
        in_force_for: routing.config_in_force_for(now),
        is_confirmed: routing.is_config_confirmed(now),
        is_list_current: gateway.peers.is_list_current(),
    }
}

/// HTTP client for requests to other gateways.
pub(super) fn http(gateway: &Gateway) -> &HttpClient {
    &gateway.hops.http
}

/// Builds the request for a relay. None if the gateways' secret is not known yet, or if
/// part of the body was sent before.
pub(super) fn build(
    gateway: &Gateway,
    call: &Call,
    to: (NodeId, SocketAddr),
    attempts: u32,
    resume_after: Option<u64>,
) -> Option<HttpRequest<RequestBody>> {
    let (to, addr) = to;
    let path = call.uri.path_and_query().map_or("/", |it| it.as_str());
    let uri: Uri = format!("http://{addr}{path}").parse().ok()?;
    let known = known_config(gateway);
    let token = HopToken { from: gateway.node, to, attempts, config: Some(known.version) };
    let accepted_by = match known.is_shared() {
        true => AcceptedBy::All,
        false => AcceptedBy::CheckingConfig,
    };
    let token = token.sign(&gateway.peers.keys()?, path, accepted_by);
    let mut request = HttpRequest::new(call.body.begin_attempt()?);
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = uri;
    request.headers_mut().clone_from(&call.headers);
    let remaining = call.remaining(gateway.clock.now());
    gateway.adapter.codec.set_relayed(request.headers_mut(), remaining, resume_after);
    request.headers_mut().insert(TOKEN, HeaderValue::from_str(&token).ok()?);
    Some(request)
}

/// Takes what a relay says to this gateway out of a response. True if it declined the
/// request.
pub(super) fn take_declined(
    gateway: &Gateway,
    relay: &Backend,
    parts: &mut http::response::Parts,
) -> bool {
    let stated = parts.headers.remove(CONFIG);
    let stated = stated.and_then(|it| it.to_str().ok()?.parse::<u64>().ok());
    if let Some(node) = relay.gateway {
        let mut former_builds = lock(&gateway.hops.former_builds);
        match stated {
            Some(_) => former_builds.remove(&node),
            None => former_builds.insert(node),
        };
    }
    let is_declined = parts.headers.remove(DECLINED).is_some();
    if is_declined && stated.is_some_and(|it| it < gateway.routing.config_version()) {
        relay.stats.suspect_until(gateway.clock.now() + OUTDATED_TIME);
    }
    is_declined
}

/// Records that a relay declined a request, or failed.
pub(super) fn suspect(gateway: &Gateway, relay: &Backend) {
    relay.stats.suspect_until(gateway.clock.now() + DECLINED_TIME);
}

/// Guard that counts a relayed request as being served.
struct Serving<'a>(&'a AtomicUsize);

impl Drop for Serving<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves a request of another gateway.
async fn serve(gateway: Arc<Gateway>, mut req: Request) -> viz::Result<Response> {
    let token = req.headers_mut().remove(TOKEN);
    let path = req.uri().path_and_query().map_or("/", |it| it.as_str());
    let token = token.as_ref().and_then(|it| it.to_str().ok());
    let token = token.and_then(|it| HopToken::verify(it, &gateway.peers.keys()?, path));
    let known = known_config(&gateway);
    let sender = Sender {
        may_resend: may_resend(&req),
        states_config: token.as_ref().is_none_or(|it| it.config.is_some()),
    };
    let refuse = || Refusal::from(ResultCode::NotReached).after(REFUSED_RETRY_AFTER);
    let refuse = || refuse().into_response(super::new_request_id());
    // This gateway may not have read the secret yet.
    let Some(token) = token.filter(|it| it.to == gateway.node) else {
        tracing::info!("request without a valid token of a gateway was declined");
        return Ok(sender.decline(refuse(), known));
    };
    if !known.may_serve(token.config) {
        tracing::info!(
            gateway = %token.from, config = known.version, stated = token.config,
            is_confirmed = known.is_confirmed, "request of a gateway with another configuration was declined"
        );
        return Ok(sender.decline(refuse(), known));
    }
    let before = gateway.hops.serving.fetch_add(1, Ordering::Relaxed);
    let _serving = Serving(&gateway.hops.serving);
    if gateway.is_stopping() || gateway.links.is_cut() || MAX_RELAYED <= before {
        return Ok(sender.decline(refuse(), known));
    }
    let response = super::serve_with(&gateway, req, Attempts::relayed(token.attempts)).await;
    let code = response.extensions().get::<ResultCode>();
    Ok(match code {
        Some(ResultCode::NotReached | ResultCode::NotConfirmed) => sender.decline(response, known),
        _ => sender.forward(response, known),
    })
}

/// Whether the sender of a relayed request can send its body again after it was declined.
/// Builds that don't wait until they are asked for a long body send on what is left of it.
fn may_resend(req: &Request) -> bool {
    let is_short = req.body().size_hint().upper().is_some_and(|it| it <= MAX_BUFFERED_BYTES as u64);
    let names_expect = |it: &HeaderValue| it.as_bytes().eq_ignore_ascii_case(b"expect");
    is_short || req.headers().get_all(header::CONNECTION).iter().any(names_expect)
}

/// Sender of a relayed request.
#[derive(Debug, Clone, Copy)]
struct Sender {
    /// Whether it can send the body again after this gateway declined the request.
    may_resend: bool,
    /// Whether it states its configuration, and reads that of this gateway.
    states_config: bool,
}

impl Sender {
    /// Marks a refusal as one that the sender may overrule by sending the request
    /// elsewhere. Otherwise the caller gets it.
    fn decline(self, mut response: Response, known: KnownConfig) -> Response {
        debug_assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        if self.may_resend {
            response.headers_mut().insert(DECLINED, HeaderValue::from_static("1"));
            response.headers_mut().remove(header::RETRY_AFTER);
        }
        self.state_config(response, known)
    }

    /// Marks a response that the sender passes on.
    fn forward(self, mut response: Response, known: KnownConfig) -> Response {
        // A backend server may have set it.
        response.headers_mut().remove(DECLINED);
        self.state_config(response, known)
    }

    /// States the configuration of this gateway. A former build would pass that on.
    fn state_config(self, mut response: Response, known: KnownConfig) -> Response {
        if self.states_config {
            response.headers_mut().insert(CONFIG, known.version.into());
        }
        response
    }
}
