//! One node of the routing bench: its state and its routing policy.

use std::time::Duration;

use citrongw_state::{
    id::{Fingerprint, ReplicaId},
    routing::{
        self, Distance, Group, Health, LoadView, NoChoice, PrefixHash, ReplicaView, RouteRequest,
        Slot,
    },
    straggler::{Detector, EjectionChange, TokenIntervals},
    time::Time,
};
use rand::{Rng, rngs::SmallRng};

/// Routing policy of the nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Behaves as the production node does.
    Present,
    /// Behaves as the production node does, without ejecting stragglers.
    NoEjection,
    /// Round-robin over the replicas.
    RoundRobin,
    /// The replica with the fewest requests in flight from this node.
    LeastOutstanding,
    /// The replica with the lowest reported load.
    LeastReported,
}

impl Policy {
    /// Policy name in the bench output.
    pub fn name(self) -> &'static str {
        match self {
            Self::Present => "present",
            Self::NoEjection => "no_ejection",
            Self::RoundRobin => "round_robin",
            Self::LeastOutstanding => "least_outstanding",
            Self::LeastReported => "least_reported",
        }
    }
}

/// Load of a replica as last reported to a node.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct ReceivedLoad {
    pub(super) running: u32,
    pub(super) queued: u32,
    pub(super) own_in_flight_at_report: u32,
    pub(super) at: Time,
}

/// Properties of a request that a node uses for routing.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestInfo {
    pub(super) prefix: u64,
    pub(super) fingerprint: Fingerprint,
    pub(super) prompt_tokens: u32,
}

/// State of one simulated node.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) zone: usize,
    pub(super) own_in_flight: Vec<u32>,
    pub(super) reports: Vec<Option<ReceivedLoad>>,
    pub(super) token_intervals: Vec<TokenIntervals>,
    detector: Detector,
    ejected: Vec<bool>,
    typical_load: f64,
    next_idx: usize,
}

impl Node {
    pub(super) fn open(zone: usize, replicas: usize, rng: &mut SmallRng) -> Self {
        Self {
            zone,
            own_in_flight: vec![0; replicas],
            reports: vec![None; replicas],
            token_intervals: (0..replicas).map(|_| TokenIntervals::default()).collect(),
            detector: Detector::default(),
            ejected: vec![false; replicas],
            typical_load: 0.0,
            next_idx: rng.random_range(0..replicas),
        }
    }

    /// Chooses a replica for a request.
    pub(super) fn choose(
        &mut self,
        policy: Policy,
        shared: &SharedView<'_>,
        info: &RequestInfo,
        rng: &mut SmallRng,
    ) -> Result<usize, NoChoice> {
        let len = self.own_in_flight.len();
        match policy {
            Policy::Present | Policy::NoEjection => self.choose_present(policy, shared, info),
            Policy::RoundRobin => {
                self.next_idx = (self.next_idx + 1) % len;
                Ok(self.next_idx)
            }
            Policy::LeastOutstanding => Ok(least(len, rng, |idx| self.own_in_flight[idx])),
            Policy::LeastReported => {
                Ok(least(len, rng, |idx| self.reports[idx].map_or(0, |it| it.running + it.queued)))
            }
        }
    }

    fn choose_present(
        &self,
        policy: Policy,
        shared: &SharedView<'_>,
        info: &RequestInfo,
    ) -> Result<usize, NoChoice> {
        let homes = shared.group.homes(PrefixHash(info.prefix), info.fingerprint);
        let request = RouteRequest {
            prompt_tokens: info.prompt_tokens,
            typical_load: self.typical_load,
            nodes: shared.nodes,
        };
        let view = |slot: Slot| self.replica_view(slot.idx(), policy, shared);
        routing::select(&homes, &request, view).map(|it| it.slot.idx())
    }

    fn replica_view(&self, idx: usize, policy: Policy, shared: &SharedView<'_>) -> ReplicaView {
        let report = self.reports[idx];
        let is_ejected = self.ejected[idx] && policy == Policy::Present;
        ReplicaView {
            health: if is_ejected { Health::Ejected } else { Health::Usable },
            load: LoadView {
                own_in_flight: self.own_in_flight[idx],
                own_in_flight_at_report: report.map_or(0, |it| it.own_in_flight_at_report),
                running: report.map_or(0, |it| it.running),
                queued: report.map_or(0, |it| it.queued),
                report_age: report.map(|it| shared.now.since(it.at)),
                own_limit: u32::MAX,
            },
            distance: match shared.zones[idx] == self.zone {
                true => Distance::SameZone,
                false => Distance::SameRegion,
            },
        }
    }

    /// Updates straggler ejections and the typical load from the reported
    /// loads.
    pub(super) fn tick(&mut self, now: Time) {
        let seen = self.token_intervals.iter().zip(0..);
        let group: Vec<_> =
            seen.map(|(token_intervals, id)| (ReplicaId(id), token_intervals.observe())).collect();
        for (id, change) in self.detector.tick(&group, now) {
            let idx = id.0 as usize;
            self.ejected[idx] = matches!(change, EjectionChange::Eject { .. });
            if change == EjectionChange::Try {
                self.token_intervals[idx].reset();
            }
        }
        let reported = self.reports.iter().flatten();
        let (sum, count) =
            reported.fold((0, 0), |(sum, count), it| (sum + it.running + it.queued, count + 1));
        self.typical_load = f64::from(sum) / f64::from(count.max(1));
    }

    /// Records the time between tokens of a stream.
    pub(super) fn add_token_interval(&self, idx: usize, between_tokens_s: f64) {
        self.token_intervals[idx].add(Duration::from_secs_f64(between_tokens_s));
    }
}

/// Information that all nodes share.
#[derive(Debug)]
pub(super) struct SharedView<'a> {
    pub(super) group: &'a Group,
    pub(super) zones: &'a [usize],
    pub(super) nodes: u32,
    pub(super) now: Time,
}

/// Index of the smallest value; ties are broken at random.
fn least(len: usize, rng: &mut SmallRng, value: impl Fn(usize) -> u32) -> usize {
    let start = rng.random_range(0..len);
    let rotated = (0..len).map(|step| (start + step) % len);
    rotated.min_by_key(|idx| value(*idx)).unwrap_or_default()
}
