//! Communication between nodes: binds UDP and TCP on one port and runs membership
//! over them.

use std::{net::SocketAddr, sync::Arc};

use citrongw_coordination::{
    config::rules::Rules,
    membership::{
        MembershipSettings,
        driver::{self, Dependencies, MembershipHandle, PeerNetwork, ReceivedMessage},
    },
};
use citrongw_protocol::peer::{FetchRequest, FetchResponse, Message};
use citrongw_state::id::NodeId;
use citrongw_transport::{
    peer_auth::{self, PeerKeys},
    peer_counters::PeerCounters,
    peer_tcp::{self, PeerTcp},
    peer_udp::{self, PeerUdp},
};
use futures::{FutureExt, future::BoxFuture};
use tokio::net::TcpListener;

use crate::{
    error::{Result, could_not},
    node::Shared,
    settings::Settings,
};

/// Maximum number of attempts to find a port that is free for both protocols.
const MAX_BIND_ATTEMPTS: u32 = 16;

/// UDP socket and TCP listener bound to the same port.
pub(crate) struct Endpoint {
    udp: PeerUdp,
    listener: TcpListener,
    local_addr: SocketAddr,
    keys: PeerKeys,
    counters: Arc<PeerCounters>,
}

/// Running membership with its endpoints.
pub(crate) struct RunningPeers {
    peers: MembershipHandle,
    _tcp: PeerTcp,
}

impl RunningPeers {
    /// Announces to the other nodes that this node is leaving.
    pub(crate) async fn leave(&self) {
        self.peers.leave().await;
    }
}

/// Binds the port for other nodes.
pub(crate) async fn bind(
    settings: &Settings,
    node: NodeId,
    counters: Arc<PeerCounters>,
) -> Result<Endpoint> {
    let addr = settings.peer_addr;
    let keys = keys(&settings.peer_secrets);
    let mut attempts = 0;
    loop {
        attempts += 1;
        let cause = |error| could_not("listen for other nodes", addr, error);
        let listener = TcpListener::bind(addr).await.map_err(cause)?;
        let local_addr = listener.local_addr().map_err(cause)?;
        let udp = peer_udp::bind(local_addr, keys.clone(), node, Arc::clone(&counters)).await;
        match udp {
            Ok(udp) => return Ok(Endpoint { udp, listener, local_addr, keys, counters }),
            // Another process may use the UDP port with the number chosen for TCP.
            Err(_) if addr.port() == 0 && attempts < MAX_BIND_ATTEMPTS => {}
            Err(error) => return Err(cause(error)),
        }
    }
}

/// Returns the keys from the settings, or a random key if none are set.
fn keys(secrets: &[String]) -> PeerKeys {
    peer_auth::derive_keys(secrets).unwrap_or_else(|| {
        tracing::warn!("no [membership] keys are set: the node runs alone");
        peer_auth::random_key()
    })
}

impl Endpoint {
    /// Address that other nodes connect to.
    pub(crate) fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Starts membership and the TCP server for peers.
    pub(crate) async fn spawn(self, shared: &Arc<Shared>) -> Result<RunningPeers> {
        let Self { udp, listener, local_addr, keys, counters } = self;
        let network = Network { udp, keys: keys.clone(), counters: Arc::clone(&counters) };
        let settings = MembershipSettings {
            this: shared.nodes.this().clone(),
            seeds: shared.settings.seeds.clone(),
            random_seed: rand::random(),
            rules: Rules::default(),
        };
        let dependencies = Dependencies {
            clock: shared.clock,
            network: Arc::new(network),
            store: Arc::clone(&shared.store),
            gossip: Arc::clone(&shared.gossip),
            nodes: Arc::clone(&shared.nodes),
            config: Arc::clone(&shared.config),
            gate: Arc::clone(&shared.gate),
            replicas: Arc::clone(&shared.replicas),
            decisions: Arc::clone(&shared.decisions),
        };
        let peers = driver::spawn(settings, dependencies);
        let responder = peers.responder();
        let response = move |request: FetchRequest| {
            let response = responder.respond(&request);
            std::future::ready(response).boxed()
        };
        let tcp = peer_tcp::serve(listener, keys, Arc::new(response), counters);
        let tcp = tcp.map_err(|error| could_not("listen for other nodes", local_addr, error))?;
        Ok(RunningPeers { peers, _tcp: tcp })
    }
}

struct Network {
    udp: PeerUdp,
    keys: PeerKeys,
    counters: Arc<PeerCounters>,
}

impl PeerNetwork for Network {
    fn send(&self, addr: SocketAddr, to: NodeId, message: Message) -> BoxFuture<'_, ()> {
        async move { self.udp.send(addr, to, &message).await }.boxed()
    }

    fn receive(&self) -> BoxFuture<'_, ReceivedMessage> {
        async move {
            let received = self.udp.receive().await;
            ReceivedMessage { from: received.from, addr: received.addr, message: received.message }
        }
        .boxed()
    }

    fn fetch(
        &self,
        addr: SocketAddr,
        request: FetchRequest,
    ) -> BoxFuture<'_, Option<FetchResponse>> {
        async move {
            let response = peer_tcp::fetch(addr, &self.keys, &request, &self.counters).await;
            response
                .inspect_err(|error| tracing::debug!(%error, %addr, "could not fetch from peer"))
                .ok()
        }
        .boxed()
    }
}
