//! What this gateway learned of the times at each model or plain service.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use citrongw_state::{
    early_rejection::{Estimates, ServiceTimes},
    id::{ModelId, PlainServiceId},
};

use crate::lock::lock;

/// Models and plain services whose times are kept. More of them are admitted as if
/// nothing was learned.
const MAX_POOLS: usize = 256;

/// Servers that requests for a model, or of a plain service, may be sent to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct PoolKey {
    /// Service of the servers.
    pub(crate) service: PlainServiceId,
    /// Model, if the service serves models.
    pub(crate) model: Option<ModelId>,
}

/// Learned times by pool.
#[derive(Debug, Default)]
pub(crate) struct EarlyRejection {
    times: Mutex<HashMap<PoolKey, ServiceTimes>>,
}

impl EarlyRejection {
    /// Records what `record` does for a pool, unless too many are known.
    pub(crate) fn update(&self, pool: &PoolKey, record: impl FnOnce(&mut ServiceTimes)) {
        let mut times = lock(&self.times);
        if !times.contains_key(pool) && MAX_POOLS <= times.len() {
            return;
        }
        record(times.entry(pool.clone()).or_default());
    }

    /// Estimates for a request of a priority; none until enough responses were seen.
    pub(crate) fn estimates(&self, pool: &PoolKey, priority: u8) -> Option<Estimates> {
        lock(&self.times).get(pool)?.estimates(priority)
    }
}

/// Whether a server with this load has a slot free for one more request, with a margin
/// for requests that are not known yet.
pub(crate) fn has_free_slot(requests: f64, slots: u32) -> bool {
    const MAX_LOAD_SHARE: f64 = 0.9;
    requests + 1.0 <= f64::from(slots) * MAX_LOAD_SHARE
}

/// Time from sending a request to its first event, with what was known when it was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FirstEventSample {
    /// The time.
    pub(crate) took: Duration,
    /// Whether the server had a free slot.
    pub(crate) had_free_slot: bool,
    /// Wait that the load of the pool implied; none for a late request.
    pub(crate) pool: Option<citrongw_state::early_rejection::PoolLoad>,
    /// Priority of the request.
    pub(crate) priority: u8,
}

impl FirstEventSample {
    /// Records the sample.
    pub(crate) fn record(&self, times: &mut ServiceTimes) {
        times.record_first_event(self.took, self.had_free_slot);
        let hold = times.estimates(self.priority).map(|it| it.hold);
        if let (Some(pool), Some(hold)) = (self.pool, hold) {
            times.record_wait(self.priority, self.took, pool.wait(hold));
        }
    }
}

#[cfg(test)]
mod tests;
