//! Rate limits of organisations across all nodes: the demand at this node, the
//! demand reported by other nodes, and this node's share of each limit.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use citrongw_protocol::gossip_item::{GossipItem, OrganisationDemand};
use citrongw_state::{
    config::{Config, Organisation},
    id::{NodeId, OrganisationId},
    limit::{DemandMeter, OverLimit, ShareBucket, ShareTable},
    time::Time,
    unit::RequestsPerSecond,
};

use crate::node::Shared;

/// Rate limit of one organisation at this node.
#[derive(Debug)]
pub(super) struct OrganisationLimit {
    limit_per_s: f64,
    meter: DemandMeter,
    bucket: ShareBucket,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    table: ShareTable,
    demand_per_s: f64,
}

impl OrganisationLimit {
    /// Opens a limit. Until demand is known, each of `nodes` gets an equal share.
    fn open(limit_per_s: f64, nodes: u32) -> Self {
        let bucket = ShareBucket::default();
        bucket.set_rate(RequestsPerSecond(limit_per_s / f64::from(nodes.max(1))));
        Self { limit_per_s, meter: DemandMeter::default(), bucket, state: Mutex::default() }
    }

    /// Counts a request towards demand and takes it from this node's share.
    pub(super) fn try_take(&self, now: Time) -> Result<(), OverLimit> {
        self.meter.add();
        self.bucket.take(now)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Measures this node's demand and recomputes its share. Returns the demand
    /// to publish to the other nodes, if it must be published.
    fn tick(&self, elapsed: Duration, nodes: u32, now: Time) -> Option<RequestsPerSecond> {
        let mut state = self.state();
        let demand = self.meter.tick(RequestsPerSecond(state.demand_per_s), elapsed);
        state.demand_per_s = demand.0;
        let published = state.table.update_own(demand, now);
        state.table.expire_silent(now);
        // A single node gets the whole limit.
        let share = if nodes <= 1 { 1.0 } else { state.table.share(nodes, now).0 };
        self.bucket.set_rate(RequestsPerSecond(self.limit_per_s * share));
        published.map(|_| state.table.published_own())
    }
}

/// Rate limits of all organisations that have one.
#[derive(Debug, Default)]
pub(super) struct Limits {
    by_organisation: ArcSwap<HashMap<OrganisationId, Arc<OrganisationLimit>>>,
    sequence: AtomicU64,
    /// Live nodes as of the last tick.
    nodes: AtomicU32,
}

impl Limits {
    /// Returns the limit of an organisation, if it has one.
    pub(super) fn get(&self, organisation: &OrganisationId) -> Option<Arc<OrganisationLimit>> {
        self.by_organisation.load().get(organisation).cloned()
    }

    /// Applies the limits of a configuration. The state of unchanged limits is
    /// kept.
    pub(super) fn replace(&self, config: &Config) {
        let old = self.by_organisation.load_full();
        let nodes = self.nodes.load(Ordering::Relaxed);
        let limit = |organisation: &Organisation| {
            let limit_per_s = organisation.limit_requests_per_s?;
            let kept = old.get(&organisation.id).filter(|it| it.limit_per_s == limit_per_s);
            let open = || Arc::new(OrganisationLimit::open(limit_per_s, nodes));
            let limit = kept.map_or_else(open, Arc::clone);
            Some((organisation.id.clone(), limit))
        };
        let limits = config.organisations.iter().filter_map(limit).collect();
        self.by_organisation.store(Arc::new(limits));
    }

    /// Records the demand that another node published. A node's own reports are
    /// ignored.
    pub(super) fn record_report(&self, report: &OrganisationDemand, this: NodeId, now: Time) {
        if report.node == this {
            return;
        }
        if let Some(limit) = self.get(&report.organisation) {
            let demand = RequestsPerSecond(f64::from(report.requests_per_s));
            limit.state().table.record_report(report.node, report.sequence, demand, now);
        }
    }
}

/// Measures and publishes demand, and recomputes each share.
pub(super) fn tick(shared: &Shared, elapsed: Duration) {
    let limits = &shared.callers.limits;
    let nodes = u32::try_from(shared.nodes.alive().len()).unwrap_or(u32::MAX);
    limits.nodes.store(nodes, Ordering::Relaxed);
    let now = shared.clock.now();
    let sequence = limits.sequence.fetch_add(1, Ordering::Relaxed);
    for (organisation, limit) in limits.by_organisation.load().iter() {
        let Some(demand) = limit.tick(elapsed, nodes, now) else { continue };
        shared.gossip.publish(GossipItem::Demand(OrganisationDemand {
            organisation: organisation.clone(),
            node: shared.node,
            sequence,
            requests_per_s: demand.0 as f32,
        }));
    }
}

#[cfg(test)]
mod tests;
