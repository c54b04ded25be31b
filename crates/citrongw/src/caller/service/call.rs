//! Reads and checks a call of a plain service.

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
        directory::ProfilePermit,
        request_log::Entry,
    },
    node::Shared,
};

/// Prefix of the path of every call.
const PATH_PREFIX: &str = "/services/";
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 255;

/// Call of a plain service.
#[derive(Debug)]
pub(super) struct Call {
    /// Id of the request.
    pub(super) request: RequestId,
    /// Caller that sent the request.
    pub(super) caller: Caller,
    /// Service that is called.
    pub(super) service: PlainService,
    /// Configured rule for the method and path.
    pub(super) rule: CallRule,
    /// HTTP method.
    pub(super) method: Method,
    /// Path with query, as sent by the caller.
    pub(super) full_path: String,
    /// Path with query, as sent to the backend server.
    pub(super) path: String,
    /// Content type of the body.
    pub(super) content_type: Option<String>,
    /// Body bytes.
    pub(super) body: Bytes,
    /// Idempotency key, if the caller sent one.
    pub(super) key: Option<IdempotencyKey>,
    /// Arrival time of the request.
    pub(super) arrived_at: Time,
    _profile_permit: ProfilePermit,
    _share: BodyShare,
}

impl Call {
    /// Addresses of the backend servers, rotated to start at a random one.
    pub(super) fn rotated_addrs(&self) -> Vec<SocketAddr> {
        let mut addrs = self.service.addrs.clone();
        if !addrs.is_empty() {
            let first = rand::random_range(0..addrs.len());
            addrs.rotate_left(first);
        }
        addrs
    }

    /// Time by which the caller must have a response.
    pub(super) fn deadline(&self) -> Time {
        self.arrived_at + self.caller.profile.deadline()
    }
}

/// Reads a call and applies the limits of its caller.
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
    let profile_permit = caller.profile.try_acquire().ok_or(ResultCode::LimitReached)?;
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
        _profile_permit: profile_permit,
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

/// Splits a path into the name of the service and the path after it.
///
/// A path that a backend server may normalise to a different one is refused, because
/// the rule found for it would not be the rule of the call that runs.
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

/// Whether a segment escapes a character that needs no escape, or a slash.
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
