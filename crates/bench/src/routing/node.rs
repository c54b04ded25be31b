//! One node of the routing bench: what it knows, and how it chooses.

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

/// How nodes choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// As the node program does.
    Present,
    /// The same without ejecting stragglers.
    NoEjection,
    /// One replica after the other.
    RoundRobin,
    /// The replica with the least of the node's own requests.
    LeastOutstanding,
    /// The replica with the least reported load.
    LeastReported,
}

impl Policy {
    /// Name in reports.
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

/// Load of a replica as told to a node.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct HeardLoad {
    pub(super) running: u32,
    pub(super) queued: u32,
    pub(super) own_then: u32,
    pub(super) at: Time,
}

/// What a request looks like to a node.
#[derive(Debug, Clone, Copy)]
pub(super) struct Asked {
    pub(super) prefix: u64,
    pub(super) fingerprint: Fingerprint,
    pub(super) prompt_tokens: u32,
}

/// One node.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) zone: usize,
    pub(super) own: Vec<u32>,
    pub(super) heard: Vec<Option<HeardLoad>>,
    pub(super) times: Vec<TokenIntervals>,
    detector: Detector,
    ejected: Vec<bool>,
    typical_load: f64,
    turn: usize,
}

impl Node {
    pub(super) fn open(zone: usize, replicas: usize, rng: &mut SmallRng) -> Self {
        Self {
            zone,
            own: vec![0; replicas],
            heard: vec![None; replicas],
            times: (0..replicas).map(|_| TokenIntervals::default()).collect(),
            detector: Detector::default(),
            ejected: vec![false; replicas],
            typical_load: 0.0,
            turn: rng.random_range(0..replicas),
        }
    }

    /// Chooses a replica.
    pub(super) fn choose(
        &mut self,
        policy: Policy,
        world: &World<'_>,
        asked: &Asked,
        rng: &mut SmallRng,
    ) -> Result<usize, NoChoice> {
        let len = self.own.len();
        match policy {
            Policy::Present | Policy::NoEjection => self.choose_present(policy, world, asked),
            Policy::RoundRobin => {
                self.turn = (self.turn + 1) % len;
                Ok(self.turn)
            }
            Policy::LeastOutstanding => Ok(least(len, rng, |idx| self.own[idx])),
            Policy::LeastReported => {
                Ok(least(len, rng, |idx| self.heard[idx].map_or(0, |it| it.running + it.queued)))
            }
        }
    }

    fn choose_present(
        &self,
        policy: Policy,
        world: &World<'_>,
        asked: &Asked,
    ) -> Result<usize, NoChoice> {
        let homes = world.group.homes(PrefixHash(asked.prefix), asked.fingerprint);
        let request = RouteRequest {
            prompt_tokens: asked.prompt_tokens,
            typical_load: self.typical_load,
            nodes: world.nodes,
        };
        let look = |slot: Slot| self.look(slot.idx(), policy, world);
        routing::select(&homes, &request, look).map(|it| it.slot.idx())
    }

    fn look(&self, idx: usize, policy: Policy, world: &World<'_>) -> ReplicaView {
        let heard = self.heard[idx];
        let is_ejected = self.ejected[idx] && policy == Policy::Present;
        ReplicaView {
            health: if is_ejected { Health::Ejected } else { Health::Usable },
            load: LoadView {
                own_in_flight: self.own[idx],
                own_in_flight_at_report: heard.map_or(0, |it| it.own_then),
                running: heard.map_or(0, |it| it.running),
                queued: heard.map_or(0, |it| it.queued),
                report_age: heard.map(|it| world.now.since(it.at)),
                own_limit: u32::MAX,
            },
            distance: match world.zones[idx] == self.zone {
                true => Distance::SameZone,
                false => Distance::SameRegion,
            },
        }
    }

    /// Judges stragglers and takes the mean of what is reported.
    pub(super) fn tick(&mut self, now: Time) {
        let seen = self.times.iter().zip(0..);
        let group: Vec<_> = seen.map(|(times, id)| (ReplicaId(id), times.observe())).collect();
        for (id, change) in self.detector.tick(&group, now) {
            let idx = id.0 as usize;
            self.ejected[idx] = matches!(change, EjectionChange::Eject { .. });
            if change == EjectionChange::Try {
                self.times[idx].reset();
            }
        }
        let reported = self.heard.iter().flatten();
        let (sum, count) =
            reported.fold((0, 0), |(sum, count), it| (sum + it.running + it.queued, count + 1));
        self.typical_load = f64::from(sum) / f64::from(count.max(1));
    }

    /// Takes in the time between tokens of a stream.
    pub(super) fn add_pace(&self, idx: usize, between_tokens_s: f64) {
        self.times[idx].add(Duration::from_secs_f64(between_tokens_s));
    }
}

/// What all nodes know alike.
#[derive(Debug)]
pub(super) struct World<'a> {
    pub(super) group: &'a Group,
    pub(super) zones: &'a [usize],
    pub(super) nodes: u32,
    pub(super) now: Time,
}

/// Index of the least value; ties are broken at random.
fn least(len: usize, rng: &mut SmallRng, value: impl Fn(usize) -> u32) -> usize {
    let start = rng.random_range(0..len);
    let by_turn = (0..len).map(|step| (start + step) % len);
    by_turn.min_by_key(|idx| value(*idx)).unwrap_or_default()
}
