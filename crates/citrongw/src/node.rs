//! Startup and shutdown of a node: clients, background tasks and HTTP servers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use citrongw_coordination::{
    clock::{self, Clock},
    config::{ConfigCell, gate::ConfigGate},
    control::summary::ControlView,
    decision_log::{self, DecisionLog},
    gossip_bus::{self, GossipBus},
    instance_watch::InstancesCell,
    node_view::{self, NodeInfo, NodeView},
    record_watch::RecordsCell,
    replica_table::ReplicaTable,
    shutdown_hooks::ShutdownHooks,
    store_guard::{self, StoreCounters},
};
use citrongw_protocol::{engine::Engine, gossip_item::GossipItem, store::Store};
use citrongw_state::id::NodeId;
use citrongw_transport::{
    engine_client,
    http_server::{self, HttpServer, ServerOptions},
    peer_counters::PeerCounters,
    store_client,
    tls::{self, TlsCell},
};
use tokio::{
    sync::{Notify, broadcast::error::RecvError, watch},
    task::JoinHandle,
};

use crate::{
    admin,
    caller::{
        self, Callers,
        service::{self, ServiceClients},
    },
    control,
    error::{Result, could_not},
    metrics::{self, Metrics},
    peers::{self, RunningPeers},
    settings::Settings,
};

/// Timeout of engine calls that are not streams.
const ENGINE_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between checks of the certificate files.
const CERTIFICATE_INTERVAL: Duration = Duration::from_secs(10);
/// Longest time to send the last responses when a stop is aborted.
const ABORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that a stop waits for the settlement of claims.
const CLAIMS_TIMEOUT: Duration = Duration::from_secs(10);

/// State shared by all parts of a node.
pub struct Shared {
    /// Id of this node, random for each start.
    pub node: NodeId,
    /// Settings of this node.
    pub settings: Settings,
    /// Monotonic clock of this process.
    pub clock: Clock,
    /// Configuration in force.
    pub config: Arc<ConfigCell>,
    /// Whether the configuration is confirmed recently enough to serve requests.
    pub gate: Arc<ConfigGate>,
    /// Gossip items of this node and its peers.
    pub gossip: Arc<GossipBus>,
    /// Live nodes, as known to this node.
    pub nodes: Arc<NodeView>,
    /// Log of this node's decisions.
    pub decisions: Arc<DecisionLog>,
    /// Known replicas with their load and health.
    pub replicas: Arc<ReplicaTable>,
    /// Instances, as listed by the platform.
    pub instances: Arc<InstancesCell>,
    /// Known domain records.
    pub records: Arc<RecordsCell>,
    /// Summary of replica control for operators.
    pub control: Arc<ControlView>,
    /// Metrics of this node.
    pub metrics: Metrics,
    /// Client of the key-value service.
    pub store: Arc<dyn Store>,
    /// Counters of calls to the key-value service.
    pub store_counters: Arc<StoreCounters>,
    /// Counters of the traffic between nodes.
    pub peer_counters: Arc<PeerCounters>,
    /// Hooks that run before the process ends.
    pub shutdown_hooks: ShutdownHooks,
    /// Clients of the plain services.
    pub services: ServiceClients,
    /// Client of the engines.
    pub engine: Arc<dyn Engine>,
    /// Notified when an operator requests a planned stop.
    pub stop_requested: Notify,
    /// State shared by the requests of callers.
    pub callers: Callers,
    /// Whether the node is stopping and refuses new requests.
    pub stopping: AtomicBool,
    /// Set when the node ends without waiting for requests in flight.
    pub abort_tx: watch::Sender<bool>,
}

/// Running node.
pub struct Node {
    shared: Arc<Shared>,
    server: HttpServer,
    admin_server: HttpServer,
    peers: RunningPeers,
    drivers: Vec<JoinHandle<()>>,
}

impl Node {
    /// Address that callers connect to.
    pub fn caller_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Address that operators connect to.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin_server.local_addr()
    }

    /// Address that other nodes connect to.
    pub fn peer_addr(&self) -> SocketAddr {
        self.shared.nodes.this().peer_addr
    }

    /// State shared by all parts of the node.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops the node: refuses new requests, waits until the load balancer observes
    /// this, and finishes all requests in flight.
    pub async fn stop(self) {
        self.stop_until(std::future::pending()).await;
    }

    /// Stops the node. When `abort` completes, requests still in flight end with an
    /// error that states their outcome.
    pub async fn stop_until(self, abort: impl Future<Output = ()>) {
        let shared = Arc::clone(&self.shared);
        shared.stopping.store(true, Ordering::Relaxed);
        let finish = async {
            tokio::time::sleep(shared.settings.balancer_lag).await;
            self.server.stop().await;
            let drain = shared.services.claims().drain();
            if tokio::time::timeout(CLAIMS_TIMEOUT, drain).await.is_err() {
                tracing::warn!("node stopped before all claims were settled");
            }
        };
        tokio::pin!(finish);
        tokio::select! {
            () = &mut finish => {}
            () = abort => {
                shared.abort_tx.send_replace(true);
                if tokio::time::timeout(ABORT_TIMEOUT, finish).await.is_err() {
                    tracing::warn!("node stopped before all responses were read");
                }
            }
        }
        shared.shutdown_hooks.run().await;
        self.peers.leave().await;
        self.admin_server.stop().await;
        for driver in &self.drivers {
            driver.abort();
        }
    }
}

/// Starts a node.
pub async fn spawn(settings: Settings) -> Result<Node> {
    let engine: Arc<dyn Engine> = Arc::new(engine_client::open(ENGINE_CALL_TIMEOUT));
    let clock = clock::open();
    let node = NodeId(rand::random());
    let peer_counters = Arc::default();
    let endpoint = peers::bind(&settings, node, Arc::clone(&peer_counters)).await?;
    let this = NodeInfo {
        id: node,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        peer_addr: endpoint.local_addr(),
    };
    let nodes = Arc::new(node_view::open(this));
    let client = store_client::open(settings.store_addr, settings.store_timeout);
    let guard = store_guard::open(Arc::new(client), clock, Arc::clone(&nodes));
    let store_counters = guard.counters();
    let store: Arc<dyn Store> = Arc::new(guard);
    let shared = Arc::new(Shared {
        node,
        clock,
        gossip: Arc::new(gossip_bus::open()),
        services: service::open(&nodes, &store, clock),
        nodes,
        gate: Arc::default(),
        store_counters,
        peer_counters,
        shutdown_hooks: ShutdownHooks::default(),
        decisions: Arc::new(decision_log::open(clock)),
        config: Arc::default(),
        replicas: Arc::default(),
        instances: Arc::default(),
        records: Arc::default(),
        control: Arc::default(),
        store,
        engine,
        metrics: metrics::open(),
        stop_requested: Notify::new(),
        callers: Callers::default(),
        stopping: AtomicBool::new(false),
        abort_tx: watch::channel(false).0,
        settings,
    });
    let peers = endpoint.spawn(&shared).await?;
    let mut drivers = vec![spawn_stop_watch(&shared)];
    drivers.extend(control::spawn(&shared));
    drivers.extend(caller::spawn(&shared));
    let tls = open_tls(&shared.settings)?;
    let options = ServerOptions {
        tls: tls.clone(),
        max_connections: shared.settings.max_connections,
        ..ServerOptions::default()
    };
    let addr = shared.settings.caller_addr;
    let server = http_server::bind_with(addr, caller::router(&shared), options)
        .await
        .map_err(|error| could_not("listen for callers", addr, error))?;
    let addr = shared.settings.admin_addr;
    let options = ServerOptions { tls: tls.clone(), ..ServerOptions::default() };
    let admin_server = http_server::bind_with(addr, admin::router(&shared), options)
        .await
        .map_err(|error| could_not("listen for operators", addr, error))?;
    drivers.extend(tls.map(|it| tls::spawn(it, CERTIFICATE_INTERVAL)));
    Ok(Node { shared, server, admin_server, peers, drivers })
}

/// Spawns the task that receives an operator's request to stop this node.
fn spawn_stop_watch(shared: &Arc<Shared>) -> JoinHandle<()> {
    let shared = Arc::clone(shared);
    let mut gossip_rx = shared.gossip.subscribe();
    tokio::spawn(async move {
        loop {
            match gossip_rx.recv().await {
                Ok(GossipItem::StopNode(node)) if node == shared.node => {
                    shared.stop_requested.notify_one();
                }
                Ok(_) | Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return,
            }
        }
    })
}

fn open_tls(settings: &Settings) -> Result<Option<Arc<TlsCell>>> {
    let Some(files) = settings.tls.clone() else { return Ok(None) };
    let cell = tls::open(files).map_err(|error| could_not("read certificates", "[tls]", error))?;
    Ok(Some(Arc::new(cell)))
}
