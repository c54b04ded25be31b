//! Errors as HTTP answers.

use citrongw_protocol::{
    caller::{ErrorBody, REQUEST_ID_HEADER},
    code::ResultCode,
};
use citrongw_state::id::RequestId;
use http_body_util::Full;
use viz::{Body, Response, ResponseExt, StatusCode, header};

/// Pause that a caller is asked to make before it tries again, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// Error body with the time to try again, where that helps.
pub(super) fn body(code: ResultCode, request: RequestId) -> ErrorBody {
    let mut body = ErrorBody::new(code, request);
    if matches!(code.http_status(), 429 | 503) {
        body.error.retry_after_s = Some(RETRY_AFTER_S);
    }
    body
}

/// HTTP answer of a code.
pub(super) fn response(code: ResultCode, request: RequestId) -> Response {
    let body = body(code, request);
    let text = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::with(Body::Full(Full::from(text)), "application/json");
    *response.status_mut() =
        StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    if let Some(retry_after_s) = body.error.retry_after_s {
        headers.insert(header::RETRY_AFTER, retry_after_s.into());
    }
    if let Ok(value) = request.to_string().parse() {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    response
}
