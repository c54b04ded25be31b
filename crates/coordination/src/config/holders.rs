//! Which recorded nodes hold what this node holds, and whether they are a
//! majority.
//!
//! For its own zone a node keeps one point in time for each recorded node; for
//! other zones it keeps what a node there counted. Points in time are lower
//! bounds on this node's clock: they count from when the question was sent.
//! Counting starts anew whenever the node's own token changes.

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

/// Age up to which a holder counts in what other zones are told.
const COUNT_WINDOW: Duration = Duration::from_millis(2500);
/// Age at which a zone's count gives way to a lower one.
const COUNT_STALE: Duration = Duration::from_secs(1);

/// Recorded node of the own zone.
#[derive(Debug, Clone)]
struct Recorded {
    node: NodeId,
    member: bool,
    earlier: bool,
    /// Whether it ever held the token.
    held: bool,
    held_at: Option<Time>,
}

/// Count of another zone.
#[derive(Debug, Clone)]
struct Count {
    holders: ZoneHolders,
    counted_at: Time,
}

#[derive(Debug, Clone, Default)]
struct OtherZone {
    /// Latest count.
    fresh: Option<Count>,
    /// Largest count; a holder of a token once is enough for acceptance.
    most: Option<ZoneHolders>,
}

/// Sizes of the recorded sets.
#[derive(Debug, Clone, Copy, Default)]
struct Sizes {
    members: usize,
    earlier: usize,
}

/// Holders of this node's token.
#[derive(Debug, Clone, Default)]
pub struct HolderTable {
    own_idx: Option<u8>,
    own: Vec<Recorded>,
    others: BTreeMap<u8, OtherZone>,
    ids: Vec<Vec<NodeId>>,
    sizes: Sizes,
}

/// How many recorded nodes hold it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Tally {
    /// Members that hold it.
    pub holding: usize,
    /// Members.
    pub recorded: usize,
    /// Whether they are a majority of the set, and of the set before it while a
    /// change of the set is under way.
    pub majority: bool,
    /// Members not known to hold it, as far as they are known by name.
    pub missing: Vec<NodeId>,
}

impl HolderTable {
    /// Starts counting anew over `records`, which are in order of zone.
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
            let recorded = |node: NodeId| Recorded {
                node,
                member: record.members.contains(&node),
                earlier: record.earlier().contains(&node),
                held: false,
                held_at: None,
            };
            self.own = record.all().into_iter().map(recorded).collect();
        }
    }

    /// Takes in that a node of the own zone held the token at `at` or later.
    pub fn add_node(&mut self, node: NodeId, at: Time) {
        let place = self.own.binary_search_by_key(&node, |it| it.node);
        if let Ok(idx) = place {
            self.own[idx].hear(at);
        }
    }

    /// Takes in what `from`, a holder of the same token, counted when it was
    /// asked at `asked_at`. What it says node by node is of its own zone.
    pub fn add(&mut self, from: NodeId, holders: &HolderReport, asked_at: Time) {
        let same_zone = self.own.binary_search_by_key(&from, |it| it.node).is_ok();
        match &holders.own_zone {
            _ if !same_zone => {}
            ZoneNodes::Ages(ages) if ages.len() == self.own.len() => {
                for (recorded, age) in self.own.iter_mut().zip(ages) {
                    if *age != HOLDER_UNKNOWN {
                        recorded.hear(asked_at - span(*age));
                    }
                }
            }
            ZoneNodes::EverHeld(bits) => self.add_ever(from, bits),
            ZoneNodes::None | ZoneNodes::Ages(_) => {}
        }
        for zone in &holders.zones {
            if Some(zone.zone_idx) != self.own_idx {
                self.others.entry(zone.zone_idx).or_default().take(zone, asked_at);
            }
        }
    }

    /// Takes in who ever held the token, as `from` tells of its own zone.
    pub fn add_ever(&mut self, from: NodeId, bits: &[u8]) {
        let same_zone = self.own.binary_search_by_key(&from, |it| it.node).is_ok();
        if !same_zone || bits.len() != self.own.len().div_ceil(8) {
            return;
        }
        for (idx, recorded) in self.own.iter_mut().enumerate() {
            recorded.held |= bits[idx / 8] >> (idx % 8) & 1 == 1;
        }
    }

    /// What to tell another holder of the token.
    pub fn holders_for(
        &self,
        wanted: HolderQuery,
        same_zone: bool,
        now: Time,
    ) -> Option<HolderReport> {
        let age = |it: &Recorded| it.held_at.map_or(HOLDER_UNKNOWN, |at| units(now.since(at)));
        let own_zone = match wanted {
            HolderQuery::None => return None,
            _ if !same_zone => ZoneNodes::None,
            HolderQuery::Ages => ZoneNodes::Ages(self.own.iter().map(age).collect()),
            HolderQuery::EverHeld => ZoneNodes::EverHeld(self.ever_held_bits()),
        };
        let counts = |it: &OtherZone| match wanted {
            HolderQuery::Ages => it.fresh.as_ref().and_then(|it| it.aged(now)),
            _ => it.most.clone(),
        };
        let own = self.own_count(wanted, now);
        let zones = own.into_iter().chain(self.others.values().filter_map(counts)).collect();
        Some(HolderReport { own_zone, zones })
    }

    /// A bit for each recorded node of the own zone that ever held the token.
    pub fn ever_held_bits(&self) -> Vec<u8> {
        let mut bits = vec![0; self.own.len().div_ceil(8)];
        for (idx, _) in self.own.iter().enumerate().filter(|(_, it)| it.held) {
            bits[idx / 8] |= 1 << (idx % 8);
        }
        bits
    }

    fn own_count(&self, wanted: HolderQuery, now: Time) -> Option<ZoneHolders> {
        let zone_idx = self.own_idx?;
        let from = now - COUNT_WINDOW;
        let is_held = |it: &&Recorded| match wanted {
            HolderQuery::Ages => it.held_at.is_some_and(|at| from <= at),
            _ => it.held,
        };
        let (held, missing): (Vec<_>, Vec<_>) = self.own.iter().partition(is_held);
        let oldest = held.iter().filter_map(|it| it.held_at).min();
        let age = match wanted {
            HolderQuery::Ages => units(now.since(oldest?)),
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

    /// Latest point in time since which a majority was heard to hold the token.
    pub fn majority_since(&self) -> Option<Time> {
        let mut heard: Vec<(Time, usize, usize)> = Vec::with_capacity(self.own.len());
        for it in &self.own {
            let Some(at) = it.held_at else { continue };
            heard.push((at, usize::from(it.member), usize::from(it.earlier)));
        }
        for count in self.others.values().filter_map(|it| it.fresh.as_ref()) {
            let holders = &count.holders;
            heard.push((count.counted_at, holders.members.into(), holders.earlier.into()));
        }
        heard.sort_unstable_by_key(|it| std::cmp::Reverse(it.0));
        let (mut members, mut earlier) = (0, 0);
        for (at, in_members, in_earlier) in heard {
            members += in_members;
            earlier += in_earlier;
            if self.is_majority(members, earlier) {
                return Some(at);
            }
        }
        None
    }

    /// Counts everybody that ever held the token.
    pub fn tally(&self) -> Tally {
        let held: Vec<&Recorded> = self.own.iter().filter(|it| it.held).collect();
        let (mut members, mut earlier) = (
            held.iter().filter(|it| it.member).count(),
            held.iter().filter(|it| it.earlier).count(),
        );
        let absent = self.own.iter().filter(|it| it.member && !it.held);
        let mut missing: Vec<NodeId> = absent.map(|it| it.node).collect();
        for (idx, ids) in self.ids.iter().enumerate() {
            let Ok(idx) = u8::try_from(idx) else { continue };
            if Some(idx) == self.own_idx {
                continue;
            }
            match self.others.get(&idx).and_then(|it| it.most.as_ref()) {
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

impl Recorded {
    fn hear(&mut self, at: Time) {
        self.held = true;
        self.held_at = self.held_at.max(Some(at));
    }
}

impl Count {
    /// The count with its age by now, unless it is too old to tell.
    fn aged(&self, now: Time) -> Option<ZoneHolders> {
        let age = units(now.since(self.counted_at));
        (age != HOLDER_UNKNOWN).then(|| ZoneHolders { age, ..self.holders.clone() })
    }
}

impl OtherZone {
    fn take(&mut self, zone: &ZoneHolders, now: Time) {
        if self.most.as_ref().is_none_or(|it| it.members <= zone.members) {
            self.most = Some(zone.clone());
        }
        if zone.age == HOLDER_UNKNOWN {
            return;
        }
        let counted_at = now - span(zone.age);
        let replaces = self.fresh.as_ref().is_none_or(|old| {
            let stale = COUNT_STALE < now.since(old.counted_at);
            old.counted_at < counted_at && (stale || old.holders.members <= zone.members)
        });
        if replaces {
            self.fresh = Some(Count { holders: zone.clone(), counted_at });
        }
    }
}

fn count(held: &[&Recorded], wanted: impl Fn(&Recorded) -> bool) -> u16 {
    u16::try_from(held.iter().filter(|it| wanted(it)).count()).unwrap_or(u16::MAX)
}

fn span(age: HolderAge) -> Duration {
    Duration::from_millis(u64::from(age) * HOLDER_AGE_UNIT_MS)
}

fn units(span: Duration) -> HolderAge {
    let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX) + 1;
    HolderAge::try_from(millis.div_ceil(HOLDER_AGE_UNIT_MS)).unwrap_or(HOLDER_UNKNOWN)
}

#[cfg(test)]
mod tests;
