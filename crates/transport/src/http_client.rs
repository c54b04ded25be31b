//! HTTP client of backend servers and the platform, with a connection pool.
//!
//! An error distinguishes whether any byte of the request may have been sent.
//! The request has certainly not reached a server if the connect failed or the
//! connection returned the request unwritten; otherwise it may have.

mod body;
mod connection;
mod pool;
mod request_body;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::ext::on_informational;
use serde::{Serialize, de::DeserializeOwned};
use tokio::time;

pub use self::body::PooledBody;
pub use self::pool::PoolCounters;
pub use self::request_body::{BodyProgress, RequestBody, StreamedBody, Upload};

/// Maximum size of a response body that is read into memory.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Limit of the transfer of a large response, as a multiple of the timeout of a call.
/// A response of a megabyte may share its link with a hundred others.
const TRANSFER_FACTOR: u32 = 8;

/// Error of an HTTP exchange.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum HttpError {
    /// No byte of the request was sent.
    #[display("could not connect")]
    NotReached,
    /// The address refused the connection, so no byte of the request was sent.
    #[display("connection was refused")]
    ConnectionRefused,
    /// The connection failed or the exchange timed out after the request may have
    /// been sent.
    #[display("exchange was interrupted")]
    Interrupted,
    /// The response could not be decoded.
    #[display("response could not be decoded")]
    InvalidResponse,
    /// The server responded with an error status.
    #[display("server responded with status {status}")]
    Status {
        /// HTTP status code.
        status: u16,
        /// Response body, read as UTF-8 with replacement characters.
        body: String,
    },
}

/// Time limits of the stages of an exchange whose response may be large. A large
/// response takes as long as the links between both ends need.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseTimeouts {
    /// Limit until the head of the response has arrived.
    pub head: Duration,
    /// Limit of a pause in the body.
    pub pause: Duration,
    /// Limit of the whole body.
    pub body: Duration,
}

impl ResponseTimeouts {
    /// Limits that follow from the timeout of a call with a small response.
    pub fn of_call(timeout: Duration) -> Self {
        Self { head: timeout, pause: timeout, body: timeout * TRANSFER_FACTOR }
    }

    /// Adds the time by which the server delays the response.
    pub fn after(self, wait: Duration) -> Self {
        Self { head: self.head + wait, ..self }
    }
}

/// Response that is read to its end. The body of an error response may be incomplete.
#[derive(Debug, Clone)]
pub struct BufferedResponse {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Body of the response.
    pub body: Bytes,
}

impl BufferedResponse {
    /// Decodes a JSON body. A status that is not a success is an error.
    pub fn into_json<R: DeserializeOwned>(self) -> Result<R, HttpError> {
        if !self.status.is_success() {
            let body = String::from_utf8_lossy(&self.body).into_owned();
            return Err(HttpError::Status { status: self.status.as_u16(), body });
        }
        serde_json::from_slice(&self.body).map_err(|_| HttpError::InvalidResponse)
    }
}

/// HTTP client with a connection pool. Clones share the pool.
#[derive(Debug, Clone)]
pub struct HttpClient {
    pool: Arc<pool::Pool>,
}

/// Maps the address of a server to the one to connect to.
pub type AddrMap = Arc<dyn Fn(SocketAddr) -> SocketAddr + Send + Sync>;

/// Creates a client with an empty pool.
pub fn open() -> HttpClient {
    open_via(Arc::new(|addr| addr))
}

/// Creates a client that connects to the mapped addresses.
pub fn open_via(map: AddrMap) -> HttpClient {
    HttpClient { pool: Arc::new(pool::open(map)) }
}

impl HttpClient {
    /// Sends a request and returns the response head with its body unread.
    ///
    /// An exchange that is dropped before its end closes its connection, so
    /// that a late response is never read by another request.
    pub async fn send<B: Into<RequestBody>>(
        &self,
        request: Request<B>,
    ) -> Result<Response<PooledBody>, HttpError> {
        self.send_if(request, || true).await?.ok_or(HttpError::NotReached)
    }

    /// Sends a request like [`Self::send`]. A streamed body is sent once the server has
    /// asked for it, so that a server can decline the request without it.
    pub async fn send_expecting_continue(
        &self,
        mut request: Request<RequestBody>,
    ) -> Result<Response<PooledBody>, HttpError> {
        if let RequestBody::Streamed(upload) = request.body() {
            upload.hold();
            let upload = upload.handle();
            on_informational(&mut request, move |it| {
                if it.status() == StatusCode::CONTINUE {
                    upload.release();
                }
            });
            let headers = request.headers_mut();
            headers.insert(header::EXPECT, HeaderValue::from_static("100-continue"));
            // The expectation concerns only this connection.
            headers.insert(header::CONNECTION, HeaderValue::from_static("expect"));
        }
        self.send(request).await
    }

    /// Sends a request like [`Self::send`], or returns none if `may_send` is false once
    /// a new connection is open, which may take up to a second.
    pub async fn send_if<B: Into<RequestBody>>(
        &self,
        request: Request<B>,
        may_send: impl Fn() -> bool,
    ) -> Result<Option<Response<PooledBody>>, HttpError> {
        self.pool.send(request.map(Into::into), may_send).await
    }

    /// Counters of the connection pool.
    pub fn counters(&self) -> &PoolCounters {
        self.pool.counters()
    }

    /// Posts JSON and returns the unread response body, or an error if the status
    /// is not a success.
    pub async fn post_streaming<T: Serialize>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<PooledBody, HttpError> {
        let request = json_request(addr, path, body)?;
        let response = self.send(request).await?;
        if response.status().is_success() {
            return Ok(response.into_body());
        }
        Err(status_error(response.status(), response.into_body()).await)
    }

    /// Posts JSON and decodes the JSON response, all within `timeout`.
    pub async fn post_json<T: Serialize, R: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &T,
        timeout: Duration,
    ) -> Result<R, HttpError> {
        let exchange = self.post_large_json(addr, path, body, ResponseTimeouts::of_call(timeout));
        time::timeout(timeout, exchange).await.unwrap_or(Err(HttpError::Interrupted))
    }

    /// Posts JSON and decodes the JSON response, which may be large.
    pub async fn post_large_json<T: Serialize, R: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &T,
        timeouts: ResponseTimeouts,
    ) -> Result<R, HttpError> {
        self.exchange_json(json_request(addr, path, body)?, timeouts).await
    }

    /// Gets a resource and decodes the JSON response, which may be large.
    pub async fn get_large_json<R: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        timeouts: ResponseTimeouts,
    ) -> Result<R, HttpError> {
        self.exchange_json(empty_request(Method::GET, addr, path)?, timeouts).await
    }

    /// Posts JSON and returns the response, which may be large, whatever its status.
    pub async fn post_large<T: Serialize>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &T,
        timeouts: ResponseTimeouts,
    ) -> Result<BufferedResponse, HttpError> {
        self.exchange(json_request(addr, path, body)?, timeouts).await
    }

    /// Gets a resource and returns the response, which may be large, whatever its
    /// status.
    pub async fn get_large(
        &self,
        addr: SocketAddr,
        path: &str,
        timeouts: ResponseTimeouts,
    ) -> Result<BufferedResponse, HttpError> {
        self.exchange(empty_request(Method::GET, addr, path)?, timeouts).await
    }

    async fn exchange_json<R: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
        timeouts: ResponseTimeouts,
    ) -> Result<R, HttpError> {
        self.exchange(request, timeouts).await?.into_json()
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        timeouts: ResponseTimeouts,
    ) -> Result<BufferedResponse, HttpError> {
        let sent = time::timeout(timeouts.head, self.send(request)).await;
        let response = sent.unwrap_or(Err(HttpError::Interrupted))?;
        let (head, body) = response.into_parts();
        let read = time::timeout(timeouts.body, read_with_pauses(body, timeouts.pause)).await;
        let read = read.unwrap_or(Err(HttpError::Interrupted));
        let body = match head.status.is_success() {
            true => read?,
            // The status is known although its body may have broken off.
            false => read.unwrap_or_default(),
        };
        Ok(BufferedResponse { status: head.status, headers: head.headers, body: body.freeze() })
    }

    /// Posts JSON and returns the response status, success or not, within
    /// `timeout`.
    pub async fn post_status<T: Serialize>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &T,
        timeout: Duration,
    ) -> Result<u16, HttpError> {
        let request = json_request(addr, path, body)?;
        let exchange = async {
            let response = self.send(request).await?;
            let status = response.status().as_u16();
            read_bytes(response.into_body()).await?;
            Ok(status)
        };
        time::timeout(timeout, exchange).await.unwrap_or(Err(HttpError::Interrupted))
    }

    /// Deletes a resource within `timeout`.
    pub async fn delete(
        &self,
        addr: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<(), HttpError> {
        let request = empty_request(Method::DELETE, addr, path)?;
        let exchange = async {
            let response = self.send(request).await?;
            if !response.status().is_success() {
                return Err(status_error(response.status(), response.into_body()).await);
            }
            read_bytes(response.into_body()).await.map(drop)
        };
        time::timeout(timeout, exchange).await.unwrap_or(Err(HttpError::Interrupted))
    }

    /// Gets a resource and decodes the JSON response within `timeout`.
    pub async fn get_json<R: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<R, HttpError> {
        let exchange = self.get_large_json(addr, path, ResponseTimeouts::of_call(timeout));
        time::timeout(timeout, exchange).await.unwrap_or(Err(HttpError::Interrupted))
    }
}

fn request_builder(method: Method, addr: SocketAddr, path: &str) -> http::request::Builder {
    Request::builder().method(method).uri(format!("http://{addr}{path}"))
}

fn empty_request(
    method: Method,
    addr: SocketAddr,
    path: &str,
) -> Result<Request<Full<Bytes>>, HttpError> {
    request_builder(method, addr, path).body(Full::default()).map_err(|_| HttpError::NotReached)
}

fn json_request<T: Serialize>(
    addr: SocketAddr,
    path: &str,
    body: &T,
) -> Result<Request<Full<Bytes>>, HttpError> {
    let body = serde_json::to_vec(body).map_err(|_| HttpError::NotReached)?;
    request_builder(Method::POST, addr, path)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::from(body))
        .map_err(|_| HttpError::NotReached)
}

/// Reads a complete body. One larger than 8 MiB fails as interrupted.
pub async fn read_bytes(body: PooledBody) -> Result<Bytes, HttpError> {
    let collected = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    collected.map(http_body_util::Collected::to_bytes).map_err(|_| HttpError::Interrupted)
}

/// Reads a complete body of at most 8 MiB. A pause longer than `max_pause`
/// interrupts it.
async fn read_with_pauses(
    mut body: PooledBody,
    max_pause: Duration,
) -> Result<BytesMut, HttpError> {
    let mut buf = BytesMut::new();
    while let Some(frame) =
        time::timeout(max_pause, body.frame()).await.map_err(|_| HttpError::Interrupted)?
    {
        let frame = frame.map_err(|_| HttpError::Interrupted)?;
        if let Ok(data) = frame.into_data() {
            buf.extend_from_slice(&data);
        }
        if MAX_RESPONSE_BYTES < buf.len() {
            return Err(HttpError::Interrupted);
        }
    }
    Ok(buf)
}

async fn status_error(status: StatusCode, body: PooledBody) -> HttpError {
    let body = read_bytes(body).await.unwrap_or_default();
    HttpError::Status { status: status.as_u16(), body: String::from_utf8_lossy(&body).into_owned() }
}

#[cfg(test)]
mod tests;
