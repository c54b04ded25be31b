//! Wiring of a node: clients, drivers, the caller interface, and the stop.

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

/// Longest time for a call to an engine that is not a stream.
const ENGINE_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between two looks at the certificates.
const CERTIFICATE_INTERVAL: Duration = Duration::from_secs(10);
/// Longest time for the last answers of a node that ends at once.
const END_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that a stop waits for claims to be settled.
const CLAIMS_TIMEOUT: Duration = Duration::from_secs(10);

/// What the parts of a node share.
pub struct Shared {
    /// The node.
    pub node: NodeId,
    /// Its settings.
    pub settings: Settings,
    /// Its clock.
    pub clock: Clock,
    /// Configuration in force.
    pub config: Arc<ConfigCell>,
    /// Whether the configuration may be acted on.
    pub gate: Arc<ConfigGate>,
    /// News of this node and its peers.
    pub gossip: Arc<GossipBus>,
    /// Live nodes.
    pub nodes: Arc<NodeView>,
    /// Decisions of this node.
    pub decisions: Arc<DecisionLog>,
    /// Replicas known.
    pub replicas: Arc<ReplicaTable>,
    /// Instances as the platform lists them.
    pub instances: Arc<InstancesCell>,
    /// Domain records known.
    pub records: Arc<RecordsCell>,
    /// What operators see of replica control.
    pub control: Arc<ControlView>,
    /// Metrics of this node.
    pub metrics: Metrics,
    /// Client of the key-value service.
    pub store: Arc<dyn Store>,
    /// Counters of the calls to it.
    pub store_counters: Arc<StoreCounters>,
    /// Counters of the traffic between nodes.
    pub peer_counters: Arc<PeerCounters>,
    /// What the node gives up before it ends.
    pub hand_over: ShutdownHooks,
    /// Clients of the plain services.
    pub services: ServiceClients,
    /// Client of the engines.
    pub engine: Arc<dyn Engine>,
    /// Told when an operator asks for the planned stop.
    pub stop_asked: Notify,
    /// What the requests of callers share.
    pub callers: Callers,
    /// Whether the node refuses new work because it stops.
    pub stopping: AtomicBool,
    /// Whether the node ends without waiting for what is in flight.
    pub ended_tx: watch::Sender<bool>,
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
    /// Address for callers.
    pub fn caller_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Address for operators.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin_server.local_addr()
    }

    /// Address for other nodes.
    pub fn peer_addr(&self) -> SocketAddr {
        self.shared.nodes.this().peer_addr
    }

    /// What its parts share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Refuses new work, lets the balancer see it, finishes all that is in
    /// flight, and ends.
    pub async fn stop(self) {
        self.stop_until(std::future::pending()).await;
    }

    /// Stops; once `sooner` is done it ends what is still in flight, and tells
    /// each caller its outcome.
    pub async fn stop_until(self, sooner: impl Future<Output = ()>) {
        let shared = Arc::clone(&self.shared);
        shared.stopping.store(true, Ordering::Relaxed);
        let finish = async {
            tokio::time::sleep(shared.settings.balancer_lag).await;
            self.server.stop().await;
            let drain = shared.services.claims().drain();
            if tokio::time::timeout(CLAIMS_TIMEOUT, drain).await.is_err() {
                tracing::warn!("ended while claims were not settled");
            }
        };
        tokio::pin!(finish);
        tokio::select! {
            () = &mut finish => {}
            () = sooner => {
                shared.ended_tx.send_replace(true);
                if tokio::time::timeout(END_TIMEOUT, finish).await.is_err() {
                    tracing::warn!("ended while callers were still reading");
                }
            }
        }
        shared.hand_over.run().await;
        self.peers.leave().await;
        self.admin_server.stop().await;
        for driver in &self.drivers {
            driver.abort();
        }
    }
}

/// Spawns a node.
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
        hand_over: ShutdownHooks::default(),
        decisions: Arc::new(decision_log::open(clock)),
        config: Arc::default(),
        replicas: Arc::default(),
        instances: Arc::default(),
        records: Arc::default(),
        control: Arc::default(),
        store,
        engine,
        metrics: metrics::open(),
        stop_asked: Notify::new(),
        callers: Callers::default(),
        stopping: AtomicBool::new(false),
        ended_tx: watch::channel(false).0,
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

/// Spawns the driver that hears when an operator asks this node to stop.
fn spawn_stop_watch(shared: &Arc<Shared>) -> JoinHandle<()> {
    let shared = Arc::clone(shared);
    let mut news_rx = shared.gossip.subscribe();
    tokio::spawn(async move {
        loop {
            match news_rx.recv().await {
                Ok(GossipItem::StopNode(node)) if node == shared.node => {
                    shared.stop_asked.notify_one();
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
