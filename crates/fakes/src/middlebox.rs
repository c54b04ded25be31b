//! Stand-in for a device between two ends that forgets open connections: what
//! either end sends on them is swallowed from then on, while new connections
//! work.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
};

/// Running device.
#[derive(Debug)]
pub struct Middlebox {
    local_addr: SocketAddr,
    shared: Arc<Shared>,
    accept_task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Shared {
    forgotten: AtomicU64,
    opened: AtomicU64,
}

impl Middlebox {
    /// Address that stands for the other end's.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Forgets all connections that are open now.
    pub fn forget(&self) {
        self.shared.forgotten.store(self.opened(), Ordering::SeqCst);
    }

    /// Connections opened so far.
    pub fn opened(&self) -> u64 {
        self.shared.opened.load(Ordering::SeqCst)
    }
}

impl Drop for Middlebox {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

/// Listens on `addr` and passes connections on to `to`.
pub async fn bind(addr: SocketAddr, to: SocketAddr) -> io::Result<Middlebox> {
    let listener = TcpListener::bind(addr).await?;
    let local_addr = listener.local_addr()?;
    let shared = Arc::new(Shared::default());
    let accept_task = tokio::spawn(accept(listener, to, Arc::clone(&shared)));
    Ok(Middlebox { local_addr, shared, accept_task })
}

async fn accept(listener: TcpListener, to: SocketAddr, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        let number = shared.opened.fetch_add(1, Ordering::SeqCst) + 1;
        let Ok(far) = TcpStream::connect(to).await else { continue };
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        connections.spawn(pass(near_read, far_write, number, Arc::clone(&shared)));
        connections.spawn(pass(far_read, near_write, number, Arc::clone(&shared)));
    }
}

async fn pass(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    number: u64,
    shared: Arc<Shared>,
) {
    let mut buf = vec![0; 16 * 1024];
    let is_forgotten = || number <= shared.forgotten.load(Ordering::SeqCst);
    while let Ok(count @ 1..) = from.read(&mut buf).await {
        if !is_forgotten() && to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
    if is_forgotten() {
        std::future::pending::<()>().await;
    }
}
