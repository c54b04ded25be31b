//! Setup of a gateway: its shared state, its ports, and its shutdown.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use citrongw::{
    error::{Result, could_not},
    settings::gateway::Settings,
};
use citrongw_coordination::clock::{self, Clock};
use citrongw_state::{
    id::NodeId,
    retry::window::{self, RetryWindows},
};
use citrongw_transport::{
    http_server::{self, DEFAULT_MAX_CONNECTIONS, HttpServer, ServerOptions},
    memory_budget::{self, MemoryBudget},
};
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};
use viz::{Request, Response, ResponseExt, Router};

use crate::{
    adapter::{Adapter, Codec},
    cold_watch,
    control::{self, plan},
    cost::{self, RequestCosts},
    crash_watch::{self, CrashWatch},
    early_rejection::EarlyRejection,
    feed::{self, RoutingState},
    leaving_servers::StatedDepartures,
    links::{self, LinkWatch},
    machine_limits::{self, PortLimits},
    metered_store::{self, Subjects},
    metrics::{self, Metrics},
    peer_loads::{self, PeerLoads, ReportSource},
    peers::{self, Peers, message::PeerMessage},
    relay::{self, hop::Hops},
    server_limits::{self, ServerLimits},
    server_pauses::RequestedPauses,
    store_era::{self, NewestEra},
};

/// Time between the last responses and the end of the grace period at a shutdown.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(400);

/// Timeout of the removal from the list of gateways at a shutdown: half of the margin.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Shared state of a gateway.
#[derive(Debug)]
pub struct Gateway {
    /// Id of this process.
    pub node: NodeId,
    /// Settings of the gateway.
    pub settings: Settings,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Adapter to the platform.
    pub adapter: Adapter,
    /// Newest era of the key-value service.
    pub era: NewestEra,
    /// Configuration, instances and backend servers.
    pub routing: Arc<RoutingState>,
    /// Retry budgets by service.
    pub retries: RetryWindows,
    /// Requests in flight that the other gateways reported.
    pub peer_loads: Arc<PeerLoads>,
    /// Costs of requests, as learned from responses.
    pub costs: RequestCosts,
    /// Link to the other gateways.
    pub peers: Arc<Peers>,
    /// Metrics of the gateway.
    pub metrics: Metrics,
    /// Memory held for callers, if the settings limit memory or descriptors.
    pub memory: Option<Arc<MemoryBudget>>,
    /// Maximum number of connections at each port.
    pub(crate) ports: PortLimits,
    /// Watch for requests that crash backend servers.
    pub(crate) crashes: Arc<CrashWatch>,
    /// Limits that backend servers state.
    pub(crate) limits: Arc<ServerLimits>,
    /// Requests relayed through other gateways and for them.
    pub(crate) hops: Hops,
    /// Links to the backend servers.
    pub(crate) links: Arc<LinkWatch>,
    /// Pauses that backend servers requested.
    pub(crate) pauses: RequestedPauses,
    /// Backend servers that stated that they are leaving.
    pub(crate) departures: Arc<StatedDepartures>,
    /// Learned times for the admission of requests.
    pub(crate) early: EarlyRejection,
    pub(crate) stopping: AtomicBool,
}

impl Gateway {
    /// Whether a planned shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether this gateway knows the zones under evacuation, and may serve.
    pub(crate) fn knows_evacuations(&self) -> bool {
        self.routing.evacuations.is_known()
    }
}

/// Running gateway.
#[derive(Debug)]
pub struct Node {
    gateway: Arc<Gateway>,
    callers: HttpServer,
    ready: HttpServer,
    metrics: HttpServer,
    /// Listens for requests of other gateways, once its port is free.
    hops: JoinHandle<HttpServer>,
    tasks: Vec<JoinHandle<()>>,
}

/// Spawns a gateway. The load balancer polls `ready_path`.
pub async fn spawn(settings: Settings, adapter: Adapter, ready_path: &str) -> Result<Node> {
    let clock = clock::open();
    let node = NodeId(rand::random());
    let retries = window::open(settings.retries);
    let metrics = metrics::open();
    let cold = cold_watch::open(settings.cold, metrics.cold(), clock);
    let routing = Arc::new(feed::open_with(cold));
    let store_calls = metrics.store_calls();
    let store = metered_store::open(adapter.store, subjects(&*adapter.codec), store_calls.clone());
    let era = store_era::open();
    let adapter = Adapter { store: store_era::wrap(store, era.clone()), ..adapter };
    let peers = Arc::new(peers::open(node, settings.zone.clone(), clock));
    let links = Arc::new(links::open(&adapter.instances, &routing, clock));
    let crashes = Arc::new(crash_watch::open(&adapter, &peers, &links, clock));
    let is_limited = settings.memory.is_some() || settings.max_descriptors.is_some();
    let callers_bytes = settings.memory.map(machine_limits::callers_bytes);
    let memory = is_limited.then(|| Arc::new(memory_budget::open(callers_bytes)));
    let ports = machine_limits::port_limits(&settings, DEFAULT_MAX_CONNECTIONS);
    let gateway = Arc::new(Gateway {
        node,
        memory,
        ports,
        peer_loads: Arc::default(),
        costs: cost::open(settings.zone_penalty),
        settings,
        clock,
        adapter,
        era,
        routing,
        retries,
        limits: Arc::new(server_limits::open(&peers, metrics.cold(), clock)),
        metrics,
        crashes,
        hops: relay::hop::open(),
        links,
        pauses: RequestedPauses::default(),
        departures: Arc::default(),
        peers,
        early: EarlyRejection::default(),
        stopping: AtomicBool::new(false),
    });
    let settings = &gateway.settings;
    let options = ServerOptions {
        max_connections: gateway.ports.callers,
        limits: Arc::clone(&gateway.routing.caller_limits),
        budget: gateway.memory.clone(),
        ..ServerOptions::default()
    };
    let addr = settings.caller_addr;
    let callers = http_server::bind_with(addr, relay::router(&gateway), options)
        .await
        .map_err(|error| could_not("listen for callers", addr, error))?;
    let router = relay::ready_router(&gateway, ready_path);
    let ready = bind(&gateway, settings.ready_addr, router, gateway.ports.ready).await?;
    let router = metrics_router(&gateway);
    let metrics = bind(&gateway, settings.metrics_addr, router, gateway.ports.metrics).await?;
    let mut tasks =
        feed::spawn(&gateway.adapter, &gateway.routing, &gateway.peers, &gateway.metrics, clock);
    tasks.push(feed::spawn_evacuations(&gateway));
    let routing = Arc::clone(&gateway.routing);
    let peer_loads = Arc::clone(&gateway.peer_loads);
    let crashes = Arc::clone(&gateway.crashes);
    let limits = Arc::clone(&gateway.limits);
    let departures = Arc::clone(&gateway.departures);
    let era = gateway.era.clone();
    let peers = Arc::clone(&gateway.peers);
    let on_message = move |from, message| {
        limits.record_message(from);
        match message {
            PeerMessage::Load(report) => {
                peer_loads.record(ReportSource::Gateway(from), report, clock.now());
            }
            PeerMessage::ZoneLoad { zone, report } => {
                peer_loads.record(ReportSource::Zone(zone), report, clock.now());
            }
            PeerMessage::Work(report) => {
                peer_loads.record_work(ReportSource::Gateway(from), &report, clock.now());
            }
            PeerMessage::ZoneWork { zone, report } => {
                peer_loads.record_work(ReportSource::Zone(zone), &report, clock.now());
            }
            PeerMessage::List(change) => {
                era.record(change.revision.era);
                routing.queue_change(from, change, clock.now());
            }
            PeerMessage::ListMissing { digest } => routing.queue_missing(from, digest),
            PeerMessage::Crash { death, signatures } => crashes.apply_crash(&death, &signatures),
            PeerMessage::Cleared { signatures } => crashes.apply_cleared(&signatures),
            PeerMessage::ServerLimit { server, statement } => {
                limits.apply_report(&server, statement);
            }
            PeerMessage::Evacuations(update) => {
                era.record(update.evacuated.revision.era);
                routing.apply_evacuations(update, from, clock.now());
            }
            PeerMessage::EvacuationsRequest { reply_to } => {
                if let Some(update) = routing.evacuations.fresh(clock.now()) {
                    let peers = Arc::clone(&peers);
                    tokio::spawn(
                        async move { peers.reply_evacuations(from, reply_to, update).await },
                    );
                }
            }
            PeerMessage::PermitRequest(request) => limits.apply_request(from, request),
            PeerMessage::PermitReply(reply) => limits.apply_reply(&reply),
            PeerMessage::ServerLeaving { server } => {
                departures.record(&server, "gateway", clock.now());
            }
            PeerMessage::ColdPermitRequest(request) => limits.apply_cold_request(from, request),
            PeerMessage::ColdServers(stated) => {
                routing.record_cold(stated.into_iter().map(|it| (it.server, it.left)));
            }
            message => routing.apply_message(&message, clock.now()),
        }
    };
    let (store, addr) = (&gateway.adapter.store, gateway.settings.peer_addr);
    tasks.extend(peers::spawn(&gateway.peers, store, &gateway.era, addr, on_message));
    tasks.push(tokio::spawn(crash_watch::maintain(Arc::clone(&gateway.crashes))));
    tasks.push(tokio::spawn(server_limits::expire(Arc::clone(&gateway.limits))));
    if gateway.routing.cold.is_enabled() {
        tasks.push(tokio::spawn(cold_watch::log_changes(Arc::clone(&gateway.routing))));
        tasks.push(tokio::spawn(server_limits::follow_cluster(Arc::clone(&gateway.limits))));
    }
    tasks.push(links::spawn(&gateway.links));
    tasks.push(metered_store::spawn_report(store_calls));
    tasks.push(control::campaign::spawn(&gateway));
    tasks.push(tokio::spawn(peer_loads::publish(Arc::clone(&gateway))));
    tracing::info!(
        node = %gateway.node, name = gateway.settings.name, zone = %gateway.settings.zone,
        callers = %callers.local_addr(), "started"
    );
    let hops = tokio::spawn(relay::hop::listen(Arc::clone(&gateway)));
    Ok(Node { gateway, callers, ready, metrics, hops, tasks })
}

/// Stops listening for gateways, if that has begun.
async fn stop_hops(hops: JoinHandle<HttpServer>) {
    if !hops.is_finished() {
        hops.abort();
        return;
    }
    match hops.await {
        Ok(server) => server.stop().await,
        Err(error) => tracing::error!(%error, "listening for gateways failed"),
    }
}

/// Subjects of the keys in the store, for the counts of calls.
fn subjects(codec: &dyn Codec) -> Subjects {
    vec![
        (codec.config_key(), "configuration"),
        (codec.instances_prefix(), "instances"),
        (codec.evacuations_prefix(), "evacuations"),
        (peers::OWNER_PREFIX.into(), "owners"),
        (peers::LIVE_PREFIX.into(), "gateways"),
        (plan::PREFIX.into(), "replicas"),
    ]
}

/// Listens on a port that responds also while the memory of the process is spent.
async fn bind(
    gateway: &Gateway,
    addr: SocketAddr,
    router: Router,
    max_connections: usize,
) -> Result<HttpServer> {
    let options = ServerOptions {
        max_connections,
        budget: gateway.memory.clone(),
        refuses_over_budget: false,
        ..ServerOptions::default()
    };
    let bound = http_server::bind_with(addr, router, options).await;
    bound.map_err(|error| could_not("listen", addr, error))
}

fn metrics_router(gateway: &Arc<Gateway>) -> Router {
    let gateway = Arc::clone(gateway);
    Router::new().get("/metrics", move |_: Request| {
        if let Some(memory) = &gateway.memory {
            gateway.metrics.set_memory(memory);
        }
        let page = gateway.metrics.page();
        async move { Ok::<_, viz::Error>(Response::text(page)) }
    })
}

impl Node {
    /// Shared state of the gateway.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Address for callers.
    pub fn caller_addr(&self) -> SocketAddr {
        self.callers.local_addr()
    }

    /// Address of the readiness port for the load balancer.
    pub fn ready_addr(&self) -> SocketAddr {
        self.ready.local_addr()
    }

    /// Address of the metrics port.
    pub fn metrics_addr(&self) -> SocketAddr {
        self.metrics.local_addr()
    }

    /// Reports to the load balancer that the gateway is stopping, continues to
    /// serve until the balancer has seen that, finishes all requests in flight,
    /// and ends within the grace period of the settings.
    pub async fn stop(self) {
        let settings = &self.gateway.settings;
        self.gateway.stopping.store(true, Ordering::Relaxed);
        tracing::info!(node = %self.gateway.node, "shutdown begins");
        let lag = settings.balancer_lag;
        sleep(lag).await;
        let left = settings.grace.saturating_sub(lag + SHUTDOWN_MARGIN);
        let stopped = async { tokio::join!(self.callers.stop(), stop_hops(self.hops)) };
        if timeout(left, stopped).await.is_err() {
            tracing::warn!("ended while requests were in flight");
        }
        for task in &self.tasks {
            task.abort();
        }
        let leaving = self.gateway.peers.leave(&*self.gateway.adapter.store);
        match timeout(LEAVE_TIMEOUT, leaving).await {
            Ok(Ok(())) => {}
            // The entry ends with its lease.
            Ok(Err(error)) => {
                tracing::info!(%error, dependency = "store", "could not leave the list of gateways");
            }
            Err(_) => {
                tracing::info!(dependency = "store", "leaving the list of gateways timed out");
            }
        }
        self.ready.abort();
        self.metrics.abort();
        tracing::info!(node = %self.gateway.node, "stopped");
    }
}
