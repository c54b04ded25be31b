//! Answers of the gateway's own.

use std::time::Duration;

use citrongw_protocol::{caller::ErrorBody, code::ResultCode};
use citrongw_state::id::RequestId;
use http::{HeaderValue, StatusCode, header};
use http_body_util::Full;
use viz::{Body, Response, ResponseExt};

/// Why a request is refused or has failed, and when it may come again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Refusal {
    /// Code.
    pub(super) code: ResultCode,
    /// When to come again, if that helps.
    pub(super) retry_after: Option<Duration>,
}

impl From<ResultCode> for Refusal {
    fn from(code: ResultCode) -> Self {
        Self { code, retry_after: None }
    }
}

impl Refusal {
    /// Adds when to come again.
    pub(super) fn after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    /// The refusal as an HTTP answer.
    pub(super) fn into_response(self, request: RequestId) -> Response {
        let text = serde_json::to_vec(&ErrorBody::new(self.code, request)).unwrap_or_default();
        let mut response = Response::with(Body::Full(Full::from(text)), "application/json");
        *response.status_mut() = StatusCode::from_u16(self.code.http_status())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        if let Some(retry_after) = self.retry_after {
            let text = format!("{:.2}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
