//! Wiring of a gateway: what its parts share, its ports, and its stop.

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
    http_client::{self, HttpClient},
    http_server::{self, HttpServer, ServerOptions},
};
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};
use viz::{Request, Response, ResponseExt, Router};

use crate::{
    adapter::{Adapter, Codec},
    control::{self, plan},
    feed::{self, RoutingState},
    metered_store::{self, Subjects},
    metrics::{self, Metrics},
    peer_loads::{self, PeerLoads},
    peers::{self, Peers, message::PeerMessage},
    relay,
};

/// Time that a stop leaves between its last answers and the end of the grace.
const END_MARGIN: Duration = Duration::from_millis(400);

/// What the parts of a gateway share.
#[derive(Debug)]
pub struct Gateway {
    /// This process.
    pub node: NodeId,
    /// Its settings.
    pub settings: Settings,
    /// Its clock.
    pub clock: Clock,
    /// The platform.
    pub adapter: Adapter,
    /// Configuration and instances.
    pub routing: Arc<RoutingState>,
    /// Client of the backend servers.
    pub http: HttpClient,
    /// Budgets of retries.
    pub retries: RetryWindows,
    /// Requests of the other gateways.
    pub peer_loads: Arc<PeerLoads>,
    /// The other gateways.
    pub peers: Arc<Peers>,
    /// Metrics.
    pub metrics: Metrics,
    pub(crate) stopping: AtomicBool,
    traffic: AtomicBool,
}

impl Gateway {
    /// Whether the planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether any request has come yet.
    pub fn has_traffic(&self) -> bool {
        self.traffic.load(Ordering::Relaxed)
    }

    pub(crate) fn record_traffic(&self) {
        self.traffic.store(true, Ordering::Relaxed);
    }
}

/// Running gateway.
#[derive(Debug)]
pub struct Node {
    gateway: Arc<Gateway>,
    callers: HttpServer,
    ready: HttpServer,
    metrics: HttpServer,
    drivers: Vec<JoinHandle<()>>,
}

/// Spawns a gateway. The balancer asks for `ready_path`.
pub async fn spawn(settings: Settings, adapter: Adapter, ready_path: &str) -> Result<Node> {
    let clock = clock::open();
    let world = Arc::new(feed::open());
    let node = NodeId(rand::random());
    let retries = window::open(settings.retries);
    let metrics = metrics::open();
    let store_calls = metrics.store_calls();
    let store = metered_store::open(adapter.store, subjects(&*adapter.codec), store_calls.clone());
    let adapter = Adapter { store, ..adapter };
    let gateway = Arc::new(Gateway {
        node,
        peer_loads: Arc::default(),
        peers: Arc::new(peers::open(node, clock)),
        settings,
        clock,
        adapter,
        routing: world,
        http: http_client::open(),
        retries,
        metrics,
        stopping: AtomicBool::new(false),
        traffic: AtomicBool::new(false),
    });
    let settings = &gateway.settings;
    let options = ServerOptions {
        max_connections: settings.max_connections,
        limits: Arc::clone(&gateway.routing.caller_limits),
        ..ServerOptions::default()
    };
    let addr = settings.caller_addr;
    let callers = http_server::bind_with(addr, relay::router(&gateway), options)
        .await
        .map_err(|error| could_not("listen for callers", addr, error))?;
    let ready = bind(settings.ready_addr, relay::ready_router(&gateway, ready_path)).await?;
    let metrics = bind(settings.metrics_addr, metrics_router(&gateway)).await?;
    let mut drivers =
        feed::spawn(&gateway.adapter, &gateway.routing, &gateway.peers, &gateway.metrics, clock);
    let world = Arc::clone(&gateway.routing);
    let board = Arc::clone(&gateway.peer_loads);
    let hear = move |from, message| match message {
        PeerMessage::Load(in_flight) => board.record(from, &in_flight, clock.now()),
        message => world.apply_message(&message, clock.now()),
    };
    let (store, addr) = (&gateway.adapter.store, gateway.settings.peer_addr);
    drivers.extend(peers::spawn(&gateway.peers, store, addr, hear));
    drivers.push(metered_store::spawn_report(store_calls));
    drivers.push(control::campaign::spawn(&gateway));
    drivers.push(tokio::spawn(peer_loads::publish(Arc::clone(&gateway))));
    tracing::info!(
        node = %gateway.node, name = gateway.settings.name, zone = %gateway.settings.zone,
        callers = %callers.local_addr(), "started"
    );
    Ok(Node { gateway, callers, ready, metrics, drivers })
}

/// What the keys of the store are for.
fn subjects(codec: &dyn Codec) -> Subjects {
    vec![
        (codec.config_key(), "configuration"),
        (codec.instances_prefix(), "instances"),
        (peers::OWNER_PREFIX.into(), "owners"),
        (peers::LIVE_PREFIX.into(), "gateways"),
        (plan::PREFIX.into(), "replicas"),
    ]
}

async fn bind(addr: SocketAddr, router: Router) -> Result<HttpServer> {
    let bound = http_server::bind(addr, router).await;
    bound.map_err(|error| could_not("listen", addr, error))
}

fn metrics_router(gateway: &Arc<Gateway>) -> Router {
    let gateway = Arc::clone(gateway);
    Router::new().get("/metrics", move |_: Request| {
        let page = gateway.metrics.page();
        async move { Ok::<_, viz::Error>(Response::text(page)) }
    })
}

impl Node {
    /// What its parts share.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Address for callers.
    pub fn caller_addr(&self) -> SocketAddr {
        self.callers.local_addr()
    }

    /// Address for the balancer.
    pub fn ready_addr(&self) -> SocketAddr {
        self.ready.local_addr()
    }

    /// Address of the metrics.
    pub fn metrics_addr(&self) -> SocketAddr {
        self.metrics.local_addr()
    }

    /// Tells the balancer, goes on serving until it has seen that, finishes all
    /// that is in flight, and ends within the grace of its settings.
    pub async fn stop(self) {
        let settings = &self.gateway.settings;
        self.gateway.stopping.store(true, Ordering::Relaxed);
        tracing::info!(node = %self.gateway.node, "stops");
        let lag = settings.balancer_lag;
        sleep(lag).await;
        let left = settings.grace.saturating_sub(lag + END_MARGIN);
        if timeout(left, self.callers.stop()).await.is_err() {
            tracing::warn!("ended while requests were in flight");
        }
        for driver in &self.drivers {
            driver.abort();
        }
        self.ready.abort();
        self.metrics.abort();
        tracing::info!(node = %self.gateway.node, "stopped");
    }
}
