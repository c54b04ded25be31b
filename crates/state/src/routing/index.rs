//! Which replicas serve a model, version and adapter, and the homes of a
//! request among them.
//!
//! Each group keeps a hash ring: a home is found by one binary search, and a
//! replica that joins or leaves moves only the homes next to its points.

use std::{
    collections::HashMap,
    sync::atomic::{AtomicU32, Ordering},
};

use crate::{
    hash::{mix, mix_pair, mix_wide},
    id::{AdapterId, Fingerprint, ModelId, ModelVersion, ReplicaId},
    replica::ReplicaSpec,
};

/// Points of a replica on the ring.
const POINTS_PER_REPLICA: u64 = 16;
/// Candidates of a request, at most.
pub const MAX_HOMES: usize = 8;
/// Part of a prompt that its prefix hash covers, in bytes.
const PREFIX_BYTES: usize = 1024;

/// Place of a replica in the list that an index was built from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Slot(pub u32);

impl Slot {
    /// As an index into the list.
    pub fn idx(self) -> usize {
        self.0 as usize
    }
}

/// Hash of the head of a prompt, for the affinity to a cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct PrefixHash(pub u64);

impl PrefixHash {
    /// Hash of the head of `prompt`.
    pub fn of(prompt: &str) -> Self {
        let head = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        let digest = blake3::hash(head);
        let mut word = [0; 8];
        word.copy_from_slice(&digest.as_bytes()[..8]);
        Self(u64::from_le_bytes(word))
    }

    /// The one that a fingerprint was made with.
    pub fn of_fingerprint(fingerprint: Fingerprint) -> Self {
        Self(u64::try_from(fingerprint.0 >> 64).unwrap_or_default())
    }

    /// Fingerprint of a request with this prefix. `digest` covers all that the
    /// request asks for. The homes of the request follow from it alone.
    pub fn fingerprint(self, digest: u64) -> Fingerprint {
        Fingerprint(u128::from(self.0) << 64 | u128::from(digest))
    }
}

/// Streams in the batch of a full replica, learned from reports.
#[derive(Debug, Default)]
pub(super) struct ObservedBatch(AtomicU32);

impl ObservedBatch {
    /// The largest seen, if any.
    pub(super) fn get(&self) -> Option<u32> {
        match self.0.load(Ordering::Relaxed) {
            0 => None,
            batch => Some(batch),
        }
    }

    /// Takes in the batch of a replica whose requests wait.
    pub(super) fn add(&self, running: u32) {
        self.0.fetch_max(running, Ordering::Relaxed);
    }
}

impl Clone for ObservedBatch {
    fn clone(&self) -> Self {
        Self(AtomicU32::new(self.0.load(Ordering::Relaxed)))
    }
}

/// Candidates of a request in order: the home of its prefix, then those of its
/// fingerprint.
#[derive(Debug, Clone, Copy)]
pub struct Homes<'a> {
    slots: [Slot; MAX_HOMES],
    len: usize,
    pub(super) batch: &'a ObservedBatch,
}

impl Homes<'_> {
    /// Candidates in order.
    pub fn slots(&self) -> &[Slot] {
        &self.slots[..self.len]
    }

    fn add(&mut self, slot: Slot) -> bool {
        if self.slots().contains(&slot) {
            return false;
        }
        self.slots[self.len] = slot;
        self.len += 1;
        true
    }

    fn is_full(&self) -> bool {
        self.len == MAX_HOMES
    }
}

/// Point of a replica on the ring.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Point {
    at: u32,
    slot: Slot,
}

/// Replicas that can serve the same requests.
#[derive(Debug, Clone, Default)]
pub struct Group {
    version: Option<ModelVersion>,
    adapter: Option<AdapterId>,
    replicas: Vec<(ReplicaId, Slot)>,
    ring: Vec<Point>,
    batch: ObservedBatch,
}

impl Group {
    /// Group of the given replicas, for callers that keep their own keys.
    pub fn of(replicas: impl IntoIterator<Item = (ReplicaId, Slot)>) -> Self {
        let mut group = Self::default();
        for (id, slot) in replicas {
            group.add(id, slot);
        }
        group.ring.sort_unstable();
        group
    }

    /// Number of replicas.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Replicas, in the order of the list.
    pub fn replicas(&self) -> &[(ReplicaId, Slot)] {
        &self.replicas
    }

    /// Replica at a place of the list.
    pub fn replica(&self, slot: Slot) -> Option<ReplicaId> {
        let place = self.replicas.binary_search_by_key(&slot, |(_, slot)| *slot).ok()?;
        Some(self.replicas[place].0)
    }

    /// Candidates of a request.
    pub fn homes(&self, prefix: PrefixHash, fingerprint: Fingerprint) -> Homes<'_> {
        let mut homes = Homes { slots: Default::default(), len: 0, batch: &self.batch };
        if let Some(slot) = self.successors(mix(prefix.0)).next() {
            homes.add(slot);
        }
        // Each further home has a search of its own: neighbours on the ring
        // would make the same pairs again and again.
        let seed = mix_wide(fingerprint.0);
        for draw in 0..MAX_HOMES as u64 * 2 {
            if homes.is_full() || homes.len == self.replicas.len() {
                break;
            }
            if let Some(slot) = self.successors(mix_pair(seed, draw)).next() {
                homes.add(slot);
            }
        }
        if homes.len < self.replicas.len().min(MAX_HOMES) {
            self.fill(&mut homes, seed);
        }
        homes
    }

    /// Replicas from a point of the ring on. One may come more than once.
    pub fn successors(&self, hash: u64) -> impl Iterator<Item = Slot> + '_ {
        let at = ring_place(hash);
        let start = self.ring.partition_point(|it| it.at < at);
        let (before, after) = self.ring.split_at(start);
        after.iter().chain(before).map(|it| it.slot)
    }

    fn fill(&self, homes: &mut Homes<'_>, seed: u64) {
        for slot in self.successors(seed) {
            homes.add(slot);
            if homes.is_full() || homes.len == self.replicas.len() {
                return;
            }
        }
    }

    fn add(&mut self, id: ReplicaId, slot: Slot) {
        self.replicas.push((id, slot));
        for point in 0..POINTS_PER_REPLICA {
            let at = ring_place(mix_pair(id.0, point));
            self.ring.push(Point { at, slot });
        }
    }
}

/// Groups by model, version and adapter.
#[derive(Debug, Clone, Default)]
pub struct RouteIndex {
    groups: HashMap<ModelId, Vec<Group>>,
}

impl RouteIndex {
    /// Index of a list of replicas; each one's place in it becomes its slot.
    pub fn build<'a>(specs: impl IntoIterator<Item = &'a ReplicaSpec>) -> Self {
        let mut index = Self::default();
        for (idx, spec) in specs.into_iter().enumerate() {
            let slot = Slot(u32::try_from(idx).unwrap_or(u32::MAX));
            index.add(spec, slot);
        }
        for group in index.groups.values_mut().flatten() {
            group.ring.sort_unstable();
        }
        index
    }

    /// Replicas that serve `model`, in the version and with the adapter if
    /// these are asked for.
    pub fn group(
        &self,
        model: &ModelId,
        version: Option<&ModelVersion>,
        adapter: Option<&AdapterId>,
    ) -> Option<&Group> {
        let groups = self.groups.get(model)?;
        groups.iter().find(|it| it.version.as_ref() == version && it.adapter.as_ref() == adapter)
    }

    fn add(&mut self, spec: &ReplicaSpec, slot: Slot) {
        let groups = self.groups.entry(spec.model.clone()).or_default();
        let adapters = std::iter::once(None).chain(spec.adapters.iter().cloned().map(Some));
        for adapter in adapters {
            for version in [None, Some(spec.version.clone())] {
                let group = group_mut(groups, version, adapter.clone());
                group.add(spec.id, slot);
            }
        }
    }
}

fn group_mut(
    groups: &mut Vec<Group>,
    version: Option<ModelVersion>,
    adapter: Option<AdapterId>,
) -> &mut Group {
    let found = groups.iter().position(|it| it.version == version && it.adapter == adapter);
    let idx = found.unwrap_or_else(|| {
        groups.push(Group { version, adapter, ..Group::default() });
        groups.len() - 1
    });
    &mut groups[idx]
}

fn ring_place(hash: u64) -> u32 {
    u32::try_from(hash >> 32).unwrap_or(u32::MAX)
}
