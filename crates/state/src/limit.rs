//! Rate limits of an organisation over all nodes, without a call to the
//! key-value service.
//!
//! Each node publishes its demand to the others and takes a share of the limit
//! in proportion to it. A share shrinks as soon as its cause is known and grows
//! only after [`CONVERGENCE_TIME`], when every node has received the change.
//! While gossip takes no longer than [`MAX_PROPAGATION_DELAY`], the shares sum
//! to at most the limit. The part of the limit that no settled demand covers is
//! divided evenly, so that a sudden demand at all nodes is accepted at once.
//!
//! Error bound: over a time T, a limit of L requests/s accepts at most L·T +
//! L·[`BURST`] + n requests, where n is the number of nodes. It accepts fewer
//! when demand moves between nodes: at most L·(CONVERGENCE_TIME + a tick) fewer
//! for each time that the whole demand moves. The upper bound is exceeded when
//! gossip takes longer than [`MAX_PROPAGATION_DELAY`], and when a network
//! partition lasts longer than [`EXPIRY`], because each side then uses the
//! whole limit. Below about twenty requests per node in T, n is no longer
//! negligible.
//!
//! A node calls [`DemandMeter::add`] at each arrival, before
//! [`ShareBucket::take`]. About once a second it calls [`DemandMeter::tick`],
//! then [`ShareTable::update_own`], and publishes the demand if a sequence
//! number is returned; then [`ShareTable::expire_silent`], and passes
//! [`ShareTable::share`] to [`ShareBucket::set_rate`]. It calls
//! [`ShareTable::record_report`] for each demand received from another node.

use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use derive_more::Display;

use crate::{
    id::NodeId,
    time::Time,
    unit::{RequestsPerSecond, Share},
};

/// Longest time until a published demand reaches every node.
pub const MAX_PROPAGATION_DELAY: Duration = Duration::from_secs(2);
/// Time after which every node has received and applied a published demand.
pub const CONVERGENCE_TIME: Duration = Duration::from_secs(3);
/// Time after which the demand of a node that publishes nothing expires.
pub const EXPIRY: Duration = Duration::from_secs(15);
/// Fraction of a limit that is divided evenly, for nodes whose demand is
/// unknown.
const RESERVE: f64 = 0.01;
/// Capacity of a bucket, as the time that it takes to fill.
pub const BURST: Duration = Duration::from_secs(1);
/// Weight of the latest sample in the smoothed demand.
const DEMAND_WEIGHT: f64 = 0.2;
/// The same weight when the demand has changed significantly.
const CHANGED_WEIGHT: f64 = 0.9;
/// Number of standard errors that makes a change of demand significant.
const CHANGED_ERRORS: f64 = 4.0;
/// Relative change of the smoothed demand that is published at once.
const PUBLISHED_CHANGE: f64 = 0.1;
/// Time after which an unchanged demand is published again.
const REPUBLISH_AFTER: Duration = Duration::from_secs(5);
/// Fixed-point units per request.
const STEPS_PER_REQUEST: f64 = 1_000_000.0;

/// Measures the demand of an organisation at this node.
#[derive(Debug, Default)]
pub struct DemandMeter {
    arrived: AtomicU64,
}

impl DemandMeter {
    /// Counts an arrival, whether it is accepted or not.
    pub fn add(&self) {
        self.arrived.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the new smoothed demand, given the `old` one and the time
    /// `passed` since the last call.
    pub fn tick(&self, old: RequestsPerSecond, passed: Duration) -> RequestsPerSecond {
        let passed_s = passed.as_secs_f64().max(f64::EPSILON);
        let rate = self.arrived.swap(0, Ordering::Relaxed) as f64 / passed_s;
        let error = (old.0.max(1.0) / passed_s).sqrt();
        let has_changed = CHANGED_ERRORS * error < (rate - old.0).abs();
        let weight = if has_changed { CHANGED_WEIGHT } else { DEMAND_WEIGHT };
        RequestsPerSecond(old.0 + weight * (rate - old.0))
    }
}

/// Demands that a node has published recently, in order of time.
#[derive(Debug, Clone, Default)]
struct PublishedDemands {
    sequence: Option<u64>,
    demands: Vec<(Time, f64)>,
}

impl PublishedDemands {
    /// Adds a demand. Keeps those of the last `window` and the one before.
    fn add(&mut self, demand: f64, window: Duration, now: Time) {
        self.demands.push((now, demand));
        self.trim(window, now);
    }

    fn trim(&mut self, window: Duration, now: Time) {
        let before = self.demands.partition_point(|(at, _)| *at + window <= now);
        self.demands.drain(..before.saturating_sub(1));
    }

    fn latest(&self) -> f64 {
        self.demands.last().map_or(0.0, |(_, demand)| *demand)
    }

    /// Lowest demand since `window` ago; zero if none was published by then.
    fn settled(&self, window: Duration, now: Time) -> f64 {
        let is_settled = self.demands.first().is_some_and(|(at, _)| *at + window <= now);
        if !is_settled {
            return 0.0;
        }
        let recent = self.demands.iter().rev().take_while(|(at, _)| now < *at + window);
        let recent: Vec<f64> = recent.map(|(_, demand)| *demand).collect();
        let before = self.demands[self.demands.len() - 1 - recent.len()].1;
        recent.into_iter().fold(before, f64::min)
    }
}

/// Demand of one organisation at all nodes, as known to this node.
#[derive(Debug, Clone, Default)]
pub struct ShareTable {
    others: BTreeMap<NodeId, PublishedDemands>,
    own: PublishedDemands,
}

impl ShareTable {
    /// Records this node's demand. Returns the sequence number to publish it
    /// with, if it is to be published.
    pub fn update_own(&mut self, demand: RequestsPerSecond, now: Time) -> Option<u64> {
        let published_at = self.own.demands.last().map(|(at, _)| *at);
        let last = self.own.latest();
        let noise = (last * DEMAND_WEIGHT).sqrt();
        let is_changed = (last * PUBLISHED_CHANGE).max(noise) < (demand.0 - last).abs();
        let is_due = published_at.is_none_or(|at| REPUBLISH_AFTER <= now.since(at));
        if !is_changed && !is_due {
            self.own.trim(CONVERGENCE_TIME, now);
            return None;
        }
        let sequence = self.own.sequence.map_or(1, |it| it + 1);
        self.own.sequence = Some(sequence);
        // An unchanged demand is published again for nodes that missed it. The
        // published value stays the same, because the shares depend on it.
        let published = if is_changed { demand.0 } else { last };
        self.own.add(published, CONVERGENCE_TIME, now);
        Some(sequence)
    }

    /// This node's demand as last published.
    pub fn published_own(&self) -> RequestsPerSecond {
        RequestsPerSecond(self.own.latest())
    }

    /// Records the demand published by another node. Stale sequence numbers are
    /// ignored.
    pub fn record_report(
        &mut self,
        node: NodeId,
        sequence: u64,
        demand: RequestsPerSecond,
        now: Time,
    ) {
        let known = self.others.entry(node).or_default();
        if known.sequence < Some(sequence) {
            known.sequence = Some(sequence);
            known.add(demand.0.max(0.0), CONVERGENCE_TIME, now);
        }
    }

    /// Drops nodes that have published nothing for [`EXPIRY`].
    pub fn expire_silent(&mut self, now: Time) {
        let is_silent = |published: &PublishedDemands| {
            published.demands.last().is_none_or(|it| EXPIRY <= now.since(it.0))
        };
        self.others.retain(|_, published| !is_silent(published));
    }

    /// Share of this node, one of `nodes` live nodes.
    pub fn share(&self, nodes: u32, now: Time) -> Share {
        let even = 1.0 / f64::from(nodes.max(1));
        let others: f64 = self.others.values().map(PublishedDemands::latest).sum();
        let total = others + self.own.latest();
        if total <= 0.0 {
            return Share(even);
        }
        // A node applies its own demand the convergence time after it published
        // it. The message may have been in transit for the whole propagation
        // delay, so that only the difference remains after the receipt.
        let window = CONVERGENCE_TIME - MAX_PROPAGATION_DELAY;
        let settled: f64 = self.others.values().map(|it| it.settled(window, now)).sum();
        let own = self.own.settled(CONVERGENCE_TIME, now);
        let unclaimed = (1.0 - (settled + own) / total).max(0.0);
        let by_demand = own / total;
        Share((1.0 - RESERVE) * (by_demand + unclaimed * even) + RESERVE * even)
    }
}

/// The request exceeds the limit of its organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("the organisation is over its limit")]
pub struct OverLimit {
    /// Time until this node's share allows the next request.
    pub retry_after: Duration,
}

/// Token bucket of one organisation at this node.
#[derive(Debug)]
pub struct ShareBucket {
    rate_steps_per_s: AtomicU64,
    /// Time up to which the tokens are used, in nanoseconds.
    used_up_to_ns: AtomicU64,
}

impl Default for ShareBucket {
    fn default() -> Self {
        Self { rate_steps_per_s: AtomicU64::new(0), used_up_to_ns: AtomicU64::new(0) }
    }
}

impl ShareBucket {
    /// Sets the rate to this node's share of the limit.
    pub fn set_rate(&self, rate: RequestsPerSecond) {
        self.rate_steps_per_s.store((rate.0 * STEPS_PER_REQUEST) as u64, Ordering::Relaxed);
    }

    /// Takes the token of one request.
    pub fn take(&self, now: Time) -> Result<(), OverLimit> {
        let rate = self.rate_steps_per_s.load(Ordering::Relaxed) as f64 / STEPS_PER_REQUEST;
        if rate <= 0.0 {
            return Err(OverLimit { retry_after: CONVERGENCE_TIME });
        }
        let cost_ns = (1e9 / rate) as u64;
        let burst_ns = nanos(BURST).max(cost_ns);
        let now_ns = nanos(now.0);
        let taken = self.used_up_to_ns.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
            let floor_ns = now_ns.saturating_sub(burst_ns);
            let next_ns = used.max(floor_ns).saturating_add(cost_ns);
            (next_ns <= now_ns).then_some(next_ns)
        });
        match taken {
            Ok(_) => Ok(()),
            Err(used_ns) => {
                let wait_ns = used_ns.saturating_add(cost_ns).saturating_sub(now_ns);
                Err(OverLimit { retry_after: Duration::from_nanos(wait_ns).min(EXPIRY) })
            }
        }
    }
}

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
