//! Answers of the HTTP interfaces.

use http_body_util::Full;
use serde::Serialize;
use viz::{Body, Response, ResponseExt, StatusCode};

/// JSON answer with a status.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Response {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::with(Body::Full(Full::from(text)), "application/json");
    *response.status_mut() = status;
    response
}

/// Text answer of a content type.
pub fn text(body: String, content_type: &str) -> Response {
    Response::with(Body::Full(Full::from(body)), content_type)
}
