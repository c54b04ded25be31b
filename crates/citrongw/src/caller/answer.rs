//! Answers in the shape of the OpenAI interface.

use bytes::Bytes;
use citrongw_protocol::{caller::REQUEST_ID_HEADER, code::ResultCode, engine::Chunk};
use citrongw_state::id::{ModelId, RequestId};
use citrongw_transport::event_stream;
use futures::stream;
use http_body_util::Full;
use serde::Serialize;
use serde_json::{Value, json};
use viz::{Body, Response, ResponseExt};

use super::{attempt::Running, refusal};

/// Last event of a whole stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

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
pub(super) async fn whole(
    mut running: Running,
    shape: Shape,
    model: &ModelId,
    request: RequestId,
) -> Result<Response, ResultCode> {
    let mut text = String::new();
    loop {
        match running.next().await? {
            Chunk::Token { text: token, .. } => text.push_str(&token),
            Chunk::End { tokens, reason, .. } => {
                let body = whole_json(shape, model, request, &text, tokens, &reason);
                return Ok(with_request_id(json(&body), request));
            }
        }
    }
}

/// Sends the answer as events while it is generated. An error is the last
/// event, without the one that marks a whole answer.
pub(super) fn events(
    running: Running,
    shape: Shape,
    model: ModelId,
    request: RequestId,
) -> Response {
    let events = stream::unfold(Some(running), move |running| {
        let model = model.clone();
        async move {
            let mut running = running?;
            let res = running.next().await;
            let (event, rest) = match res {
                Ok(Chunk::Token { text, .. }) => {
                    (event(&piece_json(shape, &model, request, Some(&text), None)), Some(running))
                }
                Ok(Chunk::End { reason, .. }) => {
                    let last = event(&piece_json(shape, &model, request, None, Some(&reason)));
                    (Bytes::from([&last[..], DONE_EVENT].concat()), None)
                }
                Err(code) => (event(&refusal::body(code, request)), None),
            };
            Some((Ok::<_, std::io::Error>(event), rest))
        }
    });
    with_request_id(Response::with(Body::from_stream(events), "text/event-stream"), request)
}

fn event<T: Serialize>(data: &T) -> Bytes {
    event_stream::event(data).unwrap_or_default()
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

fn piece_json(
    shape: Shape,
    model: &ModelId,
    request: RequestId,
    text: Option<&str>,
    reason: Option<&str>,
) -> Value {
    let (object, choice) = match shape {
        Shape::Chat => {
            let delta = text.map_or_else(|| json!({}), |text| json!({ "content": text }));
            let choice = json!({ "index": 0, "delta": delta, "finish_reason": reason });
            ("chat.completion.chunk", choice)
        }
        Shape::Text => {
            let text = text.unwrap_or_default();
            ("text_completion", json!({ "index": 0, "text": text, "finish_reason": reason }))
        }
    };
    json!({ "id": request, "object": object, "model": model, "choices": [choice] })
}

fn with_request_id(mut response: Response, request: RequestId) -> Response {
    if let Ok(value) = request.to_string().parse() {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}
