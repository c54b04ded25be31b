//! A caller's call of a plain service, read whole and checked.

use bytes::Bytes;
use citrongw_protocol::{caller::IDEMPOTENCY_KEY_HEADER, code::ResultCode};
use citrongw_state::{
    config::{CallRule, PlainService},
    id::{IdempotencyKey, RequestId},
    time::Time,
};
use http::Method;
use http_body_util::{BodyExt, Limited};
use viz::{Request, RequestExt, header};

use crate::{
    caller::auth::{self, Caller},
    node::Shared,
};

/// Prefix of the path of every call.
const PATH_PREFIX: &str = "/services/";
/// Largest body of a call.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 255;

/// Call of a plain service.
#[derive(Debug, Clone)]
pub(super) struct Call {
    /// The request.
    pub(super) request: RequestId,
    /// Who calls.
    pub(super) caller: Caller,
    /// The service.
    pub(super) service: PlainService,
    /// Rule of the call.
    pub(super) rule: CallRule,
    /// Method.
    pub(super) method: Method,
    /// Path with query, as the caller wrote it.
    pub(super) full_path: String,
    /// Path with query, as the backend server gets it.
    pub(super) path: String,
    /// Content type of the body.
    pub(super) content_type: Option<String>,
    /// Body.
    pub(super) body: Bytes,
    /// Idempotency key, if the caller gave one.
    pub(super) key: Option<IdempotencyKey>,
    /// When it arrived.
    pub(super) arrived_at: Time,
}

impl Call {
    /// Point by which the caller must have an answer.
    pub(super) fn deadline(&self) -> Time {
        self.arrived_at + self.caller.profile.deadline()
    }
}

/// Reads a call, unless it is refused.
pub(super) async fn read(
    shared: &Shared,
    req: Request,
    request: RequestId,
) -> Result<Call, ResultCode> {
    let arrived_at = shared.clock.now();
    let caller = auth::find(shared, &req)?;
    let (name, path) = split_path(req.uri().path())?;
    let config = shared.config.load_full().ok_or(ResultCode::NotConfirmed)?;
    let service = config.config.plain_service(&name.into()).ok_or(ResultCode::NotFound)?;
    let rule = service.rule(req.method().as_str(), path).ok_or(ResultCode::NotFound)?;
    let query = req.uri().query().map(|it| format!("?{it}")).unwrap_or_default();
    let mut call = Call {
        request,
        caller,
        service: service.clone(),
        rule: rule.clone(),
        method: req.method().clone(),
        full_path: format!("{}{query}", req.uri().path()),
        path: format!("{path}{query}"),
        content_type: req.header(header::CONTENT_TYPE),
        body: Bytes::new(),
        key: read_key(&req)?,
        arrived_at,
    };
    call.body = read_body(req).await?;
    Ok(call)
}

/// Name of the service and the path after it.
///
/// A path that a backend server may read as another one is refused: its rule
/// would not be the rule of the call that runs.
pub(super) fn split_path(path: &str) -> Result<(&str, &str), ResultCode> {
    let rest = path.strip_prefix(PATH_PREFIX).ok_or(ResultCode::NotFound)?;
    let at = rest.find('/').ok_or(ResultCode::NotFound)?;
    let (name, path) = rest.split_at(at);
    let segments = path[1..].split('/');
    let last = path.matches('/').count() - 1;
    let ambiguous = segments.enumerate().any(|(idx, segment)| match segment {
        "." | ".." => true,
        "" => idx != last,
        _ => has_needless_escape(segment) || segment.contains('\\') || segment.contains(';'),
    });
    if ambiguous { Err(ResultCode::Malformed) } else { Ok((name, path)) }
}

/// Whether a segment escapes a character that needs none, or a slash.
fn has_needless_escape(segment: &str) -> bool {
    segment.split('%').skip(1).any(|escape| {
        let code = escape.get(..2).and_then(|it| u8::from_str_radix(it, 16).ok());
        code.is_none_or(|code| code.is_ascii_alphanumeric() || b"-._~/\\;%".contains(&code))
    })
}

fn read_key(req: &Request) -> Result<Option<IdempotencyKey>, ResultCode> {
    let mut values = req.headers().get_all(IDEMPOTENCY_KEY_HEADER).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let text = value.to_str().map_err(|_| ResultCode::Malformed)?.trim();
    let fits = values.next().is_none() && !text.is_empty() && text.len() <= MAX_KEY_BYTES;
    if fits { Ok(Some(text.into())) } else { Err(ResultCode::Malformed) }
}

async fn read_body(req: Request) -> Result<Bytes, ResultCode> {
    if req.content_length().is_some_and(|length| (MAX_BODY_BYTES as u64) < length) {
        return Err(ResultCode::TooLarge);
    }
    let collected = Limited::new(req.into_body(), MAX_BODY_BYTES).collect().await;
    collected.map(http_body_util::Collected::to_bytes).map_err(|error| {
        if error.is::<http_body_util::LengthLimitError>() {
            ResultCode::TooLarge
        } else {
            ResultCode::Malformed
        }
    })
}

#[cfg(test)]
mod tests;
