//! Errors as HTTP answers.

use std::time::Duration;

use citrongw_protocol::{
    caller::{ErrorBody, REQUEST_ID_HEADER},
    code::ResultCode,
};
use citrongw_state::id::RequestId;
use http_body_util::Full;
use viz::{Body, Response, ResponseExt, StatusCode, header};

/// Pause that a caller is asked to make before it tries again, if no other is
/// known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a request gets no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Failure {
    /// Code.
    pub(super) code: ResultCode,
    /// When to try again, if that is known.
    pub(super) retry_after: Option<Duration>,
}

impl From<ResultCode> for Failure {
    fn from(code: ResultCode) -> Self {
        Self { code, retry_after: None }
    }
}

impl Failure {
    /// Adds when to try again.
    pub(super) fn with_retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }
}

/// Error body with the time to try again, where that helps.
pub(super) fn body(failure: impl Into<Failure>, request: RequestId) -> ErrorBody {
    let failure = failure.into();
    let mut body = ErrorBody::new(failure.code, request);
    let helps = matches!(failure.code.http_status(), 429 | 503);
    if helps || failure.code == ResultCode::StillRunning {
        let retry_after = failure.retry_after.unwrap_or(RETRY_AFTER);
        // A part of a second counts as a whole one.
        body.error.retry_after_s = Some(retry_after.as_millis().div_ceil(1000).max(1) as u64);
    }
    body
}

/// HTTP answer of a failure.
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
