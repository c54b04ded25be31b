//! The operators' configuration as the gateway uses it: routes by host and
//! path prefix, services, API keys and bounds of requests.

use std::{collections::HashMap, sync::Arc, time::Duration};

use citrongw_state::id::{ModelId, OrganisationId, PlainServiceId, Revision};
use citrongw_transport::http_server::ConnectionLimits;
use derive_more::Display;

/// Largest body of a request, unless operators set another: a long prompt.
const DEFAULT_BODY_BYTES: usize = 4 * 1024 * 1024;

/// What a request of a route allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum CallKind {
    /// May run more than once.
    #[display("idempotent")]
    Idempotent,
    /// Runs once at most.
    #[display("at_most_once")]
    AtMostOnce,
    /// Answered by a stream of events that runs once at most.
    #[display("stream")]
    Stream,
    /// Answered by a stream of events that may be resumed elsewhere.
    #[display("resumable_stream")]
    ResumableStream,
}

impl CallKind {
    /// Whether the request may run again after it may have run.
    pub fn may_rerun(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Service that takes a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// The service.
    pub service: PlainServiceId,
    /// Its weight among the route's targets.
    pub weight: f64,
}

/// Route of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that it serves.
    pub host: String,
    /// Prefix of the paths that it serves.
    pub path_prefix: String,
    /// What its requests allow.
    pub kind: CallKind,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Time to the answer or its first event that users expect.
    pub target_latency: Duration,
    /// Longest pause between events that users expect.
    pub target_gap: Duration,
    /// Rank of its requests; 0 is the highest.
    pub priority: u8,
    /// Services that its requests are split between.
    pub targets: Vec<Target>,
    /// Backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether a request needs an API key.
    pub needs_key: bool,
}

impl Route {
    /// Target of a request; `random` is in 0 to 1.
    pub fn pick_target(&self, random: f64) -> Option<&Target> {
        let total: f64 = self.targets.iter().map(|it| it.weight).sum();
        let mut left = random * total;
        for target in self.targets.iter().filter(|it| 0.0 < it.weight) {
            if left < target.weight {
                return Some(target);
            }
            left -= target.weight;
        }
        self.targets.iter().rfind(|it| 0.0 < it.weight)
    }
}

/// Routes by host, the longest prefix of each host first.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    hosts: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Builds a table.
    pub fn new(routes: Vec<Route>) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.path_prefix.len()));
        }
        Self { hosts }
    }

    /// Route of a request.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|it| it.is_ascii_digit()) { name } else { host }
        });
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|it| path.starts_with(&it.path_prefix))
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

/// Model that a service's replicas can serve.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// The model.
    pub model: ModelId,
    /// Instances of one replica.
    pub size: usize,
    /// Factor on the engine's times.
    pub pace: f64,
    /// Share of the service's work.
    pub share: f64,
}

/// Engine of a service whose replicas span several instances.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Models.
    pub models: Vec<ModelSpec>,
    /// Weight loads that may begin in a second, over all instances.
    pub loads_per_s: f64,
    /// Time from the order to open until a replica serves.
    pub open_time: Duration,
}

impl EngineSpec {
    /// A model by its id.
    pub fn model(&self, model: &ModelId) -> Option<&ModelSpec> {
        self.models.iter().find(|it| it.model == *model)
    }
}

/// Service that requests are routed to.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// The service.
    pub id: PlainServiceId,
    /// Engine, if it serves models.
    pub engine: Option<EngineSpec>,
}

/// Organisation that holds API keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Rank of its requests, before that of the route.
    pub priority: Option<u8>,
}

/// One version of the configuration.
#[derive(Debug, Clone)]
pub struct GatewayConfig {
    /// Version, as operators number it.
    pub version: u64,
    /// Revision of the store that wrote it.
    pub revision: Revision,
    /// Routes.
    pub routes: RouteTable,
    /// Services.
    pub services: HashMap<PlainServiceId, Arc<ServiceSpec>>,
    /// Holders of API keys; none if requests need no key.
    pub keys: Option<HashMap<String, Arc<KeyHolder>>>,
    /// Bounds of callers' requests.
    pub limits: CallerLimits,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head, from its first byte.
    pub header_time: Duration,
    /// Longest time that a connection may be idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Bounds of a port's connections, and a body that fits a long prompt.
    fn default() -> Self {
        let of_port = ConnectionLimits::default();
        Self {
            head_bytes: of_port.max_head_bytes(),
            body_bytes: DEFAULT_BODY_BYTES,
            header_time: of_port.header_timeout(),
            idle_time: of_port.idle_timeout(),
        }
    }
}

#[cfg(test)]
mod tests;
