//! Limits of an organisation over all nodes, without a call to the service.
//!
//! Each node tells the others the demand that it sees and takes a share of the
//! limit in proportion to it. Shares shrink as soon as they are known to and
//! grow only after [`SETTLE`], when every node has heard of it: while news
//! takes no longer, the shares never sum to more than the limit.
//!
//! Error bound: over a time T a limit of L requests/s lets through at most
//! L·T + n·max(1, burst), where n is the number of nodes that see the
//! organisation, and at least (1 − RESERVE)·L·T less what shares lag behind
//! demand. It is exceeded when news takes longer than [`SETTLE`], when nodes
//! can't hear each other for longer than [`FORGET`] (each side then hands out
//! the whole limit), and when L·T is below twenty requests a node.
//!
//! How a node drives it: [`DemandMeter::add`] at each arrival, before
//! [`ShareBucket::take`]; about once a second [`DemandMeter::tick`], publish
//! the result, [`ShareTable::tell_own`]; on news [`ShareTable::hear`]; on tick
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

/// Time after which every node has heard what one of them told.
pub const SETTLE: Duration = Duration::from_secs(3);
/// Time after which a silent node's demand counts no more.
pub const FORGET: Duration = Duration::from_secs(15);
/// Part of a limit that is spread evenly, for nodes whose demand is not known.
const RESERVE: f64 = 0.01;
/// Weight of a second's demand in the smoothed one.
const DEMAND_WEIGHT: f64 = 0.5;
/// Burst of a bucket, as the time that it takes to fill.
const BURST: Duration = Duration::from_millis(500);
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
        let arrived = self.arrived.swap(0, Ordering::Relaxed) as f64;
        let rate = arrived / passed.as_secs_f64().max(f64::EPSILON);
        RequestsPerSecond(old.0 + DEMAND_WEIGHT * (rate - old.0))
    }
}

/// Demand told by a node.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Told {
    sequence: u64,
    demand: f64,
    heard_at: Time,
}

/// Demand of one organisation at all nodes, as this node knows it.
#[derive(Debug, Clone, Default)]
pub struct ShareTable {
    others: BTreeMap<NodeId, Told>,
    own: Vec<(Time, f64)>,
}

impl ShareTable {
    /// Takes in what this node has just told the others.
    pub fn tell_own(&mut self, demand: RequestsPerSecond, now: Time) {
        self.own.push((now, demand.0));
        // The last value told before the window still counts in it.
        let before = self.own.partition_point(|(at, _)| *at + SETTLE <= now);
        self.own.drain(..before.saturating_sub(1));
    }

    /// Takes in what another node told; older than known is ignored.
    pub fn hear(&mut self, node: NodeId, sequence: u64, demand: RequestsPerSecond, now: Time) {
        let told = Told { sequence, demand: demand.0.max(0.0), heard_at: now };
        match self.others.get(&node) {
            Some(known) if sequence <= known.sequence => {}
            _ => {
                self.others.insert(node, told);
            }
        }
    }

    /// Drops nodes that have told nothing for [`FORGET`].
    pub fn forget_silent(&mut self, now: Time) {
        self.others.retain(|_, told| now.since(told.heard_at) < FORGET);
    }

    /// Share of this node, of `nodes` live ones.
    pub fn share(&self, nodes: u32, now: Time) -> Share {
        let settled = self.own.first().is_some_and(|(at, _)| *at + SETTLE <= now);
        let least = self.own.iter().map(|(_, demand)| *demand).fold(f64::INFINITY, f64::min);
        let own = if settled && least.is_finite() { least } else { 0.0 };
        let most = self.own.iter().map(|(_, demand)| *demand).fold(0.0, f64::max);
        let others: f64 = self.others.values().map(|it| it.demand).sum();
        let total = others + most;
        let by_demand = if 0.0 < total { own / total } else { 0.0 };
        let even = 1.0 / f64::from(nodes.max(1));
        Share((1.0 - RESERVE) * by_demand + RESERVE * even)
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
            return Err(OverLimit { retry_after: SETTLE });
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
                Err(OverLimit { retry_after: Duration::from_nanos(free_ns).min(FORGET) })
            }
        }
    }
}

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
