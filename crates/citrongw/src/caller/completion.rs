//! Handlers of the completion paths.

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
    answer::{self, Shape},
    auth::{self, Caller},
    body::{self, BodyShare},
    events, new_request_id,
    refusal::{self, Failure},
    request_log::{self, Entry},
    route::{self, Want},
    running,
    work::Work,
};
use crate::node::Shared;

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
    let mut entry = request_log::open(&shared, request);
    let work = match prepare(&shared, req, &mut entry, read).await {
        Ok(prepared) => prepared,
        Err(failure) => {
            entry.end(Some(failure.code));
            return Ok(refusal::response(failure, request));
        }
    };
    Ok(answer(shared, work, entry).await)
}

/// Request that may run.
struct Prepared {
    work: Work,
    shape: Shape,
    stream: bool,
}

async fn prepare<T: DeserializeOwned>(
    shared: &Shared,
    req: Request,
    entry: &mut Entry,
    read: impl FnOnce(T) -> Asked,
) -> Result<Prepared, Failure> {
    let caller = auth::find(shared, &req)?;
    entry.set_organisation(&caller.organisation);
    let timeout = shared.settings.body_timeout.min(caller.profile.deadline());
    let (body, share) = body::read_json(req, &shared.callers.bodies, timeout).await?;
    let asked = read(body);
    if asked.model != caller.profile.model.as_str() {
        return Err(ResultCode::UnknownModel.into());
    }
    caller.check_limit(shared.clock.now())?;
    let (shape, stream) = (asked.shape, asked.stream);
    let work = work(caller, asked, share, entry)?;
    Ok(Prepared { work, shape, stream })
}

fn work(caller: Caller, asked: Asked, share: BodyShare, entry: &Entry) -> Result<Work, ResultCode> {
    let place = caller.profile.enter().ok_or(ResultCode::LimitReached)?;
    Ok(Work {
        request: entry.request(),
        caller,
        prompt: asked.prompt,
        max_tokens: asked.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        arrived_at: entry.arrived_at(),
        _place: place,
        _share: share,
    })
}

fn want(work: &Work) -> Want {
    let profile = &work.caller.profile;
    Want {
        request: work.request,
        profile: Arc::clone(profile),
        fingerprint: route::fingerprint(profile, &work.prompt, work.max_tokens),
        prefix: PrefixHash::of(&work.prompt),
        prompt_tokens: route::count_tokens(&work.prompt),
        tried: Vec::new(),
    }
}

async fn answer(shared: Arc<Shared>, prepared: Prepared, mut entry: Entry) -> Response {
    let request = prepared.work.request;
    let want = want(&prepared.work);
    let mut running = running::open(shared, prepared.work, want);
    let res = if prepared.stream {
        running.first().await
    } else {
        let res = answer::whole(&mut running, prepared.shape).await;
        entry.end(res.as_ref().err().map(|it| it.code));
        return res.unwrap_or_else(|failure| refusal::response(failure, request));
    };
    match res {
        Ok(first) => events::response(running, first, prepared.shape, entry),
        Err(failure) => {
            entry.end(Some(failure.code));
            refusal::response(failure, request)
        }
    }
}
