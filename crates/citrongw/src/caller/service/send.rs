//! One HTTP exchange with a backend server of a plain service.

use std::net::SocketAddr;

use citrongw_protocol::caller::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER};
use citrongw_state::{claim::ClaimKey, config::CallClass};
use citrongw_transport::http_client::{self, HttpClient, HttpError};
use http::{Request, header};
use http_body_util::Full;
use tokio::time::Instant;

use super::{backend_response::BackendResponse, call::Call};

/// Failure of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SendError {
    /// No byte of the call was sent.
    NotReached,
    /// The call may have run.
    BrokenOff,
}

/// Sends a call to `addr` and reads the whole response by `deadline`. Of the
/// caller's headers, only those that can't change the meaning of the call are
/// forwarded. `key` is the idempotency key for the backend server.
pub(super) async fn send(
    http: &HttpClient,
    addr: SocketAddr,
    call: &Call,
    key: Option<ClaimKey>,
    deadline: Instant,
) -> Result<BackendResponse, SendError> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{addr}{}", call.path))
        .header(REQUEST_ID_HEADER, call.request.to_string());
    if let Some(content_type) = &call.content_type {
        builder = builder.header(header::CONTENT_TYPE, content_type);
    }
    if let Some(key) = key {
        builder = builder.header(IDEMPOTENCY_KEY_HEADER, key.to_string());
    }
    if call.rule.class == CallClass::AtMostOnce {
        builder = builder.header(header::CONNECTION, "close");
    }
    let request = builder.body(Full::from(call.body.clone())).map_err(|_| SendError::NotReached)?;
    let exchange = tokio::time::timeout_at(deadline, exchange(http, request));
    exchange.await.unwrap_or(Err(SendError::BrokenOff))
}

async fn exchange(
    http: &HttpClient,
    request: Request<Full<bytes::Bytes>>,
) -> Result<BackendResponse, SendError> {
    let response = http.send(request).await.map_err(|error| match error {
        HttpError::NotReached | HttpError::ConnectionRefused => SendError::NotReached,
        HttpError::Interrupted | HttpError::InvalidResponse | HttpError::Status { .. } => {
            SendError::BrokenOff
        }
    })?;
    let status = response.status().as_u16();
    let content_type = response.headers().get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|it| it.to_str().ok()).map(str::to_owned);
    let body = http_client::read_bytes(response.into_body()).await;
    let body = body.map_err(|_| SendError::BrokenOff)?;
    Ok(BackendResponse { status, content_type, body })
}
