//! One node with fakes of all its dependencies, in one process.

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
/// Loopback address with any free port.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Number of instances of one replica.
const MEMBERS: u64 = 4;
/// Default number of replicas.
const REPLICAS: u64 = 2;

/// Fakes of the dependencies of a node.
pub struct Fakes {
    /// Contents of the fake key-value service.
    pub store: MemStore,
    /// Address of the key-value service.
    pub store_addr: SocketAddr,
    /// Fake instance list and weight store.
    pub platform: Platform,
    /// Address of the instance list and the weight store.
    pub platform_addr: SocketAddr,
    /// Fake engines, ordered by replica and member.
    pub engines: Vec<FakeEngine>,
    /// Fake middleboxes in front of the engines, in the same order, if enabled.
    pub middleboxes: Vec<Middlebox>,
    /// Calls that the fake plain service has run.
    pub runs: plain_service::CallRecorder,
    /// Servers of the fakes: those of the engines in the same order, then the others.
    pub servers: Vec<HttpServer>,
}

/// Running demo.
pub struct Demo {
    /// The running node.
    pub node: Node,
    /// Fakes that the node uses.
    pub fakes: Fakes,
}

/// Starts the demo with addresses for callers and for operators.
pub async fn spawn(caller_addr: SocketAddr, admin_addr: SocketAddr) -> Result<Demo> {
    let fakes = start_fakes().await?;
    let settings = Settings { admin_addr, ..settings(&fakes, caller_addr) };
    let node = node::spawn(settings).await?;
    Ok(Demo { node, fakes })
}

/// Returns a `curl` command that sends a first request.
pub fn curl_line(addr: SocketAddr) -> String {
    format!(
        "curl http://{addr}/v1/completions -H 'authorization: Bearer {DEMO_KEY}' \
         -d '{{\"model\":\"plans\",\"prompt\":\"climb and cut\",\"max_tokens\":8}}'"
    )
}

/// Settings of a node that uses the fakes.
pub fn settings(fakes: &Fakes, listen: SocketAddr) -> Settings {
    Settings {
        zone: "demo-a".into(),
        region: "demo".into(),
        caller_addr: listen,
        peer_addr: ANY_PORT,
        admin_addr: ANY_PORT,
        first_token_digest: Some(KeyDigest::of(DEMO_TOKEN)),
        store_addr: fakes.store_addr,
        store_timeout: Duration::from_secs(1),
        instance_list_addr: fakes.platform_addr,
        weight_store_addr: fakes.platform_addr,
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

/// Options of the fakes.
#[derive(Debug, Clone, Copy)]
pub struct FakesOptions {
    /// Number of replicas.
    pub replicas: u64,
    /// Behaviour of the engines.
    pub engine: EngineSettings,
    /// Whether a middlebox that can drop connection state is placed in front of each
    /// engine.
    pub middleboxes: bool,
}

impl Default for FakesOptions {
    fn default() -> Self {
        Self { replicas: REPLICAS, engine: EngineSettings::default(), middleboxes: false }
    }
}

/// Starts the fakes.
pub async fn start_fakes() -> Result<Fakes> {
    start_fakes_with(FakesOptions::default(), |_| {}).await
}

/// Starts the fakes with a changed configuration.
pub async fn start_fakes_with(
    options: FakesOptions,
    change: impl FnOnce(&mut Config),
) -> Result<Fakes> {
    let cause = |error| could_not("start fakes", "demo", error);
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
            platform.put(listed_instance(replica, member, incarnation, addr));
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
    Ok(Fakes { store, store_addr, platform, platform_addr, engines, middleboxes, runs, servers })
}

fn config(plain_addr: SocketAddr, options: FakesOptions) -> Result<Config> {
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

fn listed_instance(
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
