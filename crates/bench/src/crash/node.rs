//! One node of the crash bench: what it knows, and where it sends a request.

use citrongw_state::{
    crash_suspicion::{CrashSuspicions, Evidence, RecentSuccesses, Verdict},
    hash::mix_pair,
    id::{Fingerprint, ReplicaId},
    routing::{
        self, Group, Health, LoadView, NoChoice, PrefixHash, ReplicaView, RouteRequest, Slot,
    },
    time::Time,
};

/// What nodes do about requests that crash replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// As the node program does.
    Present,
    /// Nothing.
    NoContainment,
    /// Refuses whatever was in flight at a death.
    BlameAll,
    /// As the node program does, but any replica may be chosen.
    AnyReplica,
    /// As the node program does, but nobody waits for news of a death.
    NoWait,
}

impl Policy {
    /// Name in reports.
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

/// What a node does with a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Action {
    Send { replica: usize },
    Wait { until: Time },
    Refuse,
    NoReplica,
}

/// One node.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) own: Vec<u32>,
    pub(super) is_dead: Vec<bool>,
    pub(super) suspicions: CrashSuspicions,
    pub(super) completions: RecentSuccesses,
}

impl Node {
    pub(super) fn open(replicas: usize) -> Self {
        Self {
            own: vec![0; replicas],
            is_dead: vec![false; replicas],
            suspicions: CrashSuspicions::default(),
            completions: RecentSuccesses::default(),
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

    /// Takes in evidence unless the request has succeeded lately.
    pub(super) fn add(&mut self, evidence: Evidence, now: Time) {
        if !self.completions.is_recent(evidence.fingerprint, now) {
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
        let load: u32 = self.own.iter().sum();
        let request = RouteRequest {
            prompt_tokens: 0,
            typical_load: f64::from(load) / self.own.len() as f64,
            nodes: 1,
        };
        match routing::select(&homes, &request, |slot| self.look(policy, slot, now)) {
            Ok(choice) => Action::Send { replica: choice.slot.idx() },
            Err(NoChoice::Settle { until }) => Action::Wait { until },
            Err(NoChoice::NoneUsable | NoChoice::AllFull) => Action::NoReplica,
        }
    }

    /// A replica that differs from node to node and from try to try.
    fn any_replica(&self, fingerprint: Fingerprint, now: Time) -> Action {
        let len = self.own.len();
        let own: u32 = self.own.iter().sum();
        let seed = mix_pair(fingerprint.0 as u64 ^ u64::from(own), now.0.as_nanos() as u64);
        let start = (seed % len as u64) as usize;
        let by_turn = (0..len).map(|step| (start + step) % len);
        let found = by_turn.into_iter().find(|idx| !self.is_dead[*idx]);
        found.map_or(Action::NoReplica, |replica| Action::Send { replica })
    }

    fn look(&self, policy: Policy, slot: Slot, now: Time) -> ReplicaView {
        let load = LoadView {
            own_in_flight: self.own[slot.idx()],
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
