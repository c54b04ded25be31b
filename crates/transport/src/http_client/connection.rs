//! One connection: opening it, and its age.

use std::{io, net::SocketAddr, time::Duration};

use http::HeaderMap;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::Instant};

use super::{HttpError, Progress, RequestBody, StreamedBody};

/// Longest time that a connect may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time that a connection stays unused; devices in between forget
/// connections later than this.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Part of the time that a server keeps an unused connection in which it is not
/// used any more: a request on its way may cross the close.
const IDLE_MARGIN: Duration = Duration::from_millis(300);
/// Longest life of a connection.
pub(super) const MAX_AGE: Duration = Duration::from_secs(300);
/// Silence after which the system asks whether the other end is there.
const KEEPALIVE_TIME: Duration = Duration::from_secs(10);
/// Pause between two such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Unanswered questions that end a connection.
const KEEPALIVE_PROBES: u32 = 3;
/// Longest time that written bytes may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);

/// Open connection that carries one exchange at a time.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<RequestBody>,
    opened_at: Instant,
    pub(super) used_at: Instant,
    /// Longest time that it may stay unused.
    idle_timeout: Duration,
    /// Body of the exchange, if it is passed on as it arrives.
    upload: Option<StreamedBody>,
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
        tracing::debug!(%error, %addr, "could not set options of a connection");
    }
    let shaken = http1::handshake(TokioIo::new(stream)).await;
    let (sender, driver) = shaken.map_err(|_| HttpError::NotReached)?;
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
    /// Begins an exchange with a body.
    pub(super) fn begin(&mut self, body: &RequestBody) {
        self.upload = match body {
            RequestBody::Held(_) => None,
            RequestBody::Streamed(body) => Some(body.clone()),
        };
    }

    /// Whether the last body was sent to its end: a server may answer before it
    /// has read it, and would read the next request as its rest.
    pub(super) fn has_sent_all(&self) -> bool {
        self.upload.as_ref().is_none_or(|it| it.progress() == Progress::Ended)
    }

    /// Takes in for how long the server keeps it while it is unused.
    pub(super) fn limit_idle(&mut self, headers: &HeaderMap) {
        let told = headers.get("keep-alive").and_then(|it| it.to_str().ok());
        let params = told.into_iter().flat_map(|it| it.split(','));
        let timeout_s = params
            .filter_map(|it| it.trim().strip_prefix("timeout="))
            .find_map(|it| it.parse().ok());
        if let Some(timeout_s) = timeout_s {
            let kept = Duration::from_secs(timeout_s).saturating_sub(IDLE_MARGIN);
            self.idle_timeout = kept.min(IDLE_TIMEOUT);
        }
    }

    /// Whether it may carry another exchange.
    pub(super) fn is_usable(&self, now: Instant) -> bool {
        !self.sender.is_closed()
            && now < self.used_at + self.idle_timeout
            && now < self.opened_at + MAX_AGE
    }
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
