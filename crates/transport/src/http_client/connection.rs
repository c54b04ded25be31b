//! A client connection and its time limits.

use std::{io, net::SocketAddr, time::Duration};

use http::HeaderMap;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::Instant};

use super::{HttpError, RequestBody, request_body::UploadHandle};
use crate::small_reads::SmallReads;

/// Maximum time of a TCP connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum idle time of a connection. Middleboxes drop the state of idle
/// connections later than this.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Margin subtracted from the keep-alive timeout of the server, because a request
/// in transit may cross the server's close.
const IDLE_MARGIN: Duration = Duration::from_millis(300);
/// Maximum age of a connection.
pub(super) const MAX_AGE: Duration = Duration::from_secs(300);
/// Idle time before the first TCP keep-alive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(10);
/// Interval between TCP keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Unacknowledged keep-alive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 3;
/// Maximum time that written bytes may stay unacknowledged. It also limits the silence
/// after which lost keep-alive probes close a connection, whatever their number, so it
/// is the time that all of them take.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(
    KEEPALIVE_TIME.as_secs() + KEEPALIVE_INTERVAL.as_secs() * KEEPALIVE_PROBES as u64,
);

/// Largest head of a response, and bytes of a request body that wait to be written: a
/// server that reads slowly must not fill the memory.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Open connection that carries one exchange at a time.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<RequestBody>,
    opened_at: Instant,
    pub(super) used_at: Instant,
    /// Maximum idle time, at most `IDLE_TIMEOUT`.
    idle_timeout: Duration,
    /// Upload of the current exchange if its request body is streamed.
    upload: Option<UploadHandle>,
}

/// Connects to `addr`.
pub(super) async fn open(addr: SocketAddr) -> Result<Connection, HttpError> {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let stream = match connect {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(HttpError::ConnectionRefused);
        }
        Ok(Err(_)) | Err(_) => return Err(HttpError::NotReached),
    };
    if let Err(error) = set_options(&stream) {
        tracing::debug!(%error, %addr, "could not set socket options");
    }
    let builder = http1::Builder::new().max_buf_size(MAX_BUFFER_BYTES).clone();
    let handshake = builder.handshake(TokioIo::new(SmallReads(stream))).await;
    let (sender, driver) = handshake.map_err(|_| HttpError::NotReached)?;
    tokio::spawn(async move {
        if let Err(error) = driver.await {
            tracing::debug!(%error, %addr, "connection ended early");
        }
    });
    let now = Instant::now();
    Ok(Connection {
        sender,
        opened_at: now,
        used_at: now,
        idle_timeout: IDLE_TIMEOUT,
        upload: None,
    })
}

impl Connection {
    /// Records the request body of a new exchange.
    pub(super) fn begin(&mut self, body: &RequestBody) {
        self.upload = match body {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(upload) => Some(upload.handle()),
        };
    }

    /// Whether the last request body was sent to its end. A server may respond
    /// before it has read the body, and would read the next request as the rest
    /// of it.
    pub(super) fn has_sent_all(&self) -> bool {
        self.upload.as_ref().is_none_or(UploadHandle::is_complete)
    }

    /// Upload of the current exchange if its request body is streamed.
    pub(super) fn upload(&self) -> Option<&UploadHandle> {
        self.upload.as_ref()
    }

    /// Limits the idle time to the keep-alive timeout that the server announces.
    pub(super) fn apply_keep_alive(&mut self, headers: &HeaderMap) {
        let value = headers.get("keep-alive").and_then(|it| it.to_str().ok());
        let params = value.into_iter().flat_map(|it| it.split(','));
        let timeout_s = params
            .filter_map(|it| it.trim().strip_prefix("timeout="))
            .find_map(|it| it.parse().ok());
        if let Some(timeout_s) = timeout_s {
            let server_limit = Duration::from_secs(timeout_s).saturating_sub(IDLE_MARGIN);
            self.idle_timeout = server_limit.min(IDLE_TIMEOUT);
        }
    }

    /// Whether the connection may carry another exchange.
    pub(super) fn is_usable(&self, now: Instant) -> bool {
        !self.sender.is_closed()
            && now < self.used_at + self.idle_timeout
            && now < self.opened_at + MAX_AGE
    }
}

pub(super) fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
