//! A caller's call of a plain service, read whole and checked.

use std::net::SocketAddr;

use bytes::Bytes;
use citrongw_protocol::{caller::IDEMPOTENCY_KEY_HEADER, code::ResultCode};
use citrongw_state::{
    config::{CallRule, PlainService},
    id::{IdempotencyKey, RequestId},
    time::Time,
};
use http::Method;
use viz::{Request, RequestExt, header};

use crate::{
    caller::{
        auth::{self, Caller},
        body::{self, BodyShare},
        directory::ProfilePlace,
        request_log::Entry,
    },
    node::Shared,
};

/// Prefix of the path of every call.
const PATH_PREFIX: &str = "/services/";
/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 255;

/// Call of a plain service.
#[derive(Debug)]
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
    _place: ProfilePlace,
    _share: BodyShare,
}

impl Call {
    /// Addresses of the backend servers, from a random one on.
    pub(super) fn rotated_addrs(&self) -> Vec<SocketAddr> {
        let mut addrs = self.service.addrs.clone();
        if !addrs.is_empty() {
            let first = rand::random_range(0..addrs.len());
            addrs.rotate_left(first);
        }
        addrs
    }

    /// Point by which the caller must have an answer.
    pub(super) fn deadline(&self) -> Time {
        self.arrived_at + self.caller.profile.deadline()
    }
}

/// Reads a call, unless it is refused.
pub(super) async fn read(
    shared: &Shared,
    req: Request,
    entry: &mut Entry,
) -> Result<Call, ResultCode> {
    let caller = auth::find(shared, &req)?;
    entry.set_organisation(&caller.organisation);
    let (name, path) = split_path(req.uri().path())?;
    let (service, rule) = find_rule(shared, name, req.method(), path)?;
    let query = req.uri().query().map(|it| format!("?{it}")).unwrap_or_default();
    let (full_path, path) = (format!("{}{query}", req.uri().path()), format!("{path}{query}"));
    let (method, content_type) = (req.method().clone(), req.header(header::CONTENT_TYPE));
    let key = read_key(&req)?;
    let timeout = shared.settings.body_timeout.min(caller.profile.deadline());
    let (body, share) = body::read_bytes(req, &shared.callers.bodies, timeout).await?;
    caller.check_limit(shared.clock.now()).map_err(|it| it.code)?;
    let place = caller.profile.enter().ok_or(ResultCode::LimitReached)?;
    Ok(Call {
        request: entry.request(),
        caller,
        service,
        rule,
        method,
        full_path,
        path,
        content_type,
        body: Bytes::from(body),
        key,
        arrived_at: entry.arrived_at(),
        _place: place,
        _share: share,
    })
}

fn find_rule(
    shared: &Shared,
    name: &str,
    method: &Method,
    path: &str,
) -> Result<(PlainService, CallRule), ResultCode> {
    let config = shared.config.load();
    let config = config.as_ref().ok_or(ResultCode::NotConfirmed)?;
    let service = config.config.plain_service(&name.into()).ok_or(ResultCode::NotFound)?;
    let rule = service.rule(method.as_str(), path).ok_or(ResultCode::NotFound)?;
    Ok((service.clone(), rule.clone()))
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

#[cfg(test)]
mod tests;
