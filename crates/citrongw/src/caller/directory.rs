//! Callers by key, derived from the configuration in force, so that the request
//! path needs neither a scan of the configuration nor a copy of it.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use arc_swap::ArcSwapOption;
use citrongw_coordination::config::VersionedConfig;
use citrongw_protocol::code::ResultCode;
use citrongw_state::{
    config::{KeyDigest, Profile},
    id::{OrganisationId, ProfileId, Revision, ServiceId},
    time::Time,
};
use derive_more::Deref;

use super::{
    limits::{Limits, OrganisationLimit},
    queue::{GroupKey, GroupQueue},
    refusal::Failure,
};

/// Caller identified by its key.
#[derive(Debug, Clone, Deref)]
pub(super) struct Caller(Arc<CallerEntry>);

/// Service of an organisation, with its limits.
#[derive(Debug)]
pub(super) struct CallerEntry {
    /// Id of the service.
    pub(super) service: ServiceId,
    /// Organisation that the service belongs to.
    pub(super) organisation: OrganisationId,
    /// Weight of the organisation in fair queueing.
    pub(super) weight: u32,
    /// Rate limit of the organisation across all nodes, if it has one.
    limit: Option<Arc<OrganisationLimit>>,
    /// Profile of the service.
    pub(super) profile: Arc<CallerProfile>,
}

/// Profile with its queue and its requests in flight on this node.
#[derive(Debug, Deref)]
pub(super) struct CallerProfile {
    #[deref]
    profile: Profile,
    /// Queue of the replica group that serves the profile.
    pub(super) group: Arc<GroupQueue>,
    in_flight: Arc<AtomicU32>,
}

/// Permit under the profile's limit of requests in flight; released on drop.
#[derive(Debug)]
pub(super) struct ProfilePermit {
    in_flight: Arc<AtomicU32>,
}

impl Drop for ProfilePermit {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl CallerEntry {
    /// Counts a request, and fails if the organisation is over its limit.
    pub(super) fn check_limit(&self, now: Time) -> Result<(), Failure> {
        let Some(limit) = &self.limit else { return Ok(()) };
        limit.try_take(now).map_err(|over| {
            Failure::from(ResultCode::LimitReached).with_retry_after(over.retry_after)
        })
    }
}

impl CallerProfile {
    /// Returns a permit, unless the profile is at its limit.
    pub(super) fn try_acquire(&self) -> Option<ProfilePermit> {
        let before = self.in_flight.fetch_add(1, Ordering::Relaxed);
        let permit = ProfilePermit { in_flight: Arc::clone(&self.in_flight) };
        let fits = self.profile.limit_in_flight.is_none_or(|limit| before < limit);
        fits.then_some(permit)
    }
}

/// Callers of one revision of the configuration.
#[derive(Debug)]
struct Directory {
    revision: Revision,
    by_key: HashMap<KeyDigest, Caller>,
    profiles: HashMap<ProfileId, Arc<CallerProfile>>,
    groups: HashMap<GroupKey, Arc<GroupQueue>>,
}

impl Directory {
    fn group(&mut self, profile: &Profile, old: Option<&Directory>) -> Arc<GroupQueue> {
        let key = GroupKey {
            model: profile.model.clone(),
            version: profile.version.clone(),
            adapter: profile.adapter.clone(),
        };
        let kept = old.and_then(|it| it.groups.get(&key)).cloned();
        Arc::clone(self.groups.entry(key).or_insert_with(|| kept.unwrap_or_default()))
    }
}

/// Directory of the configuration in force.
#[derive(Debug, Default)]
pub(super) struct DirectoryCell {
    current: ArcSwapOption<Directory>,
}

impl DirectoryCell {
    /// Finds the caller with this key in `config`.
    pub(super) fn find(
        &self,
        config: &VersionedConfig,
        limits: &Limits,
        key: &str,
    ) -> Option<Caller> {
        let digest = KeyDigest::of(key);
        let current = self.current.load();
        match current.as_ref().filter(|it| it.revision == config.revision) {
            Some(directory) => directory.by_key.get(&digest).cloned(),
            None => self.rebuild(config, limits).by_key.get(&digest).cloned(),
        }
    }

    /// Queues of all profiles.
    pub(super) fn groups(&self) -> Vec<Arc<GroupQueue>> {
        let current = self.current.load();
        current.iter().flat_map(|it| it.groups.values()).cloned().collect()
    }

    fn rebuild(&self, config: &VersionedConfig, limits: &Limits) -> Arc<Directory> {
        limits.replace(&config.config);
        let old = self.current.load_full();
        let new = Arc::new(build(config, limits, old.as_deref()));
        self.current.store(Some(Arc::clone(&new)));
        new
    }
}

/// Builds a directory. Counts of requests in flight and queues are carried over
/// from the old one.
fn build(versioned: &VersionedConfig, limits: &Limits, old: Option<&Directory>) -> Directory {
    let config = &versioned.config;
    let mut directory = Directory {
        revision: versioned.revision,
        by_key: HashMap::new(),
        profiles: HashMap::new(),
        groups: HashMap::new(),
    };
    for profile in &config.profiles {
        let kept = old.and_then(|it| it.profiles.get(&profile.id));
        let in_flight = kept.map(|it| Arc::clone(&it.in_flight)).unwrap_or_default();
        let group = directory.group(profile, old);
        let entry = Arc::new(CallerProfile { profile: profile.clone(), group, in_flight });
        directory.profiles.insert(profile.id.clone(), entry);
    }
    for service in &config.services {
        let Some(profile) = directory.profiles.get(&service.profile) else { continue };
        let organisation = config.organisations.iter().find(|it| it.id == service.organisation);
        let caller = Caller(Arc::new(CallerEntry {
            service: service.id.clone(),
            organisation: service.organisation.clone(),
            weight: organisation.map_or(1, |it| it.weight),
            limit: limits.get(&service.organisation),
            profile: Arc::clone(profile),
        }));
        for digest in &service.key_digests {
            directory.by_key.insert(digest.clone(), caller.clone());
        }
    }
    directory
}

#[cfg(test)]
mod tests;
