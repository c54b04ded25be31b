//! The operators' configuration in the form that the gateway uses: routes by host
//! and path prefix, services, API keys and limits of requests.

use std::{collections::HashMap, sync::Arc, time::Duration};

use citrongw_state::{
    cold_server::ColdStart,
    id::{ModelId, OrganisationId, PlainServiceId, Region, Revision},
    request_cost::EngineFigures,
};
use citrongw_transport::http_server::ConnectionLimits;
use derive_more::Display;

/// Default limit of a request body: enough for a long prompt.
const DEFAULT_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Retry and response semantics of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum CallKind {
    /// The request may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// The request runs at most once.
    #[display("at_most_once")]
    AtMostOnce,
    /// The response is a stream of events, and the request runs at most once.
    #[display("stream")]
    Stream,
    /// The response is a stream of events that can be resumed at another server.
    #[display("resumable_stream")]
    ResumableStream,
}

impl CallKind {
    /// Whether the request may be sent again after it may already have run.
    pub fn may_rerun(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Service that takes a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Service that the target names.
    pub service: PlainServiceId,
    /// Weight of the service among the route's targets.
    pub weight: f64,
}

/// Route of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host of the requests, without a port.
    pub host: String,
    /// Prefix of the requests' paths.
    pub path_prefix: String,
    /// Retry and response semantics.
    pub kind: CallKind,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Time to the response, or to the first event of a stream, that users
    /// expect.
    pub target_latency: Duration,
    /// Longest time between events that users expect.
    pub target_gap: Duration,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Services that the requests are split between by weight.
    pub targets: Vec<Target>,
    /// Limit on the backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether a request needs an API key.
    pub needs_key: bool,
    /// Regions whose servers the requests may reach; any if there are none.
    pub homes: Vec<Region>,
}

impl Route {
    /// Picks the target of a request by weight. `random` is from 0 to 1. None if
    /// no target has a positive weight.
    pub fn pick_target(&self, random: f64) -> Option<&Target> {
        let total: f64 = self.targets.iter().map(|it| it.weight).sum();
        let mut remaining = random * total;
        for target in self.targets.iter().filter(|it| 0.0 < it.weight) {
            if remaining < target.weight {
                return Some(target);
            }
            remaining -= target.weight;
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
    /// Builds a table. Hosts are compared without regard to case.
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

    /// Finds the route of a request. A port in `host` is ignored.
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

    /// Whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

/// Model that a service's replicas can serve.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// Id of the model.
    pub model: ModelId,
    /// Number of instances of one replica.
    pub size: usize,
    /// Factor that the engine's base times are multiplied by for this model; a
    /// higher one is slower.
    pub pace: f64,
    /// Share of the service's work that the model gets.
    pub share: f64,
}

/// Engine of a service whose replicas span several instances.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Models that the engine can serve.
    pub models: Vec<ModelSpec>,
    /// Limit on the weight loads that begin in a second, over all instances.
    pub loads_per_s: f64,
    /// Time from an `Open` order until a replica serves.
    pub open_time: Duration,
    /// Speed of the engine, without the pace of a model, if the operators state it.
    pub figures: Option<EngineFigures>,
}

impl EngineSpec {
    /// Finds a model by its id.
    pub fn model(&self, model: &ModelId) -> Option<&ModelSpec> {
        self.models.iter().find(|it| it.model == *model)
    }
}

/// Service that requests are routed to.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Id of the service.
    pub id: PlainServiceId,
    /// Engine, if the service serves models.
    pub engine: Option<EngineSpec>,
    /// Cold phase of its servers after their start, if they have one.
    pub cold_start: Option<ColdStart>,
}

/// Organisation that holds API keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// Id of the organisation.
    pub organisation: OrganisationId,
    /// Priority of the requests, which overrides that of the route.
    pub priority: Option<u8>,
    /// Regions whose servers the requests may reach; any if there are none.
    pub homes: Vec<Region>,
}

/// One version of the configuration.
#[derive(Debug, Clone)]
pub struct GatewayConfig {
    /// Version number that the operators assigned.
    pub version: u64,
    /// Revision of the key-value service at which the version was written.
    pub revision: Revision,
    /// Routes by host and path prefix.
    pub routes: RouteTable,
    /// Services by id.
    pub services: HashMap<PlainServiceId, Arc<ServiceSpec>>,
    /// Holders of API keys by key; none if requests need no key.
    pub keys: Option<HashMap<String, Arc<KeyHolder>>>,
    /// Limits of callers' requests and connections.
    pub limits: CallerLimits,
}

/// Limits of a caller's requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time limit for a request head, from its first byte.
    pub header_timeout: Duration,
    /// Idle timeout of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Default limits of a port's connections, and a body limit that fits a long
    /// prompt.
    fn default() -> Self {
        let of_port = ConnectionLimits::default();
        Self {
            head_bytes: of_port.max_head_bytes(),
            body_bytes: DEFAULT_BODY_BYTES,
            header_timeout: of_port.header_timeout(),
            idle_timeout: of_port.idle_timeout(),
        }
    }
}

#[cfg(test)]
mod tests;
