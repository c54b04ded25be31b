//! HTTP serving with bounds on slow and large senders and on connections, and a
//! stop that lets every open exchange end.
//!
//! What the HTTP library refuses by itself, such as a flood of headers, is
//! answered with a numbered code as well.

mod connection;
mod framing;
mod guarded;
mod limits;
mod refused;
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

/// Connections at once, unless told otherwise.
pub const DEFAULT_MAX_CONNECTIONS: usize = 8192;
/// Connections above the bound that are told so at once; others are dropped.
const MAX_REFUSING: usize = 64;
/// Connections that wait to be accepted, at most; the system may bound it lower.
/// All peers come back at once after a node was killed, and one that finds no
/// room tries again only after a second.
const LISTEN_BACKLOG: u32 = 4_096;
/// Pause after a failed accept, which is most often a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How a port is served.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// Certificates, if the port takes TLS.
    pub tls: Option<Arc<TlsCell>>,
    /// Connections at once, at most.
    pub max_connections: usize,
    /// Bounds of what a peer may send and how long it may take; they may change
    /// while the port serves.
    pub limits: Arc<ConnectionLimits>,
    /// Longest time that a peer may take no byte of an answer.
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
    /// Address that it listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Takes no new connection, lets each open exchange end, then returns.
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
        free: Arc::new(Semaphore::new(options.max_connections)),
        free_refusing: Arc::new(Semaphore::new(MAX_REFUSING)),
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

/// What the connections of one port share.
#[derive(Clone)]
struct Port {
    tree: Arc<Tree>,
    free: Arc<Semaphore>,
    free_refusing: Arc<Semaphore>,
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
    if let Ok(permit) = Arc::clone(&port.free).try_acquire_owned() {
        connections.spawn(serve(port.clone(), stream, peer, permit));
        return;
    }
    // A TLS peer would have to be greeted first; it is dropped.
    if port.options.tls.is_some() {
        return;
    }
    if let Ok(permit) = Arc::clone(&port.free_refusing).try_acquire_owned() {
        connections.spawn(async move {
            refused::refuse_connection(stream).await;
            drop(permit);
        });
    }
}

async fn stopped(stop_rx: &mut watch::Receiver<bool>) {
    // A handle that was dropped asked for the stop as well.
    let _ = stop_rx.wait_for(|stop| *stop).await;
}

async fn serve(port: Port, stream: TcpStream, peer: SocketAddr, permit: OwnedSemaphorePermit) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "could not set no-delay");
    }
    match port.options.tls.clone() {
        None => connection::serve(port, stream, peer).await,
        Some(tls) => {
            let accepted =
                tokio::time::timeout(port.options.limits.header_timeout(), tls.accept(stream));
            match accepted.await {
                Ok(Ok(stream)) => connection::serve(port, stream, peer).await,
                Ok(Err(error)) => tracing::debug!(%error, %peer, "could not agree on TLS"),
                Err(_) => tracing::debug!(%peer, "TLS took too long"),
            }
        }
    }
    drop(permit);
}
