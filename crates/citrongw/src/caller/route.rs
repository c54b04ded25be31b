//! Choice of a replica for a request, with a place taken on it.

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
    fleet::{Fleet, Placed, Side},
};
use crate::node::Shared;

/// Bytes of a prompt that make up a token, about.
const BYTES_PER_TOKEN: usize = 4;
/// Longest wait before a request that waits for news asks again.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// What the choice depends on.
#[derive(Debug, Clone)]
pub(super) struct Want {
    /// The request.
    pub(super) request: RequestId,
    /// Profile that it runs under.
    pub(super) profile: Arc<CallerProfile>,
    /// What it asks for, alike for each resend.
    pub(super) fingerprint: Fingerprint,
    /// Head of its prompt.
    pub(super) prefix: PrefixHash,
    /// Length of its prompt.
    pub(super) prompt_tokens: u32,
    /// Replicas that it was tried on.
    pub(super) tried: Vec<ReplicaId>,
}

/// Why there is no place now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NoPlace {
    /// All candidates are full.
    Full,
    /// It may be asked again at a time.
    Wait(Time),
    /// There will be none.
    Refused(ResultCode),
}

/// Tokens of a prompt, about.
pub(super) fn count_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len() / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX)
}

/// Digest of what a request asks for.
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

/// Takes a place for a request on a replica.
pub(super) fn take_place(shared: &Shared, want: &Want) -> Result<Placed, NoPlace> {
    let fleet = shared.callers.fleet.get(&shared.replicas);
    let suspicions = shared.callers.suspects.current();
    let profile = &want.profile;
    let group =
        fleet.index.group(&profile.model, profile.version.as_ref(), profile.adapter.as_ref());
    let group = group.ok_or(NoPlace::Refused(ResultCode::NoReplica))?;
    let look = Looker { shared, want, fleet: &fleet, suspicions: &suspicions, now: now(shared) };
    let slot = look.choose(group)?;
    let side = fleet.side(slot);
    if let BreakerState::Open { .. } = side.breaker.try_acquire(look.now) {
        return Err(NoPlace::Wait(look.now + MAX_WAIT));
    }
    Ok(side.place(want.request, want.fingerprint))
}

fn now(shared: &Shared) -> Time {
    shared.clock.now()
}

/// What a choice looks at.
struct Looker<'a> {
    shared: &'a Shared,
    want: &'a Want,
    fleet: &'a Fleet,
    suspicions: &'a CrashSuspicions,
    now: Time,
}

impl Looker<'_> {
    fn choose(&self, group: &Group) -> Result<Slot, NoPlace> {
        let request = self.want.request;
        let health = |slot| self.health(self.fleet.side(slot));
        match self.suspicions.verdict(self.want.fingerprint, group, self.now, health) {
            Verdict::NotSuspected => self.select(group),
            Verdict::Wait { until } => Err(NoPlace::Wait(until.min(self.now + MAX_WAIT))),
            Verdict::Isolate { slot, deaths } => {
                let replica = self.fleet.side(slot).entry.spec.id;
                let deaths = u32::try_from(deaths).unwrap_or(u32::MAX);
                self.shared.decisions.add(Decision::Isolated { request, replica, deaths });
                Ok(slot)
            }
            Verdict::Reject { deaths } => {
                let deaths = u32::try_from(deaths).unwrap_or(u32::MAX);
                self.shared.decisions.add(Decision::Contained { request, deaths });
                Err(NoPlace::Refused(ResultCode::Suspected))
            }
        }
    }

    fn select(&self, group: &Group) -> Result<Slot, NoPlace> {
        let homes = group.homes(self.want.prefix, self.want.fingerprint);
        let route = RouteRequest {
            prompt_tokens: self.want.prompt_tokens,
            typical_load: self.fleet.typical_load(&self.want.profile.model),
            nodes: u32::try_from(self.shared.nodes.alive().len()).unwrap_or(u32::MAX),
        };
        let request = self.want.request;
        match routing::select(&homes, &route, |slot| self.look(slot)) {
            Ok(choice) => {
                let replica = self.fleet.side(choice.slot).entry.spec.id;
                let reason = choice.reason;
                self.shared.decisions.add(Decision::Chosen { request, replica, reason });
                Ok(choice.slot)
            }
            Err(NoChoice::AllFull) => Err(NoPlace::Full),
            Err(NoChoice::Settle { until }) => Err(NoPlace::Wait(until.min(self.now + MAX_WAIT))),
            Err(NoChoice::NoneUsable) => self.any_usable(group),
        }
    }

    /// Homes are a few of the group; when none of them can be used, any other
    /// replica serves.
    fn any_usable(&self, group: &Group) -> Result<Slot, NoPlace> {
        let slots = group.replicas().iter().map(|(_, slot)| *slot);
        let usable = slots.filter(|slot| self.health(self.fleet.side(*slot)) == Health::Usable);
        let least = usable.min_by_key(|slot| self.fleet.side(*slot).entry.in_flight());
        let Some(slot) = least else {
            let (request, reason) = (self.want.request, NoChoice::NoneUsable);
            self.shared.decisions.add(Decision::NotChosen { request, reason });
            return Err(NoPlace::Refused(ResultCode::NoReplica));
        };
        let side = self.fleet.side(slot);
        if side.limit.get() <= side.entry.in_flight() { Err(NoPlace::Full) } else { Ok(slot) }
    }

    fn look(&self, slot: Slot) -> ReplicaView {
        let side = self.fleet.side(slot);
        ReplicaView {
            health: self.health(side),
            load: side.load_view(self.now),
            distance: self.distance(side),
        }
    }

    fn health(&self, side: &Side) -> Health {
        let spec = &side.entry.spec;
        if self.want.tried.contains(&spec.id) {
            return Health::Unusable;
        }
        if let Some(settled_at) = self.suspicions.newly_dead(spec.id, self.now) {
            return Health::NewlyDead { settled_at };
        }
        let freshness = self.shared.settings.report_freshness;
        let is_open = || matches!(side.breaker.state(self.now), BreakerState::Open { .. });
        if side.entry.check_routable(self.now, freshness).is_err()
            || self.shared.callers.leaving.contains_any(&spec.members)
            || is_open()
        {
            return Health::Unusable;
        }
        match side.is_ejected.load(Ordering::Relaxed) {
            true => Health::Ejected,
            false => Health::Usable,
        }
    }

    fn distance(&self, side: &Side) -> Distance {
        let settings = &self.shared.settings;
        if side.entry.spec.zone == settings.zone {
            Distance::SameZone
        } else {
            Distance::SameRegion
        }
    }
}
