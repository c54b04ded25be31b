//! Error responses to connections and requests that no handler serves.

use std::time::Duration;

use citrongw_protocol::{
    caller::{ErrorBody, REQUEST_ID_HEADER},
    code::ResultCode,
};
use citrongw_state::id::RequestId;
use http::{Response, StatusCode, header};
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use viz::{Body, ResponseExt};

/// Retry delay sent to a client in `retry-after`, in seconds.
const RETRY_AFTER_S: u64 = 1;
/// Retry delay while the memory of the process is spent, in seconds: connections that
/// wait for their peers are closed within a second. It is spread so that callers do not
/// return together.
const OVER_BUDGET_RETRY_AFTER_S: std::ops::Range<f64> = 0.5..1.5;
/// Maximum time for sending the response to a connection above the limit and
/// discarding its input.
const REFUSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Size of the buffer into which input from such a connection is read and
/// discarded, so that a reset doesn't lose the response.
const REFUSE_READ_BYTES: usize = 16 * 1024;

/// Generates a random request id.
pub(super) fn new_request_id() -> RequestId {
    RequestId(rand::random())
}

/// Complete HTTP/1.1 response for a code, after which the connection closes.
pub(super) fn response_bytes(code: ResultCode) -> Vec<u8> {
    let request = new_request_id();
    let mut body = ErrorBody::new(code, request);
    let status = StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::BAD_REQUEST);
    let mut head = format!(
        "HTTP/1.1 {status}\r\nconnection: close\r\ncontent-type: application/json\r\n\
         {REQUEST_ID_HEADER}: {request}\r\n"
    );
    if status == StatusCode::SERVICE_UNAVAILABLE {
        body.error.retry_after_s = Some(RETRY_AFTER_S);
        head.push_str(&format!("retry-after: {RETRY_AFTER_S}\r\n"));
    }
    let body = serde_json::to_string(&body).unwrap_or_default();
    head.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    head.into_bytes()
}

/// Response for a code to a request that no route serves.
pub(super) fn response(code: ResultCode) -> Response<Body> {
    let request = new_request_id();
    let body = serde_json::to_vec(&ErrorBody::new(code, request)).unwrap_or_default();
    let mut response = Response::with(Body::Full(Full::from(body)), "application/json");
    *response.status_mut() =
        StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::BAD_REQUEST);
    if let Ok(value) = request.to_string().parse() {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

/// Response to a request that the memory of the process has no room for.
pub(super) fn over_budget() -> Response<Body> {
    let mut response = response(ResultCode::Overloaded);
    let retry_after_s = rand::random_range(OVER_BUDGET_RETRY_AFTER_S);
    if let Ok(value) = format!("{retry_after_s:.2}").parse() {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Sends 503 to a connection above the limit and closes it.
pub(super) async fn refuse_connection(mut stream: TcpStream) {
    let exchange = async {
        stream.write_all(&response_bytes(ResultCode::Overloaded)).await?;
        stream.shutdown().await?;
        let mut buf = vec![0; REFUSE_READ_BYTES];
        while stream.read(&mut buf).await? != 0 {}
        Ok::<_, std::io::Error>(())
    };
    // The connection is closed even if this fails or times out.
    let _ = tokio::time::timeout(REFUSE_TIMEOUT, exchange).await;
}
