//! Selection of a replica for a request.
//!
//! A request has a few candidates (homes), which depend on the request alone:
//! the home of its prompt prefix, then the homes of its fingerprint. All nodes
//! compute the same candidates, so that a prompt prefix is cached on few
//! replicas, and copies of a request that arrive at different nodes are sent to
//! the same two replicas. Of the first two usable candidates, the one with the
//! smaller estimated wait is selected. Different requests have different second
//! homes, which spreads the load like random choices do: nodes that use the
//! same stale report do not all send to the replica that is idle in it.
//!
//! A node builds a [`RouteIndex`] whenever the replica list changes and swaps
//! it in. For a request it calls [`RouteIndex::group`] and [`Group::homes`],
//! then [`select`] with a closure that reads the atomics of one replica. Only
//! candidates are read, regardless of the size of the group.

mod index;

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

pub use self::index::{Group, Homes, MAX_HOMES, PrefixHash, RouteIndex, Slot};
use crate::time::Time;

/// Time after which the weight of a load report has halved.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(10);
/// Fraction of the other nodes assumed to have sent as many requests as this
/// one since a report.
const OTHERS_SENT_FRACTION: f64 = 0.5;
/// Typical time for which a request runs on a replica.
const SERVICE_TIME_S: f64 = 10.0;
/// Cost of each request in the batch of a replica.
const RUNNING_COST_MS: f64 = 4.0;
/// Cost of each request in the queue of a replica.
const QUEUED_COST_MS: f64 = 60.0;
/// Cost of each prompt token that is not cached.
const PROMPT_TOKEN_COST_MS: f64 = 0.025;
/// Cost of a replica in another zone of the same region.
const OTHER_ZONE_COST_MS: f64 = 1.0;
/// Cost of a replica in another region.
const OTHER_REGION_COST_MS: f64 = 150.0;
/// Multiple of the typical load above which the home of the prefix is skipped.
const OVERLOADED_FACTOR: f64 = 1.25;
/// Requests in addition to this multiple that the home of a prefix may have.
const OVERLOADED_SLACK: f64 = 4.0;

/// Network distance between a replica and the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Distance {
    /// The replica is in the node's zone.
    #[default]
    SameZone,
    /// The replica is in another zone of the node's region.
    SameRegion,
    /// The replica is in another region.
    OtherRegion,
}

/// Whether a replica accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Health {
    /// The replica accepts requests.
    #[default]
    Usable,
    /// The replica accepts no requests: it is not routable, is shutting down,
    /// has an open circuit breaker, or was already tried.
    Unusable,
    /// The replica is ejected as a straggler and used only if there is no
    /// other.
    Ejected,
    /// The replica died recently.
    NewlyDead {
        /// Time from which all nodes know the requests that were in flight on
        /// the replica, so that the cause can be determined.
        settled_at: Time,
    },
}

/// Load of a replica as known to this node.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadView {
    /// Number of this node's requests on the replica now.
    pub own_in_flight: u32,
    /// Number of this node's requests on the replica when the report was
    /// requested.
    pub own_in_flight_at_report: u32,
    /// Reported number of requests of all nodes in the replica's batch.
    pub running: u32,
    /// Reported number of requests of all nodes in the replica's queue.
    pub queued: u32,
    /// Age of the report; `None` if there is no report.
    pub report_age: Option<Duration>,
    /// Maximum number of this node's requests on the replica.
    pub own_limit: u32,
}

/// State of one replica as known to this node.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ReplicaView {
    /// Whether the replica accepts requests.
    pub health: Health,
    /// Own, reported and maximum load.
    pub load: LoadView,
    /// Network distance from this node.
    pub distance: Distance,
}

/// Inputs of the selection in addition to the candidates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteRequest {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Average number of requests on a replica of the group, in batch and
    /// queue.
    pub typical_load: f64,
    /// Number of nodes that send to the group.
    pub nodes: u32,
}

/// Reason for which a replica was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Reason {
    /// It is the home of the prompt prefix and has the smaller estimated wait.
    #[display("it is the home of the prompt prefix")]
    PrefixHome,
    /// Its estimated wait is smaller than that of the other candidate.
    #[display("its estimated wait is the smallest of the candidates")]
    SmallerWait,
    /// No other candidate is usable.
    #[display("no other candidate is usable")]
    OnlyCandidate,
    /// It is a straggler, and all usable candidates are.
    #[display("every usable candidate is a straggler")]
    StragglerForWant,
}

/// Selected replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Position of the replica in the node's list.
    pub slot: Slot,
    /// Reason of the selection.
    pub reason: Reason,
    /// Estimated cost in milliseconds.
    pub cost_ms: f64,
}

/// Reason for which no replica was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum NoChoice {
    /// No candidate accepts requests.
    #[display("no candidate is routable")]
    NoneUsable,
    /// This node has reached its limit of requests on each candidate.
    #[display("every candidate is full")]
    AllFull,
    /// The candidates died recently, and the selection is to be repeated later.
    #[display("the candidates have just died, and the cause is not known yet")]
    Settle {
        /// Time at which to repeat the selection.
        until: Time,
    },
}

/// Selects one of the homes of a request. `view_of` returns the state of a
/// replica.
pub fn select(
    homes: &Homes<'_>,
    request: &RouteRequest,
    mut view_of: impl FnMut(Slot) -> ReplicaView,
) -> Result<Choice, NoChoice> {
    let mut pair = CandidatePair::default();
    let mut ejected = None;
    let mut full = false;
    for (rank, &slot) in homes.slots().iter().enumerate() {
        let view = view_of(slot);
        match view.health {
            Health::NewlyDead { settled_at } => {
                pair.add_dead(settled_at);
                if pair.is_complete() {
                    break;
                }
                continue;
            }
            Health::Unusable => continue,
            Health::Ejected => {
                ejected = ejected.or(Some((rank, slot, view)));
                continue;
            }
            Health::Usable => {}
        }
        if view.load.own_limit <= view.load.own_in_flight {
            full = true;
            continue;
        }
        if 0 < view.load.queued {
            homes.batch.add(view.load.running);
        }
        let is_prefix_home = rank == 0;
        let batch = homes.batch.get();
        let choice = choice(slot, &view, request, batch, is_prefix_home);
        if is_prefix_home && is_overloaded(&view.load, request, batch) {
            pair.skipped_home = Some(choice);
            continue;
        }
        pair.add(choice);
        if pair.is_complete() {
            break;
        }
    }
    if let Some(until) = pair.retry_at() {
        return Err(NoChoice::Settle { until });
    }
    if let Some(choice) = pair.best() {
        return Ok(choice);
    }
    match ejected {
        Some((rank, slot, view)) if view.load.own_in_flight < view.load.own_limit => {
            let choice = choice(slot, &view, request, homes.batch.get(), rank == 0);
            Ok(Choice { reason: Reason::StragglerForWant, ..choice })
        }
        Some(_) => Err(NoChoice::AllFull),
        None if full => Err(NoChoice::AllFull),
        None => Err(NoChoice::NoneUsable),
    }
}

/// Estimated number of requests on the replica now.
///
/// The requests that this node has sent since the report are known. The other
/// nodes use the same report, and a fraction of them is assumed to have sent as
/// many. As the report ages, the typical load replaces it.
pub fn estimate_load(load: &LoadView, request: &RouteRequest) -> f64 {
    let own = f64::from(load.own_in_flight);
    let Some(age) = load.report_age else { return own.max(request.typical_load) };
    let reported = f64::from(load.running + load.queued);
    let own_before = f64::from(load.own_in_flight_at_report);
    let others = (OTHERS_SENT_FRACTION * f64::from(request.nodes)).max(1.0);
    let trust = 0.5_f64.powf(age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64());
    let then = trust * reported + (1.0 - trust) * request.typical_load.max(own_before);
    let sent_since = (own - own_before) * others * trust;
    (then + sent_since).max(own)
}

fn is_overloaded(load: &LoadView, request: &RouteRequest, batch: Option<u32>) -> bool {
    let by_typical = request.typical_load * OVERLOADED_FACTOR + OVERLOADED_SLACK;
    let bound = batch.map_or(by_typical, |it| by_typical.min(f64::from(it)));
    bound < estimate_load(load, request)
}

/// Expected number of queued requests on a replica whose load is estimated as
/// `load`, given the error of a report of this age.
fn expected_queue(load: f64, batch: f64, report_age: Option<Duration>) -> f64 {
    let age_s = report_age.map_or(SERVICE_TIME_S, |it| it.as_secs_f64().min(SERVICE_TIME_S));
    let error = (2.0 * load * age_s / SERVICE_TIME_S).sqrt().max(1.0);
    error * ((load - batch) / error).exp().ln_1p()
}

fn choice(
    slot: Slot,
    view: &ReplicaView,
    request: &RouteRequest,
    batch: Option<u32>,
    is_prefix_home: bool,
) -> Choice {
    let uncached = if is_prefix_home { 0.0 } else { f64::from(request.prompt_tokens) };
    let load = estimate_load(&view.load, request);
    let queued = batch.map_or(0.0, |it| expected_queue(load, f64::from(it), view.load.report_age));
    let cost_ms = load * RUNNING_COST_MS
        + queued * QUEUED_COST_MS
        + uncached * PROMPT_TOKEN_COST_MS
        + distance_cost_ms(view.distance);
    let reason = if is_prefix_home { Reason::PrefixHome } else { Reason::SmallerWait };
    Choice { slot, reason, cost_ms }
}

fn distance_cost_ms(distance: Distance) -> f64 {
    match distance {
        Distance::SameZone => 0.0,
        Distance::SameRegion => OTHER_ZONE_COST_MS,
        Distance::OtherRegion => OTHER_REGION_COST_MS,
    }
}

/// The two candidates to compare, and the home of the prefix if it is skipped
/// because of its load.
///
/// A newly dead candidate counts as one of the two: the request may have
/// crashed it, and must not be sent to a third replica before the cause is
/// known.
#[derive(Debug, Default)]
struct CandidatePair {
    first: Option<Choice>,
    second: Option<Choice>,
    skipped_home: Option<Choice>,
    dead: usize,
    settled_at: Option<Time>,
}

impl CandidatePair {
    fn add(&mut self, choice: Choice) {
        match self.first {
            None => self.first = Some(choice),
            Some(_) => self.second = Some(choice),
        }
    }

    fn add_dead(&mut self, settled_at: Time) {
        self.dead += 1;
        self.settled_at = Some(self.settled_at.map_or(settled_at, |it| it.min(settled_at)));
    }

    fn is_complete(&self) -> bool {
        let alive = usize::from(self.first.is_some()) + usize::from(self.second.is_some());
        2 <= self.dead + alive
    }

    /// Time at which to repeat the selection, if only dead candidates remain.
    fn retry_at(&self) -> Option<Time> {
        let is_left = self.first.is_some() || self.dead < 2 && self.skipped_home.is_some();
        if is_left { None } else { self.settled_at }
    }

    fn best(self) -> Option<Choice> {
        match (self.first, self.second) {
            (Some(first), Some(second)) if second.cost_ms < first.cost_ms => Some(second),
            (Some(first), Some(_)) => Some(first),
            (Some(only), None) => Some(Choice { reason: Reason::OnlyCandidate, ..only }),
            (None, _) => self.skipped_home,
        }
    }
}

#[cfg(test)]
mod tests;
