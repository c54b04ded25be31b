//! Handlers of the completion endpoints.

use std::sync::Arc;

use citrongw_protocol::{
    caller::{ChatRequest, CompletionRequest},
    code::ResultCode,
};
use citrongw_state::routing::PrefixHash;
use serde::de::DeserializeOwned;
use serde_json::json;
use viz::{Request, Response};

use super::{
    active_request,
    auth::{self, Caller},
    body::{self, BodyShare},
    events, new_request_id,
    refusal::{self, Failure},
    request_log::{self, Entry},
    response::{self, Endpoint},
    route::{self, RouteCriteria},
    work::Work,
};
use crate::node::Shared;

/// Limit of generated tokens when the caller sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Parameters common to both endpoints.
struct CompletionParams {
    endpoint: Endpoint,
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
        CompletionParams {
            endpoint: Endpoint::Chat,
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
    serve(shared, req, |body: CompletionRequest| CompletionParams {
        endpoint: Endpoint::Text,
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
            Ok(response::json(&json!({ "object": "list", "data": [model] })))
        }
        Err(code) => Ok(refusal::response(code, request)),
    }
}

async fn serve<T: DeserializeOwned>(
    shared: Arc<Shared>,
    req: Request,
    to_params: impl FnOnce(T) -> CompletionParams,
) -> viz::Result<Response> {
    let request = new_request_id();
    let mut entry = request_log::open(&shared, request);
    let prepared = match prepare(&shared, req, &mut entry, to_params).await {
        Ok(prepared) => prepared,
        Err(failure) => {
            entry.end(Some(failure.code));
            return Ok(refusal::response(failure, request));
        }
    };
    Ok(respond(shared, prepared, entry).await)
}

/// Request that passed all checks.
struct Prepared {
    work: Work,
    endpoint: Endpoint,
    stream: bool,
}

async fn prepare<T: DeserializeOwned>(
    shared: &Shared,
    req: Request,
    entry: &mut Entry,
    to_params: impl FnOnce(T) -> CompletionParams,
) -> Result<Prepared, Failure> {
    let caller = auth::find(shared, &req)?;
    entry.set_organisation(&caller.organisation);
    let timeout = shared.settings.body_timeout.min(caller.profile.deadline());
    let (body, share) = body::read_json(req, &shared.callers.bodies, timeout).await?;
    let params = to_params(body);
    if params.model != caller.profile.model.as_str() {
        return Err(ResultCode::UnknownModel.into());
    }
    caller.check_limit(shared.clock.now())?;
    let (endpoint, stream) = (params.endpoint, params.stream);
    let work = work(caller, params, share, entry)?;
    Ok(Prepared { work, endpoint, stream })
}

fn work(
    caller: Caller,
    params: CompletionParams,
    share: BodyShare,
    entry: &Entry,
) -> Result<Work, ResultCode> {
    let profile_permit = caller.profile.try_acquire().ok_or(ResultCode::LimitReached)?;
    Ok(Work {
        request: entry.request(),
        caller,
        prompt: params.prompt,
        max_tokens: params.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        arrived_at: entry.arrived_at(),
        _profile_permit: profile_permit,
        _share: share,
    })
}

fn criteria(work: &Work) -> RouteCriteria {
    let profile = &work.caller.profile;
    RouteCriteria {
        request: work.request,
        profile: Arc::clone(profile),
        fingerprint: route::fingerprint(profile, &work.prompt, work.max_tokens),
        prefix: PrefixHash::of(&work.prompt),
        prompt_tokens: route::estimate_tokens(&work.prompt),
        tried: Vec::new(),
    }
}

async fn respond(shared: Arc<Shared>, prepared: Prepared, mut entry: Entry) -> Response {
    let request = prepared.work.request;
    let criteria = criteria(&prepared.work);
    let mut active = active_request::open(shared, prepared.work, criteria);
    let res = if prepared.stream {
        active.first().await
    } else {
        let res = response::buffered(&mut active, prepared.endpoint).await;
        entry.end(res.as_ref().err().map(|it| it.code));
        return res.unwrap_or_else(|failure| refusal::response(failure, request));
    };
    match res {
        Ok(first) => events::response(active, first, prepared.endpoint, entry),
        Err(failure) => {
            entry.end(Some(failure.code));
            refusal::response(failure, request)
        }
    }
}
