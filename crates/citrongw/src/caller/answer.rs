//! Answers in the shape of the OpenAI interface.

use citrongw_protocol::caller::REQUEST_ID_HEADER;
use citrongw_state::id::{ModelId, RequestId};
use http_body_util::Full;
use serde::Serialize;
use serde_json::{Value, json};
use viz::{Body, Response, ResponseExt};

use super::{
    refusal::Failure,
    running::{Piece, Running},
};

/// Shape of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Shape {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// JSON answer.
pub(super) fn json<T: Serialize>(body: &T) -> Response {
    let text = serde_json::to_vec(body).unwrap_or_default();
    Response::with(Body::Full(Full::from(text)), "application/json")
}

/// Reads the whole answer before any of it is sent.
pub(super) async fn whole(running: &mut Running, shape: Shape) -> Result<Response, Failure> {
    let mut text = String::new();
    loop {
        match running.next().await? {
            Piece::Token(token) => text.push_str(&token),
            Piece::Restart => text.clear(),
            Piece::End { tokens, reason } => {
                let work = running.work();
                let model = &work.profile().model;
                let body = whole_json(shape, model, work.request, &text, tokens, &reason);
                return Ok(with_request_id(json(&body), work.request));
            }
        }
    }
}

fn whole_json(
    shape: Shape,
    model: &ModelId,
    request: RequestId,
    text: &str,
    tokens: u64,
    reason: &str,
) -> Value {
    let choice = match shape {
        Shape::Chat => json!({
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": reason,
        }),
        Shape::Text => json!({ "index": 0, "text": text, "finish_reason": reason }),
    };
    let object = match shape {
        Shape::Chat => "chat.completion",
        Shape::Text => "text_completion",
    };
    json!({
        "id": request,
        "object": object,
        "model": model,
        "choices": [choice],
        "usage": { "completion_tokens": tokens },
    })
}

/// Puts the request id into an answer.
pub(super) fn with_request_id(mut response: Response, request: RequestId) -> Response {
    if let Ok(value) = request.to_string().parse() {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}
