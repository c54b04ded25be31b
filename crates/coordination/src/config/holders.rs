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
    peer::{HOLDER_AGE_UNIT_MS, HOLDER_UNKNOWN, HolderAge, Holders, MAX_MISSING_SENT, ZoneHolders},
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
    most: Option<Count>,
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
                held_at: None,
            };
            self.own = record.all().into_iter().map(recorded).collect();
        }
    }

    /// Takes in that a node of the own zone held the token at `at` or later.
    pub fn add_node(&mut self, node: NodeId, at: Time) {
        let place = self.own.binary_search_by_key(&node, |it| it.node);
        if let Ok(idx) = place {
            let held_at = &mut self.own[idx].held_at;
            *held_at = (*held_at).max(Some(at));
        }
    }

    /// Takes in what a holder of the same token counted, asked at `asked_at`.
    pub fn add(&mut self, holders: &Holders, asked_at: Time) {
        if holders.own_zone.len() == self.own.len() {
            for (recorded, age) in self.own.iter_mut().zip(&holders.own_zone) {
                if *age != HOLDER_UNKNOWN {
                    recorded.held_at = recorded.held_at.max(Some(asked_at - span(*age)));
                }
            }
        }
        for zone in &holders.zones {
            if Some(zone.zone_idx) == self.own_idx || zone.age == HOLDER_UNKNOWN {
                continue;
            }
            let count = Count { holders: zone.clone(), counted_at: asked_at - span(zone.age) };
            self.others.entry(zone.zone_idx).or_default().take(count, asked_at);
        }
    }

    /// What to tell another holder of the token.
    pub fn tell(&self, now: Time, same_zone: bool) -> Holders {
        let age = |it: &Recorded| it.held_at.map_or(HOLDER_UNKNOWN, |at| units(now.since(at)));
        let own_zone = if same_zone { self.own.iter().map(age).collect() } else { Vec::new() };
        let mut zones: Vec<ZoneHolders> = self.own_count(now).into_iter().collect();
        for other in self.others.values() {
            let Some(fresh) = &other.fresh else { continue };
            let age = units(now.since(fresh.counted_at));
            if age != HOLDER_UNKNOWN {
                zones.push(ZoneHolders { age, ..fresh.holders.clone() });
            }
        }
        Holders { own_zone, zones }
    }

    fn own_count(&self, now: Time) -> Option<ZoneHolders> {
        let zone_idx = self.own_idx?;
        let from = now - COUNT_WINDOW;
        let (held, missing): (Vec<_>, Vec<_>) =
            self.own.iter().partition(|it| it.held_at.is_some_and(|at| from <= at));
        let oldest = held.iter().filter_map(|it| it.held_at).min()?;
        Some(ZoneHolders {
            zone_idx,
            members: count(&held, |it| it.member),
            earlier: count(&held, |it| it.earlier),
            age: units(now.since(oldest)),
            missing: missing
                .iter()
                .filter(|it| it.member)
                .map(|it| it.node)
                .take(MAX_MISSING_SENT)
                .collect(),
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
        let held: Vec<&Recorded> = self.own.iter().filter(|it| it.held_at.is_some()).collect();
        let (mut members, mut earlier) = (
            held.iter().filter(|it| it.member).count(),
            held.iter().filter(|it| it.earlier).count(),
        );
        let absent = self.own.iter().filter(|it| it.member && it.held_at.is_none());
        let mut missing: Vec<NodeId> = absent.map(|it| it.node).collect();
        for (idx, ids) in self.ids.iter().enumerate() {
            let Ok(idx) = u8::try_from(idx) else { continue };
            if Some(idx) == self.own_idx {
                continue;
            }
            match self.others.get(&idx).and_then(|it| it.most.as_ref()) {
                Some(count) => {
                    members += usize::from(count.holders.members);
                    earlier += usize::from(count.holders.earlier);
                    missing.extend(&count.holders.missing);
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

impl OtherZone {
    fn take(&mut self, count: Count, now: Time) {
        let larger = |old: &Option<Count>| {
            old.as_ref().is_none_or(|it| it.holders.members <= count.holders.members)
        };
        if larger(&self.most) {
            self.most = Some(count.clone());
        }
        let newer = self.fresh.as_ref().is_none_or(|it| it.counted_at < count.counted_at);
        let stale = self.fresh.as_ref().is_some_and(|it| COUNT_STALE < now.since(it.counted_at));
        if newer && (stale || larger(&self.fresh)) {
            self.fresh = Some(count);
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
