//! Requests between nodes whose responses may be large: one request per
//! connection.
//!
//! The server sends a nonce first and the client adds its own. Both nonces are
//! part of the authentication tag of request and response, so neither message
//! can be replayed.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use citrongw_protocol::peer::{FetchRequest, FetchResponse, MAX_FRAME_BYTES, PEER_VERSION};
use derive_more::{Display, Error};
use futures::future::BoxFuture;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::JoinHandle,
};

use crate::{
    peer_auth::{PeerKeys, Rejected},
    peer_counters::PeerCounters,
};

/// Timeout of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a request.
const MAX_REQUEST_BYTES: usize = 64 * 1024;
/// Maximum number of concurrent exchanges; further connections wait.
const MAX_EXCHANGES: usize = 16;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Bytes of the nonce of each side.
const NONCE_BYTES: usize = 16;
/// Bytes of the authentication tag.
const TAG_BYTES: usize = 16;

/// Nonces of server and client, in this order.
type Nonces = [u8; 2 * NONCE_BYTES];

/// Handler of the requests of other nodes.
pub type FetchHandler =
    Arc<dyn Fn(FetchRequest) -> BoxFuture<'static, FetchResponse> + Send + Sync>;

/// Error of an exchange.
#[derive(Debug, Display, Error)]
pub enum FetchError {
    /// The connection failed.
    #[display("connection failed: {_0}")]
    Connection(#[error(source)] io::Error),
    /// The received message was rejected.
    #[display("message was {_0}")]
    Rejected(#[error(not(source))] Rejected),
    /// No response arrived within the timeout.
    #[display("no response in time")]
    TimedOut,
}

impl From<io::Error> for FetchError {
    fn from(error: io::Error) -> Self {
        Self::Connection(error)
    }
}

/// Running server. Dropping it stops the server.
#[derive(Debug)]
pub struct PeerTcp {
    local_addr: SocketAddr,
    task: JoinHandle<()>,
}

impl PeerTcp {
    /// Address that the server listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }
}

impl Drop for PeerTcp {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves the requests that arrive at `listener`.
pub fn serve(
    listener: TcpListener,
    keys: PeerKeys,
    handler: FetchHandler,
    counters: Arc<PeerCounters>,
) -> io::Result<PeerTcp> {
    let local_addr = listener.local_addr()?;
    let task = tokio::spawn(accept(listener, keys, handler, counters));
    Ok(PeerTcp { local_addr, task })
}

async fn accept(
    listener: TcpListener,
    keys: PeerKeys,
    handler: FetchHandler,
    counters: Arc<PeerCounters>,
) {
    let exchanges = Arc::new(Semaphore::new(MAX_EXCHANGES));
    loop {
        // The semaphore is never closed.
        let Ok(permit) = Arc::clone(&exchanges).acquire_owned().await else { return };
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(%error, "could not accept a peer connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (keys, handler, counters) = (keys.clone(), Arc::clone(&handler), Arc::clone(&counters));
        tokio::spawn(async move {
            let exchange = serve_exchange(stream, &keys, &handler, &counters);
            match tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => {
                    if let FetchError::Rejected(cause) = error {
                        counters.add_rejected(cause);
                    }
                    tracing::debug!(%error, %peer, "could not serve peer request");
                }
                Err(_) => tracing::debug!(%peer, "peer request timed out"),
            }
            drop(permit);
        });
    }
}

async fn serve_exchange(
    mut stream: TcpStream,
    keys: &PeerKeys,
    handler: &FetchHandler,
    counters: &PeerCounters,
) -> Result<(), FetchError> {
    let mut nonces: Nonces = [0; 2 * NONCE_BYTES];
    let (own, client) = nonces.split_at_mut(NONCE_BYTES);
    rand::fill(&mut own[..]);
    stream.write_all(own).await?;
    stream.read_exact(client).await?;
    let (request, _) =
        read_frame(&mut stream, keys, &nonces, b"question", MAX_REQUEST_BYTES).await?;
    let response = handler(request).await;
    let sent = write_frame(&mut stream, keys, &nonces, b"answer", &response).await?;
    counters.add_served(sent);
    Ok(())
}

/// Sends a request to the node at `addr` and returns the response.
pub async fn fetch(
    addr: SocketAddr,
    keys: &PeerKeys,
    request: &FetchRequest,
    counters: &PeerCounters,
) -> Result<FetchResponse, FetchError> {
    let exchange = async {
        let mut stream = TcpStream::connect(addr).await?;
        let mut nonces: Nonces = [0; 2 * NONCE_BYTES];
        let (server, own) = nonces.split_at_mut(NONCE_BYTES);
        stream.read_exact(server).await?;
        rand::fill(&mut own[..]);
        stream.write_all(own).await?;
        write_frame(&mut stream, keys, &nonces, b"question", request).await?;
        let (response, received) =
            read_frame(&mut stream, keys, &nonces, b"answer", MAX_FRAME_BYTES).await?;
        counters.add_fetched(received);
        Ok(response)
    };
    let res = tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await;
    res.unwrap_or(Err(FetchError::TimedOut))
}

async fn write_frame(
    stream: &mut TcpStream,
    keys: &PeerKeys,
    nonces: &Nonces,
    kind: &[u8],
    message: &impl Serialize,
) -> Result<usize, FetchError> {
    let malformed = |_| FetchError::Rejected(Rejected::Malformed);
    let body = postcard::to_stdvec(message).map_err(malformed)?;
    let len = u32::try_from(body.len()).unwrap_or(u32::MAX).to_le_bytes();
    let tag = keys.sign(&[&[PEER_VERSION], kind, nonces, &len, &body]);
    let mut frame = vec![PEER_VERSION];
    frame.extend(len);
    frame.extend(body);
    frame.extend(tag);
    stream.write_all(&frame).await?;
    stream.flush().await?;
    Ok(frame.len())
}

async fn read_frame<T: DeserializeOwned>(
    stream: &mut TcpStream,
    keys: &PeerKeys,
    nonces: &Nonces,
    kind: &[u8],
    max_bytes: usize,
) -> Result<(T, usize), FetchError> {
    let version = stream.read_u8().await?;
    let mut len = [0; 4];
    stream.read_exact(&mut len).await?;
    let body_len = u32::from_le_bytes(len) as usize;
    if version != PEER_VERSION || max_bytes < body_len {
        return Err(FetchError::Rejected(Rejected::Malformed));
    }
    let mut body = vec![0; body_len];
    stream.read_exact(&mut body).await?;
    let mut tag = [0; TAG_BYTES];
    stream.read_exact(&mut tag).await?;
    if !keys.verify(&[&[PEER_VERSION], kind, nonces, &len, &body], &tag) {
        return Err(FetchError::Rejected(Rejected::Unauthenticated));
    }
    let message = postcard::from_bytes(&body);
    let message = message.map_err(|_| FetchError::Rejected(Rejected::Malformed))?;
    Ok((message, body_len))
}
