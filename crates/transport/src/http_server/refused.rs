//! Answers to what never becomes a request.

use std::time::Duration;

use citrongw_protocol::{
    caller::{ErrorBody, REQUEST_ID_HEADER},
    code::ResultCode,
};
use citrongw_state::id::RequestId;
use http::{Response, StatusCode};
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use viz::{Body, ResponseExt};

/// Pause that a caller is asked to make before it tries again, in seconds.
const RETRY_AFTER_S: u64 = 1;
/// Longest time for telling a connection that it is one too many.
const REFUSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes that such a connection may have sent before it reads the answer.
const REFUSE_READ_BYTES: usize = 16 * 1024;

/// Draws the id of a request.
pub(super) fn new_request_id() -> RequestId {
    RequestId(rand::random())
}

/// Whole answer of a code, after which the connection closes.
pub(super) fn answer(code: ResultCode) -> Vec<u8> {
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

/// Answer of a code to a request that nothing serves.
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

/// Answers a connection above the bound and closes it.
pub(super) async fn refuse_connection(mut stream: TcpStream) {
    let exchange = async {
        stream.write_all(&answer(ResultCode::Overloaded)).await?;
        stream.shutdown().await?;
        let mut buf = vec![0; REFUSE_READ_BYTES];
        while stream.read(&mut buf).await? != 0 {}
        Ok::<_, std::io::Error>(())
    };
    // The peer is dropped either way.
    let _ = tokio::time::timeout(REFUSE_TIMEOUT, exchange).await;
}
