//! Responses of backend servers, as forwarded to callers.

use bytes::Bytes;
use citrongw_protocol::caller::REQUEST_ID_HEADER;
use citrongw_state::id::RequestId;
use http_body_util::Full;
use viz::{Body, Response, StatusCode, header};

/// Complete response of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct BackendResponse {
    /// HTTP status code.
    pub(super) status: u16,
    /// Content type, if the server sent one.
    pub(super) content_type: Option<String>,
    /// Body bytes.
    pub(super) body: Bytes,
}

/// Builds the HTTP response to the caller.
pub(super) fn response(backend: &BackendResponse, request: RequestId) -> Response {
    let mut response = Response::new(Body::Full(Full::from(backend.body.clone())));
    *response.status_mut() =
        StatusCode::from_u16(backend.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    if let Some(Ok(value)) = backend.content_type.as_ref().map(|it| it.parse()) {
        headers.insert(header::CONTENT_TYPE, value);
    }
    if let Ok(value) = request.to_string().parse() {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    response
}
