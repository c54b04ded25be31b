//! Pool of idle connections, keyed by address.
//!
//! Each exchange takes a connection out of the pool and puts it back when the
//! response has been read to its end. An exchange that is abandoned while the
//! server is unresponsive also closes the idle connections to the same address
//! that were last used before the silence began: a middlebox that dropped the
//! state of one connection may have dropped that of the others. The address
//! itself stays in use.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use derive_more::Debug;
use http::{HeaderValue, Request, Response, Uri, header};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::{
    AddrMap, HttpError, PooledBody, RequestBody,
    connection::{self, Connection, IDLE_TIMEOUT},
    request_body::UploadHandle,
};

/// Maximum number of idle connections to one address.
const MAX_IDLE: usize = 256;
/// Silence of an abandoned exchange from which the idle connections to the same
/// address are closed.
const SUSPECT_AFTER_SILENCE: Duration = Duration::from_millis(200);

/// Counters of the connection pool.
#[derive(Debug, Default)]
pub struct PoolCounters {
    opened: AtomicU64,
    reused: AtomicU64,
    retired: AtomicU64,
}

impl PoolCounters {
    /// Connections opened.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Exchanges over a reused connection.
    pub fn reused(&self) -> u64 {
        self.reused.load(Ordering::Relaxed)
    }

    /// Connections closed because an exchange was abandoned after a silence:
    /// its own connection and the idle ones to the same address.
    pub fn retired(&self) -> u64 {
        self.retired.load(Ordering::Relaxed)
    }
}

/// Connection pool of all addresses.
#[derive(Debug)]
pub(super) struct Pool {
    #[debug(skip)]
    map: AddrMap,
    hosts: ArcSwap<HashMap<SocketAddr, Arc<Host>>>,
    counters: Arc<PoolCounters>,
}

/// Creates an empty pool.
pub(super) fn open(map: AddrMap) -> Pool {
    Pool { map, hosts: ArcSwap::default(), counters: Arc::default() }
}

impl Pool {
    pub(super) fn counters(&self) -> &PoolCounters {
        &self.counters
    }

    /// Sends a request over an idle connection, or over a new one if none is
    /// usable.
    pub(super) async fn send(
        &self,
        mut request: Request<RequestBody>,
        may_send: impl Fn() -> bool,
    ) -> Result<Option<Response<PooledBody>>, HttpError> {
        let host = self.host(prepare(&mut request)?);
        while let Some(mut connection) = host.take_idle() {
            if connection.sender.ready().await.is_err() {
                continue;
            }
            match exchange(connection, &host, request).await {
                SendOutcome::Responded(response) => {
                    self.counters.reused.fetch_add(1, Ordering::Relaxed);
                    return Ok(Some(response));
                }
                SendOutcome::Unwritten(returned) => request = returned,
                SendOutcome::Interrupted => return Err(HttpError::Interrupted),
            }
        }
        let connection = connection::open((self.map)(host.addr)).await?;
        self.counters.opened.fetch_add(1, Ordering::Relaxed);
        if !may_send() {
            host.put_back(connection);
            return Ok(None);
        }
        match exchange(connection, &host, request).await {
            SendOutcome::Responded(response) => Ok(Some(response)),
            SendOutcome::Unwritten(_) => Err(HttpError::NotReached),
            SendOutcome::Interrupted => Err(HttpError::Interrupted),
        }
    }

    /// Whether an idle connection to `addr` is still open.
    #[cfg(test)]
    pub(super) fn has_open_idle(&self, addr: SocketAddr) -> bool {
        self.host(addr).idle().iter().any(|it| !it.sender.is_closed())
    }

    fn host(&self, addr: SocketAddr) -> Arc<Host> {
        if let Some(host) = self.hosts.load().get(&addr) {
            return Arc::clone(host);
        }
        let new =
            Arc::new(Host { addr, idle: Mutex::default(), counters: Arc::clone(&self.counters) });
        self.hosts.rcu(|old| {
            let mut hosts = HashMap::clone(old);
            hosts.retain(|_, host| host.is_in_use());
            hosts.entry(addr).or_insert_with(|| Arc::clone(&new));
            hosts
        });
        let host = self.hosts.load().get(&addr).map(Arc::clone).unwrap_or(new);
        spawn_sweep(Arc::downgrade(&host));
        host
    }
}

/// Idle connections to one address.
#[derive(Debug)]
pub(super) struct Host {
    addr: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    counters: Arc<PoolCounters>,
}

impl Host {
    /// Puts back a connection whose exchange is complete, or closes it if it cannot
    /// be reused.
    pub(super) fn put_back(&self, mut connection: Connection) {
        let now = Instant::now();
        connection.used_at = now;
        let mut idle = self.idle();
        if connection.has_sent_all() && connection.is_usable(now) && idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    /// Records that an exchange was abandoned after no data had arrived since
    /// `last_received_at`.
    pub(super) fn record_abandoned(&self, last_received_at: Instant) {
        if last_received_at.elapsed() < SUSPECT_AFTER_SILENCE {
            return;
        }
        let mut idle = self.idle();
        let before = idle.len();
        idle.retain(|it| last_received_at < it.used_at);
        let retired = before - idle.len() + 1;
        self.counters.retired.fetch_add(retired as u64, Ordering::Relaxed);
    }

    fn take_idle(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle();
        while let Some(connection) = idle.pop() {
            if connection.is_usable(now) {
                return Some(connection);
            }
        }
        None
    }

    fn is_in_use(self: &Arc<Self>) -> bool {
        1 < Arc::strong_count(self) || !self.idle().is_empty()
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Spawns a task that closes expired idle connections until the host is dropped.
fn spawn_sweep(host: Weak<Host>) {
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(IDLE_TIMEOUT / 2).await;
            let Some(host) = host.upgrade() else { return };
            let now = Instant::now();
            host.idle().retain(|it| it.is_usable(now));
        }
    });
}

enum SendOutcome {
    Responded(Response<PooledBody>),
    Unwritten(Request<RequestBody>),
    Interrupted,
}

async fn exchange(
    mut connection: Connection,
    host: &Arc<Host>,
    request: Request<RequestBody>,
) -> SendOutcome {
    connection.begin(request.body());
    let guard =
        AbandonGuard { host, upload: connection.upload().cloned(), sent_at: Some(Instant::now()) };
    let res = connection.sender.try_send_request(request).await;
    let upload = guard.disarm();
    match res {
        Ok(response) => SendOutcome::Responded(pooled(response, connection, upload, host)),
        Err(mut error) => match error.take_message() {
            Some(request) => SendOutcome::Unwritten(request),
            None => {
                if let Some(upload) = upload {
                    upload.cancel();
                }
                SendOutcome::Interrupted
            }
        },
    }
}

fn pooled(
    response: Response<Incoming>,
    mut connection: Connection,
    upload: Option<UploadHandle>,
    host: &Arc<Host>,
) -> Response<PooledBody> {
    let closes = response
        .headers()
        .get(header::CONNECTION)
        .is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"close"));
    let connection = (!closes).then(|| {
        connection.apply_keep_alive(response.headers());
        connection
    });
    response.map(|body| PooledBody::new(body, connection, upload, Arc::clone(host)))
}

/// Records an abandoned exchange if it is dropped before the response head
/// arrives.
struct AbandonGuard<'a> {
    host: &'a Arc<Host>,
    upload: Option<UploadHandle>,
    sent_at: Option<Instant>,
}

impl AbandonGuard<'_> {
    fn disarm(mut self) -> Option<UploadHandle> {
        self.sent_at = None;
        self.upload.take()
    }
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if let Some(sent_at) = self.sent_at {
            self.host.record_abandoned(sent_at);
        }
        if let Some(upload) = &self.upload {
            upload.cancel();
        }
    }
}

/// Rewrites the request to origin form with a host header; returns its address.
fn prepare(request: &mut Request<RequestBody>) -> Result<SocketAddr, HttpError> {
    let uri = request.uri();
    let authority = uri.authority().ok_or(HttpError::NotReached)?;
    let addr = authority.as_str().parse().map_err(|_| HttpError::NotReached)?;
    let host = HeaderValue::from_str(authority.as_str()).map_err(|_| HttpError::NotReached)?;
    let path = uri.path_and_query().map_or("/", |it| it.as_str()).to_owned();
    *request.uri_mut() = path.parse::<Uri>().map_err(|_| HttpError::NotReached)?;
    request.headers_mut().entry(header::HOST).or_insert(host);
    Ok(addr)
}
