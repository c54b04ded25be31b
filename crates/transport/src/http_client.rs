//! Client of backend servers and the platform, over a pool of connections.
//!
//! An error tells whether any byte of the request can have left: only a failed
//! connect, or a request that the connection gave back unwritten, cannot have
//! reached anybody.

mod body;
mod connection;
mod pool;
mod request_body;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use serde::{Serialize, de::DeserializeOwned};

pub use self::body::PooledBody;
pub use self::pool::PoolCounters;
pub use self::request_body::{Progress, RequestBody, StreamedBody};

/// Largest body of an answer that is read whole.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Failure of an exchange.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum HttpError {
    /// No byte of the request was sent.
    #[display("could not connect")]
    NotReached,
    /// Nobody listens at the address, so no byte of the request was sent.
    #[display("connection was refused")]
    ConnectionRefused,
    /// The exchange broke or took too long after the request may have left.
    #[display("exchange broke off")]
    BrokenOff,
    /// The answer was not what was asked for.
    #[display("answer could not be read")]
    BadAnswer,
    /// The server answered with an error status.
    #[display("server answered {status}")]
    Status {
        /// The status.
        status: u16,
        /// Body of the answer.
        body: String,
    },
}

/// Client with its pool of connections. Clones share the pool.
#[derive(Debug, Clone)]
pub struct HttpClient {
    pool: Arc<pool::Pool>,
}

/// Opens a client.
pub fn open() -> HttpClient {
    HttpClient { pool: Arc::new(pool::open()) }
}

impl HttpClient {
    /// Sends a request and returns the answer's head with its body unread.
    ///
    /// An exchange that is dropped before its end closes its connection, so
    /// that a late answer reaches nobody.
    pub async fn send<B: Into<RequestBody>>(
        &self,
        request: Request<B>,
    ) -> Result<Response<PooledBody>, HttpError> {
        self.pool.send(request.map(Into::into)).await
    }

    /// Counters of the pool.
    pub fn counters(&self) -> &PoolCounters {
        self.pool.counters()
    }

    /// Posts JSON and returns the open answer, or the error that it carries.
    pub async fn post_open<T: Serialize>(
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

    /// Posts JSON and reads a JSON answer, all within `timeout`.
    pub async fn post_json<T: Serialize, R: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &T,
        timeout: Duration,
    ) -> Result<R, HttpError> {
        let exchange = async {
            let body = self.post_open(addr, path, body).await?;
            read_json(body).await
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(HttpError::BrokenOff))
    }

    /// Posts JSON and returns the status of the answer, whatever it is, within
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
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(HttpError::BrokenOff))
    }

    /// Deletes a resource within `timeout`.
    pub async fn delete(
        &self,
        addr: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<(), HttpError> {
        let request = request_builder(Method::DELETE, addr, path)
            .body(Full::<Bytes>::default())
            .map_err(|_| HttpError::NotReached)?;
        let exchange = async {
            let response = self.send(request).await?;
            if !response.status().is_success() {
                return Err(status_error(response.status(), response.into_body()).await);
            }
            read_bytes(response.into_body()).await.map(drop)
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(HttpError::BrokenOff))
    }

    /// Gets a JSON answer within `timeout`.
    pub async fn get_json<R: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<R, HttpError> {
        let request = request_builder(Method::GET, addr, path)
            .body(Full::<Bytes>::default())
            .map_err(|_| HttpError::NotReached)?;
        let exchange = async {
            let response = self.send(request).await?;
            if !response.status().is_success() {
                return Err(status_error(response.status(), response.into_body()).await);
            }
            read_json(response.into_body()).await
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(HttpError::BrokenOff))
    }
}

fn request_builder(method: Method, addr: SocketAddr, path: &str) -> http::request::Builder {
    Request::builder().method(method).uri(format!("http://{addr}{path}"))
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

async fn read_json<R: DeserializeOwned>(body: PooledBody) -> Result<R, HttpError> {
    let bytes = read_bytes(body).await?;
    serde_json::from_slice(&bytes).map_err(|_| HttpError::BadAnswer)
}

/// Reads a whole body within the size bound.
pub async fn read_bytes(body: PooledBody) -> Result<Bytes, HttpError> {
    let collected = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    collected.map(http_body_util::Collected::to_bytes).map_err(|_| HttpError::BrokenOff)
}

async fn status_error(status: StatusCode, body: PooledBody) -> HttpError {
    let body = read_bytes(body).await.unwrap_or_default();
    HttpError::Status { status: status.as_u16(), body: String::from_utf8_lossy(&body).into_owned() }
}

#[cfg(test)]
mod tests;
