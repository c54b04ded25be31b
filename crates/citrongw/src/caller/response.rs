//! Responses in the format of the OpenAI API.

use citrongw_protocol::caller::REQUEST_ID_HEADER;
use citrongw_state::id::{ModelId, RequestId};
use http_body_util::Full;
use serde::Serialize;
use serde_json::{Value, json};
use viz::{Body, Response, ResponseExt};

use super::{
    active_request::{ActiveRequest, ResponsePart},
    refusal::Failure,
};

/// Endpoint, which determines the JSON format of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Endpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// Builds a JSON response.
pub(super) fn json<T: Serialize>(body: &T) -> Response {
    let text = serde_json::to_vec(body).unwrap_or_default();
    Response::with(Body::Full(Full::from(text)), "application/json")
}

/// Reads the whole response before any of it is sent.
pub(super) async fn buffered(
    active: &mut ActiveRequest,
    endpoint: Endpoint,
) -> Result<Response, Failure> {
    let mut text = String::new();
    loop {
        match active.next().await? {
            ResponsePart::Token(token) => text.push_str(&token),
            ResponsePart::Restart => text.clear(),
            ResponsePart::End { tokens, reason } => {
                let work = active.work();
                let model = &work.profile().model;
                let body = completion_json(endpoint, model, work.request, &text, tokens, &reason);
                return Ok(with_request_id(json(&body), work.request));
            }
        }
    }
}

fn completion_json(
    endpoint: Endpoint,
    model: &ModelId,
    request: RequestId,
    text: &str,
    tokens: u64,
    reason: &str,
) -> Value {
    let choice = match endpoint {
        Endpoint::Chat => json!({
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": reason,
        }),
        Endpoint::Text => json!({ "index": 0, "text": text, "finish_reason": reason }),
    };
    let object = match endpoint {
        Endpoint::Chat => "chat.completion",
        Endpoint::Text => "text_completion",
    };
    json!({
        "id": request,
        "object": object,
        "model": model,
        "choices": [choice],
        "usage": { "completion_tokens": tokens },
    })
}

/// Adds the request id header to a response.
pub(super) fn with_request_id(mut response: Response, request: RequestId) -> Response {
    if let Ok(value) = request.to_string().parse() {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}
