//! Selects a replica for a request and acquires a permit on it.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use citrongw_protocol::{code::ResultCode, decision::Decision};
use citrongw_state::{
    breaker::BreakerState,
    crash_suspicion::{CrashSuspicions, Verdict},
    id::{Fingerprint, ReplicaId, RequestId},
    routing::{
        self, Distance, Group, Health, NoChoice, PrefixHash, ReplicaView, RouteRequest, Slot,
    },
    time::Time,
};

use super::{
    directory::CallerProfile,
    fleet::{Fleet, ReplicaPermit, TrackedReplica},
};
use crate::node::Shared;

/// Approximate number of prompt bytes per token.
const BYTES_PER_TOKEN: usize = 4;
/// Longest wait before the selection for a request is retried.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// Properties of a request that the selection depends on.
#[derive(Debug, Clone)]
pub(super) struct RouteCriteria {
    /// Id of the request.
    pub(super) request: RequestId,
    /// Profile of the caller.
    pub(super) profile: Arc<CallerProfile>,
    /// Fingerprint of the request content, equal for each resend.
    pub(super) fingerprint: Fingerprint,
    /// Hash of the beginning of the prompt.
    pub(super) prefix: PrefixHash,
    /// Estimated length of the prompt in tokens.
    pub(super) prompt_tokens: u32,
    /// Replicas that the request was already sent to.
    pub(super) tried: Vec<ReplicaId>,
}

/// Why no replica can be acquired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RouteError {
    /// All candidates are full.
    Full,
    /// The selection may be retried at this time.
    RetryAt(Time),
    /// The request fails with this code.
    Refused(ResultCode),
}

/// Estimates the number of tokens of a prompt.
pub(super) fn estimate_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len() / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX)
}

/// Returns the fingerprint of the request content.
pub(super) fn fingerprint(profile: &CallerProfile, prompt: &str, max_tokens: u32) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    hasher.update(profile.model.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(profile.adapter.as_ref().map_or("", |it| it.as_str()).as_bytes());
    hasher.update(&[0]);
    hasher.update(&max_tokens.to_le_bytes());
    hasher.update(prompt.as_bytes());
    let mut word = [0; 8];
    word.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    PrefixHash::of(prompt).fingerprint(u64::from_le_bytes(word))
}

/// Selects a replica for a request and acquires a permit on it.
pub(super) fn acquire_replica(
    shared: &Shared,
    criteria: &RouteCriteria,
) -> Result<ReplicaPermit, RouteError> {
    let fleet = shared.callers.fleet.get(&shared.replicas);
    let suspicions = shared.callers.suspects.current();
    let profile = &criteria.profile;
    let group =
        fleet.index.group(&profile.model, profile.version.as_ref(), profile.adapter.as_ref());
    let group = group.ok_or(RouteError::Refused(ResultCode::NoReplica))?;
    let selector = ReplicaSelector {
        shared,
        criteria,
        fleet: &fleet,
        suspicions: &suspicions,
        now: now(shared),
    };
    let slot = selector.choose(group)?;
    let replica = fleet.replica(slot);
    if let BreakerState::Open { .. } = replica.breaker.try_acquire(selector.now) {
        return Err(RouteError::RetryAt(selector.now + MAX_WAIT));
    }
    Ok(replica.begin_request(criteria.request, criteria.fingerprint))
}

fn now(shared: &Shared) -> Time {
    shared.clock.now()
}

/// State that one selection reads.
struct ReplicaSelector<'a> {
    shared: &'a Shared,
    criteria: &'a RouteCriteria,
    fleet: &'a Fleet,
    suspicions: &'a CrashSuspicions,
    now: Time,
}

impl ReplicaSelector<'_> {
    fn choose(&self, group: &Group) -> Result<Slot, RouteError> {
        let request = self.criteria.request;
        let health = |slot| self.health(self.fleet.replica(slot));
        match self.suspicions.verdict(self.criteria.fingerprint, group, self.now, health) {
            Verdict::NotSuspected => self.select(group),
            Verdict::Wait { until } => Err(RouteError::RetryAt(until.min(self.now + MAX_WAIT))),
            Verdict::Isolate { slot, deaths } => {
                let replica = self.fleet.replica(slot).entry.spec.id;
                let deaths = u32::try_from(deaths).unwrap_or(u32::MAX);
                self.shared.decisions.add(Decision::Isolated { request, replica, deaths });
                Ok(slot)
            }
            Verdict::Reject { deaths } => {
                let deaths = u32::try_from(deaths).unwrap_or(u32::MAX);
                self.shared.decisions.add(Decision::Contained { request, deaths });
                Err(RouteError::Refused(ResultCode::Suspected))
            }
        }
    }

    fn select(&self, group: &Group) -> Result<Slot, RouteError> {
        let homes = group.homes(self.criteria.prefix, self.criteria.fingerprint);
        let route = RouteRequest {
            prompt_tokens: self.criteria.prompt_tokens,
            typical_load: self.fleet.typical_load(&self.criteria.profile.model),
            nodes: u32::try_from(self.shared.nodes.alive().len()).unwrap_or(u32::MAX),
        };
        let request = self.criteria.request;
        match routing::select(&homes, &route, |slot| self.view(slot)) {
            Ok(choice) => {
                let replica = self.fleet.replica(choice.slot).entry.spec.id;
                let reason = choice.reason;
                self.shared.decisions.add(Decision::Chosen { request, replica, reason });
                Ok(choice.slot)
            }
            Err(NoChoice::AllFull) => Err(RouteError::Full),
            Err(NoChoice::Settle { until }) => {
                Err(RouteError::RetryAt(until.min(self.now + MAX_WAIT)))
            }
            Err(NoChoice::NoneUsable) => self.select_any_usable(group),
        }
    }

    /// Selects the least loaded usable replica of the group, for the case that none
    /// of the request's few home replicas is usable.
    fn select_any_usable(&self, group: &Group) -> Result<Slot, RouteError> {
        let slots = group.replicas().iter().map(|(_, slot)| *slot);
        let usable = slots.filter(|slot| self.health(self.fleet.replica(*slot)) == Health::Usable);
        let least = usable.min_by_key(|slot| self.fleet.replica(*slot).entry.in_flight());
        let Some(slot) = least else {
            let (request, reason) = (self.criteria.request, NoChoice::NoneUsable);
            self.shared.decisions.add(Decision::NotChosen { request, reason });
            return Err(RouteError::Refused(ResultCode::NoReplica));
        };
        let replica = self.fleet.replica(slot);
        if replica.limit.get() <= replica.entry.in_flight() {
            Err(RouteError::Full)
        } else {
            Ok(slot)
        }
    }

    fn view(&self, slot: Slot) -> ReplicaView {
        let replica = self.fleet.replica(slot);
        ReplicaView {
            health: self.health(replica),
            load: replica.load_view(self.now),
            distance: self.distance(replica),
        }
    }

    fn health(&self, replica: &TrackedReplica) -> Health {
        let spec = &replica.entry.spec;
        if self.criteria.tried.contains(&spec.id) {
            return Health::Unusable;
        }
        if let Some(settled_at) = self.suspicions.newly_dead(spec.id, self.now) {
            return Health::NewlyDead { settled_at };
        }
        let freshness = self.shared.settings.report_freshness;
        let is_open = || matches!(replica.breaker.state(self.now), BreakerState::Open { .. });
        if replica.entry.check_routable(self.now, freshness).is_err()
            || self.shared.callers.leaving.contains_any(&spec.members)
            || is_open()
        {
            return Health::Unusable;
        }
        match replica.is_ejected.load(Ordering::Relaxed) {
            true => Health::Ejected,
            false => Health::Usable,
        }
    }

    fn distance(&self, replica: &TrackedReplica) -> Distance {
        let settings = &self.shared.settings;
        if replica.entry.spec.zone == settings.zone {
            Distance::SameZone
        } else {
            Distance::SameRegion
        }
    }
}
