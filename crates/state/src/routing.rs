//! Choice of a replica for a request.
//!
//! A request has a few candidates, all of them functions of the request alone:
//! the home of its prompt prefix, then homes of its fingerprint. Each node
//! comes to the same candidates, so a prompt prefix is cached in few places,
//! and copies of one request that arrive through different nodes meet on the
//! same two replicas. Between the first two usable candidates the smaller
//! estimated wait decides. Different requests have different second homes,
//! which spreads the load as random choices would: nodes that decide on the
//! same stale report do not all turn to the replica that looked idle in it.
//!
//! How a node drives it: build a [`RouteIndex`] whenever the replica list
//! changes and swap it in; on a request take [`RouteIndex::group`] and
//! [`Group::homes`], then [`select`] with a closure that reads the atomics of
//! one replica. Only candidates are looked at, whatever the size of the group.

mod index;

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

pub use self::index::{Group, Homes, MAX_HOMES, PrefixHash, RouteIndex, Slot};
use crate::time::Time;

/// Time after which half of a load report is held for outdated.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(10);
/// Share of the other nodes taken to have acted like this one since a report.
const OTHERS_ALIKE: f64 = 0.5;
/// Usual time that a request stays on a replica.
const SERVICE_S: f64 = 10.0;
/// Cost of one more request in the batch of a replica.
const RUNNING_COST_MS: f64 = 4.0;
/// Cost of one more request in the queue of a replica.
const QUEUED_COST_MS: f64 = 60.0;
/// Cost of a prompt token that is not cached.
const PROMPT_TOKEN_COST_MS: f64 = 0.025;
/// Cost of another zone of the same region.
const OTHER_ZONE_COST_MS: f64 = 1.0;
/// Cost of another region.
const OTHER_REGION_COST_MS: f64 = 150.0;
/// Load against the typical one from which the prefix's home is passed over.
const OVERLOADED_FACTOR: f64 = 1.25;
/// Requests beyond the typical load that a prefix's home may always have.
const OVERLOADED_SLACK: f64 = 4.0;

/// How far a replica is from the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Distance {
    /// In the node's zone.
    #[default]
    SameZone,
    /// In another zone of the node's region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// Whether a replica takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Health {
    /// Takes requests.
    #[default]
    Usable,
    /// Takes none: not routable, leaving, its breaker open, or tried already.
    Unusable,
    /// Ejected as a straggler: only if there is no other.
    Ejected,
    /// Died a short while ago; what killed it is known from `settled_at` on.
    NewlyDead {
        /// When news of the requests in flight on it has reached all nodes.
        settled_at: Time,
    },
}

/// Load of a replica as this node knows it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadView {
    /// This node's requests on it, now.
    pub own_in_flight: u32,
    /// This node's requests on it when the report was asked for.
    pub own_in_flight_at_report: u32,
    /// Requests of all nodes in its batch, as reported.
    pub running: u32,
    /// Requests of all nodes in its queue, as reported.
    pub queued: u32,
    /// Age of the report; none if there is no report.
    pub report_age: Option<Duration>,
    /// Most requests that this node may have on it.
    pub own_limit: u32,
}

/// What a node sees of one replica.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ReplicaView {
    /// Whether it takes requests.
    pub health: Health,
    /// Its load.
    pub load: LoadView,
    /// How far it is.
    pub distance: Distance,
}

/// What the choice depends on beside the candidates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteRequest {
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Requests on a replica of the group, batch and queue, on average.
    pub typical_load: f64,
    /// Nodes that send to the group.
    pub nodes: u32,
}

/// Why a replica was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Reason {
    /// Home of the prompt prefix, with the smaller wait.
    #[display("it is the home of the prompt prefix")]
    PrefixHome,
    /// Smaller estimated wait than the other candidate.
    #[display("its estimated wait is the smallest of the candidates")]
    SmallerWait,
    /// No other candidate could be used.
    #[display("no other candidate is usable")]
    OnlyCandidate,
    /// Straggler, for want of another.
    #[display("every usable candidate is a straggler")]
    StragglerForWant,
}

/// Chosen replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// The replica's place in the node's list.
    pub slot: Slot,
    /// Why.
    pub reason: Reason,
    /// Estimated cost in milliseconds.
    pub cost_ms: f64,
}

/// Why no replica was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum NoChoice {
    /// No candidate takes requests.
    #[display("no candidate is routable")]
    NoneUsable,
    /// This node has as many requests on each candidate as it may have.
    #[display("every candidate is full")]
    AllFull,
    /// The candidates have just died: ask again at `until`.
    #[display("the candidates have just died, and the cause is not known yet")]
    Settle {
        /// When to ask again.
        until: Time,
    },
}

/// Chooses among the homes of a request. `look` reads one replica.
pub fn select(
    homes: &Homes<'_>,
    request: &RouteRequest,
    mut look: impl FnMut(Slot) -> ReplicaView,
) -> Result<Choice, NoChoice> {
    let mut pair = Pair::default();
    let mut ejected = None;
    let mut full = false;
    for (rank, &slot) in homes.slots().iter().enumerate() {
        let seen = look(slot);
        match seen.health {
            Health::NewlyDead { settled_at } => {
                pair.add_dead(settled_at);
                if pair.is_complete() {
                    break;
                }
                continue;
            }
            Health::Unusable => continue,
            Health::Ejected => {
                ejected = ejected.or(Some((rank, slot, seen)));
                continue;
            }
            Health::Usable => {}
        }
        if seen.load.own_limit <= seen.load.own_in_flight {
            full = true;
            continue;
        }
        if 0 < seen.load.queued {
            homes.batch.add(seen.load.running);
        }
        let is_prefix_home = rank == 0;
        let batch = homes.batch.get();
        let choice = choice(slot, &seen, request, batch, is_prefix_home);
        if is_prefix_home && is_overloaded(&seen.load, request, batch) {
            pair.spare = Some(choice);
            continue;
        }
        pair.add(choice);
        if pair.is_complete() {
            break;
        }
    }
    if let Some(until) = pair.settles_at() {
        return Err(NoChoice::Settle { until });
    }
    if let Some(choice) = pair.best() {
        return Ok(choice);
    }
    match ejected {
        Some((rank, slot, seen)) if seen.load.own_in_flight < seen.load.own_limit => {
            let choice = choice(slot, &seen, request, homes.batch.get(), rank == 0);
            Ok(Choice { reason: Reason::StragglerForWant, ..choice })
        }
        Some(_) => Err(NoChoice::AllFull),
        None if full => Err(NoChoice::AllFull),
        None => Err(NoChoice::NoneUsable),
    }
}

/// Requests on the replica now, as far as can be told.
///
/// What this node sent since the report is known. The other nodes saw the same
/// report, and are taken to have acted alike in part. With its age the report
/// gives way to the typical load.
pub fn estimate_load(load: &LoadView, request: &RouteRequest) -> f64 {
    let own = f64::from(load.own_in_flight);
    let Some(age) = load.report_age else { return own.max(request.typical_load) };
    let reported = f64::from(load.running + load.queued);
    let own_then = f64::from(load.own_in_flight_at_report);
    let others = (OTHERS_ALIKE * f64::from(request.nodes)).max(1.0);
    let trust = 0.5_f64.powf(age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64());
    let then = trust * reported + (1.0 - trust) * request.typical_load.max(own_then);
    let sent_since = (own - own_then) * others * trust;
    (then + sent_since).max(own)
}

fn is_overloaded(load: &LoadView, request: &RouteRequest, batch: Option<u32>) -> bool {
    let by_typical = request.typical_load * OVERLOADED_FACTOR + OVERLOADED_SLACK;
    let bound = batch.map_or(by_typical, |it| by_typical.min(f64::from(it)));
    bound < estimate_load(load, request)
}

/// Requests that wait on a replica whose load is `load` within the error of a
/// report of this age.
fn expected_queue(load: f64, batch: f64, report_age: Option<Duration>) -> f64 {
    let age_s = report_age.map_or(SERVICE_S, |it| it.as_secs_f64().min(SERVICE_S));
    let error = (2.0 * load * age_s / SERVICE_S).sqrt().max(1.0);
    error * ((load - batch) / error).exp().ln_1p()
}

fn choice(
    slot: Slot,
    seen: &ReplicaView,
    request: &RouteRequest,
    batch: Option<u32>,
    is_prefix_home: bool,
) -> Choice {
    let uncached = if is_prefix_home { 0.0 } else { f64::from(request.prompt_tokens) };
    let load = estimate_load(&seen.load, request);
    let queued = batch.map_or(0.0, |it| expected_queue(load, f64::from(it), seen.load.report_age));
    let cost_ms = load * RUNNING_COST_MS
        + queued * QUEUED_COST_MS
        + uncached * PROMPT_TOKEN_COST_MS
        + distance_cost_ms(seen.distance);
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

/// The two candidates that are weighed, and the prefix's home if it is passed
/// over for its load.
///
/// A newly dead candidate keeps its place: the request may be what killed it,
/// and must not go on to a third replica before that is known.
#[derive(Debug, Default)]
struct Pair {
    first: Option<Choice>,
    second: Option<Choice>,
    spare: Option<Choice>,
    dead: usize,
    settled_at: Option<Time>,
}

impl Pair {
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

    /// When to ask again, if no candidate but dead ones is left.
    fn settles_at(&self) -> Option<Time> {
        let is_left = self.first.is_some() || self.dead < 2 && self.spare.is_some();
        if is_left { None } else { self.settled_at }
    }

    fn best(self) -> Option<Choice> {
        match (self.first, self.second) {
            (Some(first), Some(second)) if second.cost_ms < first.cost_ms => Some(second),
            (Some(first), Some(_)) => Some(first),
            (Some(only), None) => Some(Choice { reason: Reason::OnlyCandidate, ..only }),
            (None, _) => self.spare,
        }
    }
}

#[cfg(test)]
mod tests;
