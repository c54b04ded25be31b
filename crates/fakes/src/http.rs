//! Answers shared by the stand-ins.

use http_body_util::Full;
use serde::Serialize;
use viz::{Body, Response, ResponseExt, StatusCode};

/// JSON answer.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Response {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::with(Body::Full(Full::from(body)), "application/json");
    *response.status_mut() = status;
    response
}
