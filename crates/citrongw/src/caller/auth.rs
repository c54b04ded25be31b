//! Authentication of callers: the API key identifies the service, which has a
//! profile.

use std::sync::atomic::Ordering;

use citrongw_protocol::code::ResultCode;
use viz::{Request, header};

pub(super) use super::directory::Caller;
use crate::node::Shared;

/// Finds the caller of a request, unless the node is refusing new work.
pub(super) fn find(shared: &Shared, req: &Request) -> Result<Caller, ResultCode> {
    if shared.stopping.load(Ordering::Relaxed) {
        return Err(ResultCode::Stopping);
    }
    if !shared.gate.may_serve(shared.clock.now()) {
        return Err(ResultCode::NotConfirmed);
    }
    let config = shared.config.load();
    let config = config.as_ref().ok_or(ResultCode::NotConfirmed)?;
    let value = req.headers().get(header::AUTHORIZATION).ok_or(ResultCode::Unauthorised)?;
    let token = value.to_str().map_err(|_| ResultCode::Unauthorised)?;
    let key = token.strip_prefix("Bearer ").ok_or(ResultCode::Unauthorised)?;
    shared
        .callers
        .directory
        .find(config, &shared.callers.limits, key)
        .ok_or(ResultCode::Unauthorised)
}
