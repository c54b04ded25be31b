//! Metrics and decisions recorded at the end of each request.

use std::sync::Arc;

use citrongw_protocol::{code::ResultCode, decision::Decision};
use citrongw_state::{
    id::{OrganisationId, RequestId},
    time::Time,
};

use crate::node::Shared;

/// Log entry of a request in progress. If it is dropped before its end is
/// recorded, the caller has disconnected.
pub(super) struct Entry {
    shared: Arc<Shared>,
    request: RequestId,
    organisation: Option<OrganisationId>,
    arrived_at: Time,
    ended: bool,
}

/// Opens the entry of a request that has just arrived.
pub(super) fn open(shared: &Arc<Shared>, request: RequestId) -> Entry {
    Entry {
        arrived_at: shared.clock.now(),
        shared: Arc::clone(shared),
        request,
        organisation: None,
        ended: false,
    }
}

impl Entry {
    /// Id of the request.
    pub(super) fn request(&self) -> RequestId {
        self.request
    }

    /// Arrival time of the request.
    pub(super) fn arrived_at(&self) -> Time {
        self.arrived_at
    }

    /// Sets the organisation that the request belongs to.
    pub(super) fn set_organisation(&mut self, organisation: &OrganisationId) {
        self.organisation = Some(organisation.clone());
    }

    /// Records the end of the request; `code` is `None` for a complete response.
    pub(super) fn end(&mut self, code: Option<ResultCode>) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let (shared, request) = (&self.shared, self.request);
        if let Some(code) = code {
            shared.decisions.add(Decision::Refused { request, code });
            tracing::debug!(%request, code = code.number(), outcome = %code.outcome(), "refused");
        }
        if let Some(organisation) = &self.organisation {
            let took = shared.clock.now().since(self.arrived_at);
            shared.metrics.add_request(organisation, code, took);
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if !self.ended {
            self.shared.decisions.add(Decision::CallerLeft { request: self.request });
        }
    }
}
