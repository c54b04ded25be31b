//! One node with stand-ins of all that it needs, in one process.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use bytes::Bytes;
use citrongw_coordination::control::context::ControlSettings;
use citrongw_fakes::{
    engine::{self, EngineSettings, FakeEngine},
    kv::{self, mem::MemStore},
    middlebox::{self, Middlebox},
    plain_service,
    platform::{self, Platform},
};
use citrongw_protocol::{
    instance_list::{InstanceState, ListedInstance},
    record::CONFIG_KEY,
    store::{Change, Expected, Key, Store, Write},
};
use citrongw_state::{
    config::{Config, KeyDigest},
    id::{FabricDomainId, Incarnation},
};
use citrongw_transport::http_server::{DEFAULT_MAX_CONNECTIONS, HttpServer};

use crate::{
    error::{Result, could_not},
    node::{self, Node},
    settings::Settings,
};

/// API key of the demo.
pub const DEMO_KEY: &str = "demo-key";
/// Operator's token of the demo.
pub const DEMO_TOKEN: &str = "demo-token";
/// Configuration of the demo.
const DEMO_CONFIG: &str = include_str!("../../../contrib/demo-config.json");
/// Any free port on loopback.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Instances of one replica.
const MEMBERS: u64 = 4;
/// Replicas.
const REPLICAS: u64 = 2;

/// Stand-ins around a node.
pub struct Surroundings {
    /// Key-value service.
    pub store: MemStore,
    /// Its address.
    pub store_addr: SocketAddr,
    /// Instance list.
    pub platform: Platform,
    /// Address of the instance list and the weight store.
    pub platform_addr: SocketAddr,
    /// Engines, the members of each replica in order.
    pub engines: Vec<FakeEngine>,
    /// Devices before the engines, in their order, if asked for.
    pub middleboxes: Vec<Middlebox>,
    /// Recorded calls of the plain service.
    pub runs: plain_service::CallRecorder,
    /// Servers of the stand-ins, in the order of the engines, then the others.
    pub servers: Vec<HttpServer>,
}

/// Running demo.
pub struct Demo {
    /// The node.
    pub node: Node,
    /// What stands around it.
    pub surroundings: Surroundings,
}

/// Spawns the demo with addresses for callers and for operators.
pub async fn spawn(caller_addr: SocketAddr, admin_addr: SocketAddr) -> Result<Demo> {
    let surroundings = open_surroundings().await?;
    let settings = Settings { admin_addr, ..settings(&surroundings, caller_addr) };
    let node = node::spawn(settings).await?;
    Ok(Demo { node, surroundings })
}

/// Line that shows a newcomer the first answer.
pub fn curl_line(addr: SocketAddr) -> String {
    format!(
        "curl http://{addr}/v1/completions -H 'authorization: Bearer {DEMO_KEY}' \
         -d '{{\"model\":\"plans\",\"prompt\":\"climb and cut\",\"max_tokens\":8}}'"
    )
}

/// Settings of a node among the stand-ins.
pub fn settings(surroundings: &Surroundings, listen: SocketAddr) -> Settings {
    Settings {
        zone: "demo-a".into(),
        region: "demo".into(),
        caller_addr: listen,
        peer_addr: ANY_PORT,
        admin_addr: ANY_PORT,
        first_token_digest: Some(KeyDigest::of(DEMO_TOKEN)),
        store_addr: surroundings.store_addr,
        store_timeout: Duration::from_secs(1),
        instance_list_addr: surroundings.platform_addr,
        weight_store_addr: surroundings.platform_addr,
        report_freshness: Duration::from_secs(2),
        balancer_lag: Duration::ZERO,
        max_connections: DEFAULT_MAX_CONNECTIONS,
        body_timeout: Duration::from_secs(10),
        tls: None,
        seeds: Vec::new(),
        peer_secrets: Vec::new(),
        control: ControlSettings::default(),
        log_level: "info".to_owned(),
    }
}

/// What the stand-ins differ in.
#[derive(Debug, Clone, Copy)]
pub struct SurroundingsOptions {
    /// Replicas.
    pub replicas: u64,
    /// Manners of the engines.
    pub engine: EngineSettings,
    /// Whether a device that can forget connections stands before each engine.
    pub middleboxes: bool,
}

impl Default for SurroundingsOptions {
    fn default() -> Self {
        Self { replicas: REPLICAS, engine: EngineSettings::default(), middleboxes: false }
    }
}

/// Starts the stand-ins.
pub async fn open_surroundings() -> Result<Surroundings> {
    open_surroundings_with(SurroundingsOptions::default(), |_| {}).await
}

/// Starts the stand-ins with a changed configuration.
pub async fn open_surroundings_with(
    options: SurroundingsOptions,
    change: impl FnOnce(&mut Config),
) -> Result<Surroundings> {
    let cause = |error| could_not("start stand-ins", "demo", error);
    let store = kv::mem::open();
    let platform = Platform::default();
    let runs = plain_service::CallRecorder::default();
    let mut servers = Vec::new();
    let mut engines = Vec::new();
    let mut middleboxes = Vec::new();
    for replica in 1..=options.replicas {
        for member in 1..=MEMBERS {
            let incarnation = Incarnation(replica * 100 + member);
            let engine = engine::open(incarnation, options.engine);
            let server = engine::bind(ANY_PORT, engine.clone()).await.map_err(cause)?;
            let mut addr = server.local_addr();
            if options.middleboxes {
                let middlebox = middlebox::bind(ANY_PORT, addr).await.map_err(cause)?;
                addr = middlebox.local_addr();
                middleboxes.push(middlebox);
            }
            platform.put(listed(replica, member, incarnation, addr));
            servers.push(server);
            engines.push(engine);
        }
    }
    let plain = plain_service::bind(ANY_PORT, runs.clone()).await.map_err(cause)?;
    let mut config = config(plain.local_addr(), options)?;
    change(&mut config);
    write(&store, CONFIG_KEY.into(), &config).await?;
    let store_server = kv::server::bind(ANY_PORT, store.clone()).await.map_err(cause)?;
    let platform_server = platform::bind(ANY_PORT, platform.clone()).await.map_err(cause)?;
    let (store_addr, platform_addr) = (store_server.local_addr(), platform_server.local_addr());
    servers.extend([plain, store_server, platform_server]);
    Ok(Surroundings {
        store,
        store_addr,
        platform,
        platform_addr,
        engines,
        middleboxes,
        runs,
        servers,
    })
}

fn config(plain_addr: SocketAddr, options: SurroundingsOptions) -> Result<Config> {
    let mut config: Config = serde_json::from_str(DEMO_CONFIG)
        .map_err(|error| could_not("read configuration", "demo", error))?;
    for service in &mut config.services {
        service.key_digests = vec![KeyDigest::of(DEMO_KEY)];
    }
    for deployment in &mut config.deployments {
        deployment.replicas = u32::try_from(options.replicas).unwrap_or(u32::MAX);
    }
    for service in &mut config.plain_services {
        service.addrs = vec![plain_addr];
    }
    Ok(config)
}

fn demo_domain() -> FabricDomainId {
    "demo-domain".into()
}

fn listed(
    replica: u64,
    member: u64,
    incarnation: Incarnation,
    engine_addr: SocketAddr,
) -> ListedInstance {
    ListedInstance {
        id: format!("instance-{replica}-{member}").into(),
        domain: demo_domain(),
        zone: "demo-a".into(),
        region: "demo".into(),
        accelerators: 8,
        engine_addr,
        incarnation,
        state: InstanceState::Live,
    }
}

async fn write<T: serde::Serialize>(store: &MemStore, key: Key, value: &T) -> Result<()> {
    let value = serde_json::to_vec(value).map_err(|error| could_not("write", &key, error))?;
    let change = Change::Put(Bytes::from(value));
    let write = Write { key: key.clone(), expected: Expected::Absent, change, lease: None };
    let res = store.compare_and_swap(write).await;
    res.map(drop).map_err(|error| could_not("write", key, error))
}
