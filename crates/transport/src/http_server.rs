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
mod peer_wait;
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
use crate::{
    memory_budget::{
        CloseReason, MemoryBudget, MemoryKind, PortId,
        account::{self, OpenAccount},
    },
    tls::TlsCell,
};

/// Default maximum number of concurrent connections.
pub const DEFAULT_MAX_CONNECTIONS: usize = 8192;
/// Maximum number of connections above the limit that get a 503 response at the
/// same time; further ones are dropped.
const MAX_REFUSALS: usize = 64;
/// The same as a part of the connections, where descriptors are limited.
const REFUSALS_SHARE: usize = 8;
/// Maximum number of connections that wait to be accepted; the system may set a
/// lower limit. All peers reconnect at once after a node was killed, and a peer
/// that finds the backlog full retries only after a second.
const LISTEN_BACKLOG: u32 = 4_096;
/// Memory of an open connection: its tasks, and its read buffer.
const CONNECTION_BYTES: usize = 24 * 1024;
/// Additional memory of a connection with TLS.
const TLS_BYTES: usize = 40 * 1024;
/// Size of the system's receive buffer and of its send buffer of a connection, if memory
/// is limited. The system may use twice as much. It allows 12 MB/s at a distance of 5 ms.
const SOCKET_BUFFER_BYTES: u32 = 64 * 1024;
/// Time that a new connection waits for the end of a refusal, where their number is
/// limited by descriptors, before it is dropped without a response.
const REFUSAL_WAIT: Duration = Duration::from_millis(100);
/// Time that a new connection waits for the end of one that is closed for it.
const PLACE_TIMEOUT: Duration = Duration::from_millis(200);
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
    /// Budget that the memory of the connections is charged to; none: no limit.
    pub budget: Option<Arc<MemoryBudget>>,
    /// Whether new connections and requests are refused while the budget is spent. A port
    /// for the load balancer or for operators must still respond then.
    pub refuses_over_budget: bool,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            tls: None,
            max_connections: DEFAULT_MAX_CONNECTIONS,
            limits: Arc::default(),
            write_timeout: Duration::from_secs(20),
            budget: None,
            refuses_over_budget: true,
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
    let budget = options.budget.as_ref();
    let has_memory_limit = budget.is_some_and(|it| it.max_bytes().is_some());
    let listener = listen(addr, has_memory_limit.then_some(SOCKET_BUFFER_BYTES))?;
    let local_addr = listener.local_addr()?;
    let (stop_tx, stop_rx) = watch::channel(false);
    let id = budget.map(|it| it.add_port());
    // Refusals take descriptors too, which only a port with a budget is short of.
    let max_refusals = match budget {
        Some(_) => MAX_REFUSALS.min(options.max_connections.div_ceil(REFUSALS_SHARE)),
        None => MAX_REFUSALS,
    };
    let port = Port {
        tree: Arc::new(Tree::from(router)),
        free_connections: Arc::new(Semaphore::new(options.max_connections)),
        free_refusals: Arc::new(Semaphore::new(max_refusals)),
        id,
        options: Arc::new(options),
        stop_rx,
    };
    let accept_task = tokio::spawn(accept(listener, port));
    Ok(HttpServer { local_addr, stop_tx, accept_task })
}

fn listen(addr: SocketAddr, buffer_bytes: Option<u32>) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    if let Some(bytes) = buffer_bytes {
        // Accepted connections inherit them.
        socket.set_recv_buffer_size(bytes)?;
        socket.set_send_buffer_size(bytes)?;
    }
    socket.bind(addr)?;
    socket.listen(LISTEN_BACKLOG)
}

/// State shared by the connections of one listening port.
#[derive(Clone)]
struct Port {
    tree: Arc<Tree>,
    free_connections: Arc<Semaphore>,
    free_refusals: Arc<Semaphore>,
    /// Port among those that share the budget.
    id: Option<PortId>,
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
                Ok((stream, peer)) => {
                    if !admit(&mut connections, &port, stream, peer).await {
                        // Connections that were closed end, and refusals are sent, before
                        // the next one is accepted.
                        tokio::task::yield_now().await;
                    }
                }
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

/// Serves or refuses a connection. False if the port had no free connections.
async fn admit(
    connections: &mut JoinSet<()>,
    port: &Port,
    stream: TcpStream,
    peer: SocketAddr,
) -> bool {
    if let Ok(permit) = Arc::clone(&port.free_connections).try_acquire_owned() {
        connections.spawn(serve(port.clone(), stream, peer, permit));
        return true;
    }
    let budget = port.options.budget.as_ref();
    let refusals = Arc::clone(&port.free_refusals);
    let refusal = match budget {
        // Those in the backlog take no descriptors meanwhile.
        Some(_) => tokio::time::timeout(REFUSAL_WAIT, refusals.acquire_owned()).await.ok(),
        None => refusals.try_acquire_owned().ok().map(Ok),
    };
    let refusal = refusal.and_then(Result::ok);
    let has_room =
        refusal.is_some() && budget.zip(port.id).is_some_and(|(budget, id)| budget.make_room(id));
    if let Some(budget) = budget.filter(|_| !has_room) {
        budget.record_closed(CloseReason::Full, 1);
    }
    let Some(refusal) = refusal else { return false };
    if has_room {
        connections.spawn(serve_in_place_of_another(port.clone(), stream, peer, refusal));
    } else if port.options.tls.is_none() {
        // With TLS a response would need a handshake first, so the connection is dropped.
        connections.spawn(async move {
            error_response::refuse_connection(stream).await;
            drop(refusal);
        });
    }
    false
}

/// Serves a connection once the one that was closed for it has ended.
async fn serve_in_place_of_another(
    port: Port,
    stream: TcpStream,
    peer: SocketAddr,
    refusal: OwnedSemaphorePermit,
) {
    let place = Arc::clone(&port.free_connections).acquire_owned();
    match tokio::time::timeout(PLACE_TIMEOUT, place).await {
        Ok(Ok(permit)) => {
            drop(refusal);
            serve(port, stream, peer, permit).await;
        }
        Ok(Err(_)) | Err(_) if port.options.tls.is_none() => {
            error_response::refuse_connection(stream).await;
        }
        Ok(Err(_)) | Err(_) => {}
    }
}

async fn stopped(stop_rx: &mut watch::Receiver<bool>) {
    // Dropping the handle requests the stop as well.
    let _ = stop_rx.wait_for(|stop| *stop).await;
}

async fn serve(port: Port, stream: TcpStream, peer: SocketAddr, permit: OwnedSemaphorePermit) {
    let account = port.options.budget.as_ref().zip(port.id).map(|(it, id)| account::open(it, id));
    let Some(account) = account else {
        serve_open(port, stream, peer, None).await;
        drop(permit);
        return;
    };
    let bytes = CONNECTION_BYTES + if port.options.tls.is_some() { TLS_BYTES } else { 0 };
    let charge = match port.options.refuses_over_budget {
        true => account.account().charge(MemoryKind::Connection, bytes),
        false => Ok(account.account().charge_held(MemoryKind::Connection, bytes)),
    };
    if let Ok(charge) = charge {
        tokio::select! {
            () = serve_open(port, stream, peer, Some(&account)) => {}
            () = account.account().wait_until_closed() => {}
        }
        drop(charge);
    } else {
        account.account().record_refusal();
        let refusal = Arc::clone(&port.free_refusals).try_acquire_owned();
        if refusal.is_ok() && port.options.tls.is_none() {
            error_response::refuse_connection(stream).await;
        }
    }
    drop(permit);
}

async fn serve_open(
    port: Port,
    stream: TcpStream,
    peer: SocketAddr,
    account: Option<&OpenAccount>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "could not set TCP_NODELAY");
    }
    let account = account.map(|it| Arc::clone(it.account()));
    match port.options.tls.clone() {
        None => connection::serve(port, stream, peer, account).await,
        Some(tls) => {
            if let Some(account) = &account {
                account.set_waiting(account.now_ms(), false);
            }
            let accepted =
                tokio::time::timeout(port.options.limits.header_timeout(), tls.accept(stream));
            match accepted.await {
                Ok(Ok(stream)) => connection::serve(port, stream, peer, account).await,
                Ok(Err(error)) => tracing::debug!(%error, %peer, "TLS handshake failed"),
                Err(_) => tracing::debug!(%peer, "TLS handshake timed out"),
            }
        }
    }
}
