//! HTTP server with limits on slow senders, large requests and the number of
//! connections, and with a graceful stop that completes every open exchange.
//!
//! Requests that the HTTP library rejects by itself, such as one with too many
//! headers, get a response with a numbered code as well.

mod connection;
mod error_response;
mod framing;
mod guarded_stream;
mod limits;
#[cfg(test)]
mod tests;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    task::{JoinHandle, JoinSet},
};
use viz::{Router, Tree};

pub use self::limits::ConnectionLimits;
use crate::tls::TlsCell;

/// Default maximum number of concurrent connections.
pub const DEFAULT_MAX_CONNECTIONS: usize = 8192;
/// Maximum number of connections above the limit that get a 503 response at the
/// same time; further ones are dropped.
const MAX_REFUSALS: usize = 64;
/// Maximum number of connections that wait to be accepted; the system may set a
/// lower limit. All peers reconnect at once after a node was killed, and a peer
/// that finds the backlog full retries only after a second.
const LISTEN_BACKLOG: u32 = 4_096;
/// Pause after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Options of an HTTP server.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// Certificate, if the port serves TLS.
    pub tls: Option<Arc<TlsCell>>,
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Limits on what a peer may send and how long it may take; they may change
    /// while the server runs.
    pub limits: Arc<ConnectionLimits>,
    /// Maximum time without progress in writing a response.
    pub write_timeout: Duration,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            tls: None,
            max_connections: DEFAULT_MAX_CONNECTIONS,
            limits: Arc::default(),
            write_timeout: Duration::from_secs(20),
        }
    }
}

/// Running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    local_addr: SocketAddr,
    stop_tx: watch::Sender<bool>,
    accept_task: JoinHandle<()>,
}

impl HttpServer {
    /// Address that the server listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Stops accepting connections and returns once every open exchange is
    /// complete.
    pub async fn stop(self) {
        self.stop_tx.send_replace(true);
        // An accept task that panicked has stopped as well.
        let _ = self.accept_task.await;
    }

    /// Drops every connection at once.
    pub fn abort(self) {
        self.accept_task.abort();
    }
}

/// Listens on `addr` and serves `router` with the default options.
pub async fn bind(addr: SocketAddr, router: Router) -> io::Result<HttpServer> {
    bind_with(addr, router, ServerOptions::default()).await
}

/// Listens on `addr` and serves `router`.
pub async fn bind_with(
    addr: SocketAddr,
    router: Router,
    options: ServerOptions,
) -> io::Result<HttpServer> {
    let listener = listen(addr)?;
    let local_addr = listener.local_addr()?;
    let (stop_tx, stop_rx) = watch::channel(false);
    let port = Port {
        tree: Arc::new(Tree::from(router)),
        free_connections: Arc::new(Semaphore::new(options.max_connections)),
        free_refusals: Arc::new(Semaphore::new(MAX_REFUSALS)),
        options: Arc::new(options),
        stop_rx,
    };
    let accept_task = tokio::spawn(accept(listener, port));
    Ok(HttpServer { local_addr, stop_tx, accept_task })
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(LISTEN_BACKLOG)
}

/// State shared by the connections of one listening port.
#[derive(Clone)]
struct Port {
    tree: Arc<Tree>,
    free_connections: Arc<Semaphore>,
    free_refusals: Arc<Semaphore>,
    options: Arc<ServerOptions>,
    stop_rx: watch::Receiver<bool>,
}

async fn accept(listener: TcpListener, mut port: Port) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        tokio::select! {
            () = stopped(&mut port.stop_rx) => break,
            res = listener.accept() => match res {
                Ok((stream, peer)) => admit(&mut connections, &port, stream, peer),
                Err(error) => {
                    tracing::warn!(%error, "could not accept a connection");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

fn admit(connections: &mut JoinSet<()>, port: &Port, stream: TcpStream, peer: SocketAddr) {
    if let Ok(permit) = Arc::clone(&port.free_connections).try_acquire_owned() {
        connections.spawn(serve(port.clone(), stream, peer, permit));
        return;
    }
    // A response would need a TLS handshake first, so the connection is dropped.
    if port.options.tls.is_some() {
        return;
    }
    if let Ok(permit) = Arc::clone(&port.free_refusals).try_acquire_owned() {
        connections.spawn(async move {
            error_response::refuse_connection(stream).await;
            drop(permit);
        });
    }
}

async fn stopped(stop_rx: &mut watch::Receiver<bool>) {
    // Dropping the handle requests the stop as well.
    let _ = stop_rx.wait_for(|stop| *stop).await;
}

async fn serve(port: Port, stream: TcpStream, peer: SocketAddr, permit: OwnedSemaphorePermit) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "could not set TCP_NODELAY");
    }
    match port.options.tls.clone() {
        None => connection::serve(port, stream, peer).await,
        Some(tls) => {
            let accepted =
                tokio::time::timeout(port.options.limits.header_timeout(), tls.accept(stream));
            match accepted.await {
                Ok(Ok(stream)) => connection::serve(port, stream, peer).await,
                Ok(Err(error)) => tracing::debug!(%error, %peer, "TLS handshake failed"),
                Err(_) => tracing::debug!(%peer, "TLS handshake timed out"),
            }
        }
    }
    drop(permit);
}
