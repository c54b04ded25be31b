//! Handlers of the completion paths.

use std::sync::Arc;

use citrongw_protocol::{
    caller::{ChatRequest, CompletionRequest},
    code::ResultCode,
};
use citrongw_state::id::RequestId;
use http_body_util::{BodyExt, Limited};
use serde::de::DeserializeOwned;
use serde_json::json;
use viz::{Request, RequestExt, Response};

use super::{
    answer::{self, Shape},
    attempt::{self, Work},
    auth::{self, Caller},
    new_request_id, refusal,
};
use crate::node::Shared;

/// Largest body of a request.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Tokens generated when the caller sets no number.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// What both paths ask for.
struct Asked {
    shape: Shape,
    model: String,
    prompt: String,
    max_tokens: Option<u32>,
    stream: bool,
}

/// `POST /v1/chat/completions`.
pub(super) async fn chat(shared: Arc<Shared>, req: Request) -> viz::Result<Response> {
    serve(shared, req, |body: ChatRequest| {
        let lines: Vec<String> =
            body.messages.iter().map(|it| format!("{}: {}", it.role, it.content)).collect();
        Asked {
            shape: Shape::Chat,
            model: body.model,
            prompt: lines.join("\n"),
            max_tokens: body.max_tokens,
            stream: body.stream,
        }
    })
    .await
}

/// `POST /v1/completions`.
pub(super) async fn text(shared: Arc<Shared>, req: Request) -> viz::Result<Response> {
    serve(shared, req, |body: CompletionRequest| Asked {
        shape: Shape::Text,
        model: body.model,
        prompt: body.prompt,
        max_tokens: body.max_tokens,
        stream: body.stream,
    })
    .await
}

/// `GET /v1/models`.
pub(super) async fn models(shared: Arc<Shared>, req: Request) -> viz::Result<Response> {
    let request = new_request_id();
    match auth::find(&shared, &req) {
        Ok(caller) => {
            let model = json!({ "id": caller.profile.model, "object": "model" });
            Ok(answer::json(&json!({ "object": "list", "data": [model] })))
        }
        Err(code) => Ok(refusal::response(code, request)),
    }
}

async fn serve<T: DeserializeOwned>(
    shared: Arc<Shared>,
    req: Request,
    read: impl FnOnce(T) -> Asked,
) -> viz::Result<Response> {
    let request = new_request_id();
    let res = match auth::find(&shared, &req) {
        Ok(caller) => match read_body(req).await {
            Ok(body) => run(shared, request, caller, read(body)).await,
            Err(code) => Err(code),
        },
        Err(code) => Err(code),
    };
    Ok(res.unwrap_or_else(|code| refusal::response(code, request)))
}

async fn read_body<T: DeserializeOwned>(req: Request) -> Result<T, ResultCode> {
    if req.content_length().is_some_and(|length| (MAX_BODY_BYTES as u64) < length) {
        return Err(ResultCode::TooLarge);
    }
    let body = Limited::new(req.into_body(), MAX_BODY_BYTES);
    let collected = body.collect().await.map_err(|error| {
        if error.is::<http_body_util::LengthLimitError>() {
            ResultCode::TooLarge
        } else {
            ResultCode::Malformed
        }
    })?;
    serde_json::from_slice(&collected.to_bytes()).map_err(|_| ResultCode::Malformed)
}

async fn run(
    shared: Arc<Shared>,
    request: RequestId,
    caller: Caller,
    asked: Asked,
) -> Result<Response, ResultCode> {
    if asked.model != caller.profile.model.as_str() {
        return Err(ResultCode::UnknownModel);
    }
    let model = caller.profile.model.clone();
    let work = Work {
        request,
        profile: caller.profile,
        prompt: asked.prompt,
        max_tokens: asked.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        arrived_at: shared.clock.now(),
    };
    let running = attempt::start(shared, work).await?;
    if asked.stream {
        return Ok(answer::events(running, asked.shape, model, request));
    }
    answer::whole(running, asked.shape, &model, request).await
}
