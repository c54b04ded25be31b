//! Datagrams between nodes: postcard bodies, sealed.
//!
//! What cannot be opened or read is counted and dropped.

use std::{
    io,
    marker::PhantomData,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use citrongw_protocol::peer::{MAX_DATAGRAM_BYTES, Message};
use citrongw_state::id::NodeId;
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::UdpSocket;

use crate::{
    peer_auth::{self, PeerKeys, Rejected, Sealer},
    peer_counters::PeerCounters,
};

/// Room for a datagram, and a byte that tells one that is too large.
const BUFFER_BYTES: usize = MAX_DATAGRAM_BYTES + 1;

/// What datagrams carry.
pub trait Datagram: Serialize + DeserializeOwned {
    /// Whether it may come from a node that does not know whom it asks.
    fn may_be_undirected(&self) -> bool;
}

impl Datagram for Message {
    fn may_be_undirected(&self) -> bool {
        matches!(self, Self::Ping(_))
    }
}

/// Bound endpoint.
#[derive(Debug)]
pub struct PeerUdp<M = Message> {
    socket: UdpSocket,
    sealer: Mutex<Sealer>,
    counters: Arc<PeerCounters>,
    messages: PhantomData<fn() -> M>,
}

/// Datagram as received.
#[derive(Debug, Clone, PartialEq)]
pub struct Received<M = Message> {
    /// Node that sent it.
    pub from: NodeId,
    /// Address that it came from.
    pub addr: SocketAddr,
    /// The message.
    pub message: M,
}

/// Binds an endpoint of `node`.
pub async fn bind<M: Datagram>(
    addr: SocketAddr,
    keys: PeerKeys,
    node: NodeId,
    counters: Arc<PeerCounters>,
) -> io::Result<PeerUdp<M>> {
    let socket = UdpSocket::bind(addr).await?;
    let sealer = Mutex::new(peer_auth::open_sealer(keys, node));
    Ok(PeerUdp { socket, sealer, counters, messages: PhantomData })
}

impl<M: Datagram> PeerUdp<M> {
    /// Address that it is bound to.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a message. It may be lost, also when the network is at fault here.
    pub async fn send(&self, addr: SocketAddr, to: NodeId, message: &M) {
        let Ok(body) = postcard::to_stdvec(message) else {
            return self.counters.add_send_failed();
        };
        let sealed = self.sealer().seal(to, &body);
        if MAX_DATAGRAM_BYTES < sealed.len() {
            tracing::warn!(bytes = sealed.len(), "could not send datagram: too large");
            return self.counters.add_send_failed();
        }
        match self.socket.send_to(&sealed, addr).await {
            Ok(_) => self.counters.add_sent(sealed.len()),
            Err(error) => {
                tracing::debug!(%error, %addr, "could not send datagram");
                self.counters.add_send_failed();
            }
        }
    }

    /// Waits for the next message that holds.
    pub async fn receive(&self) -> Received<M> {
        let mut buf = [0; BUFFER_BYTES];
        loop {
            let Ok((len, addr)) = self.socket.recv_from(&mut buf).await else {
                // An error here tells of an earlier send to a closed port.
                tokio::task::yield_now().await;
                continue;
            };
            self.counters.add_received(len);
            match self.read(&buf[..len], addr) {
                Ok(received) => return received,
                Err(cause) => {
                    tracing::debug!(%cause, %addr, "dropped datagram");
                    self.counters.add_rejected(cause);
                }
            }
        }
    }

    fn read(&self, sealed: &[u8], addr: SocketAddr) -> Result<Received<M>, Rejected> {
        let mut sealer = self.sealer();
        let opened = sealer.open(sealed)?;
        let message: M = postcard::from_bytes(opened.body).map_err(|_| Rejected::Malformed)?;
        // Only who looks for nodes may not know whom it asks.
        if !opened.direct && !message.may_be_undirected() {
            return Err(Rejected::Misdirected);
        }
        Ok(Received { from: opened.from, addr, message })
    }

    fn sealer(&self) -> std::sync::MutexGuard<'_, Sealer> {
        self.sealer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
