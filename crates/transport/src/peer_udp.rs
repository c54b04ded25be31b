//! Authenticated datagrams between nodes, encoded with postcard.
//!
//! Datagrams that fail authentication or decoding are counted and dropped.

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

/// Size of the receive buffer: the largest datagram, and one byte to detect a
/// larger one.
const BUFFER_BYTES: usize = MAX_DATAGRAM_BYTES + 1;

/// Message that a datagram carries.
pub trait Datagram: Serialize + DeserializeOwned {
    /// Whether the message may be sent to [`peer_auth::ANY_NODE`], by a sender that
    /// does not know the receiver's id.
    fn allows_any_receiver(&self) -> bool;
}

impl Datagram for Message {
    fn allows_any_receiver(&self) -> bool {
        matches!(self, Self::Ping(_))
    }
}

/// Bound UDP endpoint of a node.
#[derive(Debug)]
pub struct PeerUdp<M = Message> {
    socket: UdpSocket,
    sealer: Mutex<Sealer>,
    counters: Arc<PeerCounters>,
    messages: PhantomData<fn() -> M>,
}

/// Received message with its sender.
#[derive(Debug, Clone, PartialEq)]
pub struct Received<M = Message> {
    /// Node that sent it.
    pub from: NodeId,
    /// Address that it came from.
    pub addr: SocketAddr,
    /// Decoded message.
    pub message: M,
}

/// Binds the endpoint of `node` to `addr`.
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
    /// Address that the endpoint is bound to.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Keys that messages are signed and verified with.
    pub fn keys(&self) -> PeerKeys {
        self.sealer().keys().clone()
    }

    /// Replaces the keys. The first one signs from now on.
    pub fn set_keys(&self, keys: PeerKeys) {
        self.sealer().set_keys(keys);
    }

    /// Sends a message without a delivery guarantee. Local send errors are only
    /// counted.
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

    /// Waits for the next valid message.
    pub async fn receive(&self) -> Received<M> {
        let mut buf = [0; BUFFER_BYTES];
        loop {
            let Ok((len, addr)) = self.socket.recv_from(&mut buf).await else {
                // An error here reports an earlier send to a closed port.
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
        // Only messages that discover nodes may omit the receiver's id.
        if !opened.direct && !message.allows_any_receiver() {
            return Err(Rejected::Misdirected);
        }
        Ok(Received { from: opened.from, addr, message })
    }

    fn sealer(&self) -> std::sync::MutexGuard<'_, Sealer> {
        self.sealer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
