//! One node of the crash bench: its state and where it sends a request.

use citrongw_state::{
    crash_suspicion::{CrashSuspicions, Evidence, RecentSuccesses, Verdict},
    hash::mix_pair,
    id::{Fingerprint, ReplicaId},
    routing::{
        self, Group, Health, LoadView, NoChoice, PrefixHash, ReplicaView, RouteRequest, Slot,
    },
    time::Time,
};

/// How nodes handle requests that crash replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Behaves as the production node does.
    Present,
    /// No containment.
    NoContainment,
    /// Refuses every request that was in flight on a replica that died.
    BlameAll,
    /// Behaves as the production node does, but any replica may be chosen.
    AnyReplica,
    /// Behaves as the production node does, but doesn't wait for gossip items
    /// about a death.
    NoWait,
}

impl Policy {
    /// Policy name in the bench output.
    pub fn name(self) -> &'static str {
        match self {
            Self::Present => "present",
            Self::NoContainment => "no_containment",
            Self::BlameAll => "blame_all",
            Self::AnyReplica => "any_replica",
            Self::NoWait => "no_wait",
        }
    }
}

/// Decision of a node on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Action {
    Send { replica: usize },
    Wait { until: Time },
    Refuse,
    NoReplica,
}

/// State of one simulated node.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) own_in_flight: Vec<u32>,
    pub(super) is_dead: Vec<bool>,
    pub(super) suspicions: CrashSuspicions,
    pub(super) recent_successes: RecentSuccesses,
}

impl Node {
    pub(super) fn open(replicas: usize) -> Self {
        Self {
            own_in_flight: vec![0; replicas],
            is_dead: vec![false; replicas],
            suspicions: CrashSuspicions::default(),
            recent_successes: RecentSuccesses::default(),
        }
    }

    pub(super) fn decide(
        &self,
        policy: Policy,
        group: &Group,
        prefix: u64,
        fingerprint: Fingerprint,
        now: Time,
    ) -> Action {
        let health = |slot| self.health(policy, slot, now);
        let verdict = match policy {
            Policy::BlameAll if self.suspicions.is_suspected(fingerprint) => return Action::Refuse,
            Policy::BlameAll | Policy::NoContainment => Verdict::NotSuspected,
            Policy::Present | Policy::AnyReplica | Policy::NoWait => {
                self.suspicions.verdict(fingerprint, group, now, health)
            }
        };
        match verdict {
            Verdict::NotSuspected => self.route(policy, group, prefix, fingerprint, now),
            Verdict::Isolate { slot, .. } => Action::Send { replica: slot.idx() },
            Verdict::Wait { until } => Action::Wait { until },
            Verdict::Reject { .. } => Action::Refuse,
        }
    }

    /// Adds crash evidence unless the request has succeeded recently.
    pub(super) fn add_evidence(&mut self, evidence: Evidence, now: Time) {
        if !self.recent_successes.is_recent(evidence.fingerprint, now) {
            self.suspicions.add_evidence(evidence, now);
        }
    }

    fn route(
        &self,
        policy: Policy,
        group: &Group,
        prefix: u64,
        fingerprint: Fingerprint,
        now: Time,
    ) -> Action {
        if policy == Policy::AnyReplica {
            return self.any_replica(fingerprint, now);
        }
        let homes = group.homes(PrefixHash(prefix), fingerprint);
        let load: u32 = self.own_in_flight.iter().sum();
        let request = RouteRequest {
            prompt_tokens: 0,
            typical_load: f64::from(load) / self.own_in_flight.len() as f64,
            nodes: 1,
        };
        match routing::select(&homes, &request, |slot| self.replica_view(policy, slot, now)) {
            Ok(choice) => Action::Send { replica: choice.slot.idx() },
            Err(NoChoice::Settle { until }) => Action::Wait { until },
            Err(NoChoice::NoneUsable | NoChoice::AllFull) => Action::NoReplica,
        }
    }

    /// Chooses a replica that varies by node and by attempt.
    fn any_replica(&self, fingerprint: Fingerprint, now: Time) -> Action {
        let len = self.own_in_flight.len();
        let own: u32 = self.own_in_flight.iter().sum();
        let seed = mix_pair(fingerprint.0 as u64 ^ u64::from(own), now.0.as_nanos() as u64);
        let start = (seed % len as u64) as usize;
        let rotated = (0..len).map(|step| (start + step) % len);
        let found = rotated.into_iter().find(|idx| !self.is_dead[*idx]);
        found.map_or(Action::NoReplica, |replica| Action::Send { replica })
    }

    fn replica_view(&self, policy: Policy, slot: Slot, now: Time) -> ReplicaView {
        let load = LoadView {
            own_in_flight: self.own_in_flight[slot.idx()],
            own_limit: u32::MAX,
            ..LoadView::default()
        };
        ReplicaView { health: self.health(policy, slot, now), load, ..ReplicaView::default() }
    }

    fn health(&self, policy: Policy, slot: Slot, now: Time) -> Health {
        let waits = matches!(policy, Policy::Present | Policy::AnyReplica);
        let newly_dead = self.suspicions.newly_dead(ReplicaId(u64::from(slot.0)), now);
        match newly_dead.filter(|_| waits) {
            Some(settled_at) => Health::NewlyDead { settled_at },
            None if self.is_dead[slot.idx()] => Health::Unusable,
            None => Health::Usable,
        }
    }
}
