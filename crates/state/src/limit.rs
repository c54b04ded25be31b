//! Limits of an organisation over all nodes, without a call to the service.
//!
//! Each node tells the others the demand that it sees and takes a share of the
//! limit in proportion to it. A share shrinks as soon as its cause is known and
//! grows only after [`SETTLE`], when every node has heard of it: while news
//! takes no longer than [`NEWS_DELAY`], the shares do not sum to more than the
//! limit. What no settled demand lays claim to is divided evenly, so that a
//! sudden demand at all nodes is let through at once.
//!
//! Error bound: over a time T a limit of L requests/s lets through at most
//! L·T + L·[`BURST`] + n, where n is the number of nodes. It lets through less
//! by what moves between nodes: at most L·(SETTLE + a tick) for each time that
//! the whole demand moves. The first is exceeded when news takes longer than
//! [`NEWS_DELAY`], and when nodes can't hear each other for longer than
//! [`FORGET`]: each side then hands out the whole limit. Below some twenty
//! requests a node in T, n is no longer small.
//!
//! How a node drives it: [`DemandMeter::add`] at each arrival, before
//! [`ShareBucket::take`]; about once a second [`DemandMeter::tick`], then
//! [`ShareTable::tell_own`] and publish what it gives, if anything; on news
//! [`ShareTable::hear`]; on tick [`ShareTable::forget_silent`] and
//! [`ShareTable::share`] into [`ShareBucket::set_rate`].

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

/// Longest time until news reaches every node.
pub const MAX_PROPAGATION_DELAY: Duration = Duration::from_secs(2);
/// Time after which every node has heard and acted upon what one of them told.
pub const CONVERGENCE_TIME: Duration = Duration::from_secs(3);
/// Time after which a silent node's demand counts no more.
pub const EXPIRY: Duration = Duration::from_secs(15);
/// Part of a limit that is spread evenly, for nodes whose demand is not known.
const RESERVE: f64 = 0.01;
/// Burst of a bucket, as the time that it takes to fill.
pub const BURST: Duration = Duration::from_secs(1);
/// Weight of a tick's demand in the smoothed one.
const DEMAND_WEIGHT: f64 = 0.2;
/// The same when the demand has clearly changed.
const CHANGED_WEIGHT: f64 = 0.9;
/// Standard errors from which a demand has clearly changed.
const CHANGED_ERRORS: f64 = 4.0;
/// Change of the smoothed demand that is worth telling.
const TOLD_CHANGE: f64 = 0.1;
/// Time after which an unchanged demand is told again.
const TELL_AGAIN: Duration = Duration::from_secs(5);
/// Fixed-point steps of one request.
const STEPS: f64 = 1_000_000.0;

/// Demand of an organisation at this node.
#[derive(Debug, Default)]
pub struct DemandMeter {
    arrived: AtomicU64,
}

impl DemandMeter {
    /// Counts an arrival, whether it is let through or not.
    pub fn add(&self) {
        self.arrived.fetch_add(1, Ordering::Relaxed);
    }

    /// Smoothed demand after `passed` since the last call.
    pub fn tick(&self, old: RequestsPerSecond, passed: Duration) -> RequestsPerSecond {
        let passed_s = passed.as_secs_f64().max(f64::EPSILON);
        let rate = self.arrived.swap(0, Ordering::Relaxed) as f64 / passed_s;
        let error = (old.0.max(1.0) / passed_s).sqrt();
        let has_changed = CHANGED_ERRORS * error < (rate - old.0).abs();
        let weight = if has_changed { CHANGED_WEIGHT } else { DEMAND_WEIGHT };
        RequestsPerSecond(old.0 + weight * (rate - old.0))
    }
}

/// What a node has told lately, in order.
#[derive(Debug, Clone, Default)]
struct Told {
    sequence: Option<u64>,
    demands: Vec<(Time, f64)>,
}

impl Told {
    /// Adds a value; keeps those of the last `window` and the one before.
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

    /// Least value since `window` ago; zero if it had told nothing by then.
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

/// Demand of one organisation at all nodes, as this node knows it.
#[derive(Debug, Clone, Default)]
pub struct ShareTable {
    others: BTreeMap<NodeId, Told>,
    own: Told,
}

impl ShareTable {
    /// Takes in this node's demand. Gives the sequence number to tell it with,
    /// if it is worth telling.
    pub fn update_own(&mut self, demand: RequestsPerSecond, now: Time) -> Option<u64> {
        let told_at = self.own.demands.last().map(|(at, _)| *at);
        let last = self.own.latest();
        let noise = (last * DEMAND_WEIGHT).sqrt();
        let is_changed = (last * TOLD_CHANGE).max(noise) < (demand.0 - last).abs();
        let is_due = told_at.is_none_or(|at| TELL_AGAIN <= now.since(at));
        if !is_changed && !is_due {
            self.own.trim(CONVERGENCE_TIME, now);
            return None;
        }
        let sequence = self.own.sequence.map_or(1, |it| it + 1);
        self.own.sequence = Some(sequence);
        // Told again for those that missed it; shares rest on it as it was.
        let told = if is_changed { demand.0 } else { last };
        self.own.add(told, CONVERGENCE_TIME, now);
        Some(sequence)
    }

    /// This node's demand as it was told last.
    pub fn published_own(&self) -> RequestsPerSecond {
        RequestsPerSecond(self.own.latest())
    }

    /// Takes in what another node told; older than known is ignored.
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

    /// Drops nodes that have told nothing for [`FORGET`].
    pub fn expire_silent(&mut self, now: Time) {
        let is_silent =
            |told: &Told| told.demands.last().is_none_or(|it| EXPIRY <= now.since(it.0));
        self.others.retain(|_, told| !is_silent(told));
    }

    /// Share of this node, of `nodes` live ones.
    pub fn share(&self, nodes: u32, now: Time) -> Share {
        let even = 1.0 / f64::from(nodes.max(1));
        let others: f64 = self.others.values().map(Told::latest).sum();
        let total = others + self.own.latest();
        if total <= 0.0 {
            return Share(even);
        }
        // Others are taken to act upon their news before this node would hear
        // of it at the latest.
        let window = CONVERGENCE_TIME - MAX_PROPAGATION_DELAY;
        let settled: f64 = self.others.values().map(|it| it.settled(window, now)).sum();
        let own = self.own.settled(CONVERGENCE_TIME, now);
        let unclaimed = (1.0 - (settled + own) / total).max(0.0);
        let by_demand = own / total;
        Share((1.0 - RESERVE) * (by_demand + unclaimed * even) + RESERVE * even)
    }
}

/// Why a request is over the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("the organisation is over its limit")]
pub struct OverLimit {
    /// When this node's share allows the next request.
    pub retry_after: Duration,
}

/// Bucket of one organisation at this node.
#[derive(Debug)]
pub struct ShareBucket {
    rate_steps_per_s: AtomicU64,
    /// Time up to which the bucket is used up, in nanoseconds.
    used_up_to_ns: AtomicU64,
}

impl Default for ShareBucket {
    fn default() -> Self {
        Self { rate_steps_per_s: AtomicU64::new(0), used_up_to_ns: AtomicU64::new(0) }
    }
}

impl ShareBucket {
    /// Sets this node's part of the limit.
    pub fn set_rate(&self, rate: RequestsPerSecond) {
        self.rate_steps_per_s.store((rate.0 * STEPS) as u64, Ordering::Relaxed);
    }

    /// Takes one request out.
    pub fn take(&self, now: Time) -> Result<(), OverLimit> {
        let rate = self.rate_steps_per_s.load(Ordering::Relaxed) as f64 / STEPS;
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
                let free_ns = used_ns.saturating_add(cost_ns).saturating_sub(now_ns);
                Err(OverLimit { retry_after: Duration::from_nanos(free_ns).min(EXPIRY) })
            }
        }
    }
}

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
