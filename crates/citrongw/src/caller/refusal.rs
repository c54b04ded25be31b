//! Errors as HTTP responses.

use std::time::Duration;

use citrongw_protocol::{
    caller::{ErrorBody, REQUEST_ID_HEADER},
    code::ResultCode,
};
use citrongw_state::id::RequestId;
use http_body_util::Full;
use viz::{Body, Response, ResponseExt, StatusCode, header};

/// Default of the `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Failure {
    /// Result code sent to the caller.
    pub(super) code: ResultCode,
    /// Time after which to retry, if it is known.
    pub(super) retry_after: Option<Duration>,
}

impl From<ResultCode> for Failure {
    fn from(code: ResultCode) -> Self {
        Self { code, retry_after: None }
    }
}

impl Failure {
    /// Sets the time after which to retry.
    pub(super) fn with_retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }
}

/// Builds the error body. It has a retry time if a retry may succeed.
pub(super) fn body(failure: impl Into<Failure>, request: RequestId) -> ErrorBody {
    let failure = failure.into();
    let mut body = ErrorBody::new(failure.code, request);
    let is_retryable = matches!(failure.code.http_status(), 429 | 503);
    if is_retryable || failure.code == ResultCode::StillRunning {
        let retry_after = failure.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        // Round up to whole seconds.
        body.error.retry_after_s = Some(retry_after.as_millis().div_ceil(1000).max(1) as u64);
    }
    body
}

/// Builds the HTTP response of a failure.
pub(super) fn response(failure: impl Into<Failure>, request: RequestId) -> Response {
    let failure = failure.into();
    let body = body(failure, request);
    let text = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::with(Body::Full(Full::from(text)), "application/json");
    *response.status_mut() = StatusCode::from_u16(failure.code.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    if let Some(retry_after_s) = body.error.retry_after_s {
        headers.insert(header::RETRY_AFTER, retry_after_s.into());
    }
    if let Ok(value) = request.to_string().parse() {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    response
}
