//! Fake of a middlebox that loses its connection state: data that either end
//! sends on the affected connections is discarded without a reset, while new
//! connections work.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
};

/// Running middlebox. Dropping it stops it.
#[derive(Debug)]
pub struct Middlebox {
    local_addr: SocketAddr,
    shared: Arc<Shared>,
    accept_task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Shared {
    /// Number of the last connection whose state is discarded.
    dropped_up_to: AtomicU64,
    is_silent: AtomicBool,
    opened: AtomicU64,
}

impl Middlebox {
    /// Address that the middlebox listens on in place of the target.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Discards the state of all connections that are open now.
    pub fn discard_connection_state(&self) {
        self.shared.dropped_up_to.store(self.opened(), Ordering::SeqCst);
    }

    /// Discards the data of all connections from now on, or only of those that were
    /// opened so far.
    pub fn set_silent(&self, is_silent: bool) {
        if self.shared.is_silent.swap(is_silent, Ordering::SeqCst) && !is_silent {
            self.discard_connection_state();
        }
    }

    /// Number of connections accepted so far.
    pub fn opened(&self) -> u64 {
        self.shared.opened.load(Ordering::SeqCst)
    }
}

impl Drop for Middlebox {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

/// Listens on `addr` and forwards connections to `target`.
pub async fn bind(addr: SocketAddr, target: SocketAddr) -> io::Result<Middlebox> {
    bind_now(addr, target)
}

/// Listens on `addr`, without waiting, and forwards connections to `target`.
pub fn bind_now(addr: SocketAddr, target: SocketAddr) -> io::Result<Middlebox> {
    let listener = std::net::TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let local_addr = listener.local_addr()?;
    let shared = Arc::new(Shared::default());
    let accept_task = tokio::spawn(accept(listener, target, Arc::clone(&shared)));
    Ok(Middlebox { local_addr, shared, accept_task })
}

async fn accept(listener: TcpListener, target: SocketAddr, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        let number = shared.opened.fetch_add(1, Ordering::SeqCst) + 1;
        let Ok(server) = TcpStream::connect(target).await else { continue };
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        connections.spawn(forward(client_read, server_write, number, Arc::clone(&shared)));
        connections.spawn(forward(server_read, client_write, number, Arc::clone(&shared)));
    }
}

async fn forward(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    number: u64,
    shared: Arc<Shared>,
) {
    let mut buf = vec![0; 16 * 1024];
    let is_dropped = || {
        shared.is_silent.load(Ordering::SeqCst)
            || number <= shared.dropped_up_to.load(Ordering::SeqCst)
    };
    while let Ok(count @ 1..) = from.read(&mut buf).await {
        if !is_dropped() && to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
    if is_dropped() {
        std::future::pending::<()>().await;
    }
}
