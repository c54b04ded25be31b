//! HTTP serving with bounds on slow and large senders, and a stop that lets
//! every open exchange end.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};
use viz::{Responder, Router, Tree};

/// Longest time that the headers of a request may take.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Most headers of one request.
const MAX_HEADERS: usize = 64;
/// Largest size of the headers of one request.
const MAX_HEADER_BYTES: usize = 32 * 1024;
/// Pause after a failed accept, which is most often a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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

/// Listens on `addr` and serves `router`.
pub async fn bind(addr: SocketAddr, router: Router) -> io::Result<HttpServer> {
    let listener = TcpListener::bind(addr).await?;
    let local_addr = listener.local_addr()?;
    let (stop_tx, stop_rx) = watch::channel(false);
    let tree = Arc::new(Tree::from(router));
    let accept_task = tokio::spawn(accept(listener, tree, stop_rx));
    Ok(HttpServer { local_addr, stop_tx, accept_task })
}

async fn accept(listener: TcpListener, tree: Arc<Tree>, mut stop_rx: watch::Receiver<bool>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        tokio::select! {
            () = stopped(&mut stop_rx) => break,
            res = listener.accept() => match res {
                Ok((stream, peer)) => {
                    connections.spawn(serve(stream, peer, Arc::clone(&tree), stop_rx.clone()));
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

async fn stopped(stop_rx: &mut watch::Receiver<bool>) {
    // A handle that was dropped asked for the stop as well.
    let _ = stop_rx.wait_for(|stop| *stop).await;
}

async fn serve(
    stream: TcpStream,
    peer: SocketAddr,
    tree: Arc<Tree>,
    mut stop_rx: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "could not set no-delay");
    }
    let service = Responder::new(tree, Some(peer));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let res = tokio::select! {
        res = connection.as_mut() => res,
        () = stopped(&mut stop_rx) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = res {
        tracing::debug!(%error, %peer, "connection ended early");
    }
}
