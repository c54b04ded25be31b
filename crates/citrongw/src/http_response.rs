//! Builders of HTTP responses.

use http_body_util::Full;
use serde::Serialize;
use viz::{Body, Response, ResponseExt, StatusCode};

/// Builds a JSON response with a status.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Response {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::with(Body::Full(Full::from(text)), "application/json");
    *response.status_mut() = status;
    response
}

/// Builds a text response with a content type.
pub fn text(body: String, content_type: &str) -> Response {
    Response::with(Body::Full(Full::from(body)), content_type)
}
