//! Who a caller is: its key names the service, the service its profile.

use std::sync::atomic::Ordering;

use citrongw_protocol::code::ResultCode;
use citrongw_state::{
    config::{KeyDigest, Profile},
    id::{OrganisationId, ServiceId},
};
use viz::{Request, RequestExt, header};

use crate::node::Shared;

/// Caller as the configuration knows it.
#[derive(Debug, Clone)]
pub(super) struct Caller {
    /// Its organisation.
    pub(super) organisation: OrganisationId,
    /// Its service.
    pub(super) service: ServiceId,
    /// The profile of its service.
    pub(super) profile: Profile,
}

/// Finds the caller of a request, unless the node refuses new work.
pub(super) fn find(shared: &Shared, req: &Request) -> Result<Caller, ResultCode> {
    if shared.stopping.load(Ordering::Relaxed) {
        return Err(ResultCode::Stopping);
    }
    let config = shared.config.load_full().ok_or(ResultCode::NotConfirmed)?;
    let token: String = req.header(header::AUTHORIZATION).ok_or(ResultCode::Unauthorised)?;
    let key = token.strip_prefix("Bearer ").ok_or(ResultCode::Unauthorised)?;
    let service = config.config.service_by_key(&KeyDigest::of(key));
    let service = service.ok_or(ResultCode::Unauthorised)?;
    let profile = config.config.profile(&service.profile).ok_or(ResultCode::UnknownModel)?.clone();
    let (organisation, service) = (service.organisation.clone(), service.id.clone());
    Ok(Caller { organisation, service, profile })
}
