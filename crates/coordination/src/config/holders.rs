//! Tracks which recorded nodes hold the same token as this node, and whether
//! they are a majority.
//!
//! For its own zone a node keeps one time for each recorded node; for other
//! zones it keeps the count reported by a node there. Times are lower bounds on
//! this node's clock: they refer to the sending of the request. Counting restarts
//! whenever the node's own token changes.

use std::{collections::BTreeMap, time::Duration};

use citrongw_protocol::{
    node_record::VersionedNodeRecord,
    peer::{
        HOLDER_AGE_UNIT_MS, HOLDER_UNKNOWN, HolderAge, HolderQuery, HolderReport, MAX_MISSING_SENT,
        ZoneHolders, ZoneNodes,
    },
};
use citrongw_state::{
    id::{AvailabilityZone, NodeId},
    time::Time,
};

/// Maximum age of a holder that is included in the count sent to other zones.
const COUNT_WINDOW: Duration = Duration::from_millis(2500);
/// Age from which another zone's count is replaced by a lower one.
const COUNT_STALE: Duration = Duration::from_secs(1);

/// Node in the node record of this node's zone.
#[derive(Debug, Clone)]
struct RecordedNode {
    node: NodeId,
    /// Whether the node is in the current member set.
    member: bool,
    /// Whether the node is in the member set that a change in progress replaces.
    earlier: bool,
    /// Whether the node ever held the token.
    held: bool,
    held_at: Option<Time>,
}

/// Count reported for another zone.
#[derive(Debug, Clone)]
struct Count {
    holders: ZoneHolders,
    counted_at: Time,
}

#[derive(Debug, Clone, Default)]
struct OtherZone {
    /// Latest count.
    latest: Option<Count>,
    /// Largest count; for acceptance, a node that once held the token counts.
    largest: Option<ZoneHolders>,
}

/// Sizes of the current and the earlier member sets over all zones.
#[derive(Debug, Clone, Copy, Default)]
struct Sizes {
    members: usize,
    earlier: usize,
}

/// Holders of this node's token.
#[derive(Debug, Clone, Default)]
pub struct HolderTable {
    own_idx: Option<u8>,
    own: Vec<RecordedNode>,
    others: BTreeMap<u8, OtherZone>,
    ids: Vec<Vec<NodeId>>,
    sizes: Sizes,
}

/// Count of the recorded nodes that ever held the token.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Tally {
    /// Members that ever held the token.
    pub holding: usize,
    /// Members in all node records.
    pub recorded: usize,
    /// Whether they are a majority of the current set and, during a change of
    /// the set, also of the previous one.
    pub majority: bool,
    /// Members not known to have held the token, as far as their ids are known.
    pub missing: Vec<NodeId>,
}

impl HolderTable {
    /// Restarts counting over `records`, which are in order of zone.
    pub fn restart<'a>(
        &mut self,
        records: impl Iterator<Item = &'a VersionedNodeRecord>,
        zone: &AvailabilityZone,
    ) {
        *self = Self::default();
        for (idx, versioned) in records.enumerate() {
            let record = &versioned.record;
            self.sizes.members += record.members.len();
            self.sizes.earlier += record.earlier().len();
            self.ids.push(record.members.iter().copied().collect());
            if versioned.zone != *zone {
                continue;
            }
            self.own_idx = u8::try_from(idx).ok();
            let recorded = |node: NodeId| RecordedNode {
                node,
                member: record.members.contains(&node),
                earlier: record.earlier().contains(&node),
                held: false,
                held_at: None,
            };
            self.own = record.all().into_iter().map(recorded).collect();
        }
    }

    /// Records that a node of this zone held the token at `at` or later.
    pub fn add_node(&mut self, node: NodeId, at: Time) {
        let position = self.own.binary_search_by_key(&node, |it| it.node);
        if let Ok(idx) = position {
            self.own[idx].record_held(at);
        }
    }

    /// Merges the counts of `from`, a holder of the same token, requested at
    /// `requested_at`. Its data on single nodes refers to its own zone.
    pub fn add_report(&mut self, from: NodeId, holders: &HolderReport, requested_at: Time) {
        let same_zone = self.own.binary_search_by_key(&from, |it| it.node).is_ok();
        match &holders.own_zone {
            _ if !same_zone => {}
            ZoneNodes::Ages(ages) if ages.len() == self.own.len() => {
                for (recorded, age) in self.own.iter_mut().zip(ages) {
                    if *age != HOLDER_UNKNOWN {
                        recorded.record_held(requested_at - age_to_duration(*age));
                    }
                }
            }
            ZoneNodes::EverHeld(bits) => self.add_ever_held(from, bits),
            ZoneNodes::None | ZoneNodes::Ages(_) => {}
        }
        for zone in &holders.zones {
            if Some(zone.zone_idx) != self.own_idx {
                self.others.entry(zone.zone_idx).or_default().merge(zone, requested_at);
            }
        }
    }

    /// Merges the bitmap of nodes in the zone of `from` that ever held the token.
    pub fn add_ever_held(&mut self, from: NodeId, bits: &[u8]) {
        let same_zone = self.own.binary_search_by_key(&from, |it| it.node).is_ok();
        if !same_zone || bits.len() != self.own.len().div_ceil(8) {
            return;
        }
        for (idx, recorded) in self.own.iter_mut().enumerate() {
            recorded.held |= bits[idx / 8] >> (idx % 8) & 1 == 1;
        }
    }

    /// Holder data to send to another holder of the token.
    pub fn holders_for(
        &self,
        query: HolderQuery,
        same_zone: bool,
        now: Time,
    ) -> Option<HolderReport> {
        let age = |it: &RecordedNode| {
            it.held_at.map_or(HOLDER_UNKNOWN, |at| duration_to_age(now.since(at)))
        };
        let own_zone = match query {
            HolderQuery::None => return None,
            _ if !same_zone => ZoneNodes::None,
            HolderQuery::Ages => ZoneNodes::Ages(self.own.iter().map(age).collect()),
            HolderQuery::EverHeld => ZoneNodes::EverHeld(self.ever_held_bits()),
        };
        let counts = |it: &OtherZone| match query {
            HolderQuery::Ages => it.latest.as_ref().and_then(|it| it.aged(now)),
            _ => it.largest.clone(),
        };
        let own = self.own_count(query, now);
        let zones = own.into_iter().chain(self.others.values().filter_map(counts)).collect();
        Some(HolderReport { own_zone, zones })
    }

    /// Bitmap of the recorded nodes of this zone that ever held the token.
    pub fn ever_held_bits(&self) -> Vec<u8> {
        let mut bits = vec![0; self.own.len().div_ceil(8)];
        for (idx, _) in self.own.iter().enumerate().filter(|(_, it)| it.held) {
            bits[idx / 8] |= 1 << (idx % 8);
        }
        bits
    }

    fn own_count(&self, query: HolderQuery, now: Time) -> Option<ZoneHolders> {
        let zone_idx = self.own_idx?;
        let from = now - COUNT_WINDOW;
        let counts_as_held = |it: &&RecordedNode| match query {
            HolderQuery::Ages => it.held_at.is_some_and(|at| from <= at),
            _ => it.held,
        };
        let (held, missing): (Vec<_>, Vec<_>) = self.own.iter().partition(counts_as_held);
        let oldest = held.iter().filter_map(|it| it.held_at).min();
        let age = match query {
            HolderQuery::Ages => duration_to_age(now.since(oldest?)),
            _ => HOLDER_UNKNOWN,
        };
        let mut missing: Vec<NodeId> =
            missing.iter().filter(|it| it.member).map(|it| it.node).collect();
        if MAX_MISSING_SENT < missing.len() {
            missing.clear();
        }
        Some(ZoneHolders {
            zone_idx,
            members: count(&held, |it| it.member),
            earlier: count(&held, |it| it.earlier),
            age,
            missing,
        })
    }

    /// Latest time at or after which a majority is known to have held the token.
    pub fn majority_since(&self) -> Option<Time> {
        let mut observed: Vec<(Time, usize, usize)> = Vec::with_capacity(self.own.len());
        for it in &self.own {
            let Some(at) = it.held_at else { continue };
            observed.push((at, usize::from(it.member), usize::from(it.earlier)));
        }
        for count in self.others.values().filter_map(|it| it.latest.as_ref()) {
            let holders = &count.holders;
            observed.push((count.counted_at, holders.members.into(), holders.earlier.into()));
        }
        observed.sort_unstable_by_key(|it| std::cmp::Reverse(it.0));
        let (mut members, mut earlier) = (0, 0);
        for (at, in_members, in_earlier) in observed {
            members += in_members;
            earlier += in_earlier;
            if self.is_majority(members, earlier) {
                return Some(at);
            }
        }
        None
    }

    /// Counts the recorded nodes that ever held the token.
    pub fn tally(&self) -> Tally {
        let held: Vec<&RecordedNode> = self.own.iter().filter(|it| it.held).collect();
        let (mut members, mut earlier) = (
            held.iter().filter(|it| it.member).count(),
            held.iter().filter(|it| it.earlier).count(),
        );
        let not_held = self.own.iter().filter(|it| it.member && !it.held);
        let mut missing: Vec<NodeId> = not_held.map(|it| it.node).collect();
        for (idx, ids) in self.ids.iter().enumerate() {
            let Ok(idx) = u8::try_from(idx) else { continue };
            if Some(idx) == self.own_idx {
                continue;
            }
            match self.others.get(&idx).and_then(|it| it.largest.as_ref()) {
                Some(count) => {
                    members += usize::from(count.members);
                    earlier += usize::from(count.earlier);
                    missing.extend(&count.missing);
                }
                None => missing.extend(ids),
            }
        }
        Tally {
            holding: members,
            recorded: self.sizes.members,
            majority: self.is_majority(members, earlier),
            missing,
        }
    }

    fn is_majority(&self, members: usize, earlier: usize) -> bool {
        self.sizes.members < 2 * members && self.sizes.earlier < 2 * earlier
    }
}

impl RecordedNode {
    fn record_held(&mut self, at: Time) {
        self.held = true;
        self.held_at = self.held_at.max(Some(at));
    }
}

impl Count {
    /// The count with its current age. `None` if the age exceeds the encoding.
    fn aged(&self, now: Time) -> Option<ZoneHolders> {
        let age = duration_to_age(now.since(self.counted_at));
        (age != HOLDER_UNKNOWN).then(|| ZoneHolders { age, ..self.holders.clone() })
    }
}

impl OtherZone {
    fn merge(&mut self, zone: &ZoneHolders, now: Time) {
        if self.largest.as_ref().is_none_or(|it| it.members <= zone.members) {
            self.largest = Some(zone.clone());
        }
        if zone.age == HOLDER_UNKNOWN {
            return;
        }
        let counted_at = now - age_to_duration(zone.age);
        let replaces = self.latest.as_ref().is_none_or(|old| {
            let stale = COUNT_STALE < now.since(old.counted_at);
            old.counted_at < counted_at && (stale || old.holders.members <= zone.members)
        });
        if replaces {
            self.latest = Some(Count { holders: zone.clone(), counted_at });
        }
    }
}

fn count(held: &[&RecordedNode], matches: impl Fn(&RecordedNode) -> bool) -> u16 {
    u16::try_from(held.iter().filter(|it| matches(it)).count()).unwrap_or(u16::MAX)
}

fn age_to_duration(age: HolderAge) -> Duration {
    Duration::from_millis(u64::from(age) * HOLDER_AGE_UNIT_MS)
}

fn duration_to_age(duration: Duration) -> HolderAge {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX) + 1;
    HolderAge::try_from(millis.div_ceil(HOLDER_AGE_UNIT_MS)).unwrap_or(HOLDER_UNKNOWN)
}

#[cfg(test)]
mod tests;
