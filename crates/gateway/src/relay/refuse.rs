//! Error responses that the gateway itself generates.

use std::time::Duration;

use citrongw_protocol::{caller::ErrorBody, code::ResultCode};
use citrongw_state::id::RequestId;
use http::{HeaderValue, StatusCode, header};
use http_body_util::Full;
use viz::{Body, Response, ResponseExt};

/// Why a request is refused or has failed, and when the caller may retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Refusal {
    /// Result code, which determines the status and the body.
    pub(super) code: ResultCode,
    /// Delay after which the caller may retry, if a retry can help.
    pub(super) retry_after: Option<Duration>,
}

impl From<ResultCode> for Refusal {
    fn from(code: ResultCode) -> Self {
        Self { code, retry_after: None }
    }
}

impl Refusal {
    /// Sets the delay after which the caller may retry.
    pub(super) fn after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    /// Converts the refusal to an HTTP response.
    pub(super) fn into_response(self, request: RequestId) -> Response {
        let text = serde_json::to_vec(&ErrorBody::new(self.code, request)).unwrap_or_default();
        let mut response = Response::with(Body::Full(Full::from(text)), "application/json");
        *response.status_mut() = StatusCode::from_u16(self.code.http_status())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        response.extensions_mut().insert(self.code);
        if let Some(retry_after) = self.retry_after {
            let text = format!("{:.2}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
