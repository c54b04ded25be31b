//! HTTP responses shared by the fakes.

use http_body_util::Full;
use serde::Serialize;
use viz::{Body, Response, ResponseExt, StatusCode};

/// Creates a JSON response.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Response {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::with(Body::Full(Full::from(body)), "application/json");
    *response.status_mut() = status;
    response
}
