//! Answers of backend servers as callers get them.

use bytes::Bytes;
use citrongw_protocol::caller::REQUEST_ID_HEADER;
use citrongw_state::id::RequestId;
use http_body_util::Full;
use viz::{Body, Response, StatusCode, header};

/// Whole answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct BackendAnswer {
    /// HTTP status.
    pub(super) status: u16,
    /// Content type, if it gave one.
    pub(super) content_type: Option<String>,
    /// Body.
    pub(super) body: Bytes,
}

/// HTTP answer to the caller.
pub(super) fn response(answer: &BackendAnswer, request: RequestId) -> Response {
    let mut response = Response::new(Body::Full(Full::from(answer.body.clone())));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    if let Some(Ok(value)) = answer.content_type.as_ref().map(|it| it.parse()) {
        headers.insert(header::CONTENT_TYPE, value);
    }
    if let Ok(value) = request.to_string().parse() {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    response
}
