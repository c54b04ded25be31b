//! Demand of organisations, added up on its way.
//!
//! Within a zone each node tells the node above it what it and those below it
//! see, and hears back the sum over all nodes. The first nodes of the zones
//! tell each other their zones' sums. So each node sends a few sums a second,
//! however many nodes there are. The sums are estimates: a node that moves in
//! the order may be counted twice or not at all for a moment.

use std::{collections::BTreeMap, time::Duration};

use citrongw_protocol::{
    gossip_item::{GossipItem, OrganisationDemand},
    peer::AggregateDemand,
};
use citrongw_state::{
    id::{AvailabilityZone, NodeId, OrganisationId},
    time::Time,
};

/// Age up to which a sum counts.
const FRESHNESS: Duration = Duration::from_secs(4);
/// Age up to which the sum of another zone counts.
const ZONE_FRESHNESS: Duration = Duration::from_secs(12);
/// Age up to which this node's own demand counts; unchanged, it is told again
/// within this time.
const OWN_FRESHNESS: Duration = Duration::from_secs(12);
/// Organisations told in one message, the largest first.
const MAX_SUMS: usize = 16;
/// Node under whose id the demand of all other nodes is told here.
pub const OTHER_NODES: NodeId = NodeId(u64::MAX);

type Sums = BTreeMap<OrganisationId, f32>;

#[derive(Debug, Clone, Default)]
struct Heard {
    sums: Sums,
    at: Time,
}

/// Demand as one node knows it.
#[derive(Debug, Default)]
pub struct DemandTree {
    own: BTreeMap<OrganisationId, (f32, Time)>,
    below: BTreeMap<NodeId, Heard>,
    zones: BTreeMap<AvailabilityZone, Heard>,
    overall: Heard,
    sequence: u64,
}

impl DemandTree {
    /// Takes in what this node sees.
    pub fn set_own(&mut self, demand: &OrganisationDemand, now: Time) {
        self.own.insert(demand.organisation.clone(), (demand.requests_per_s, now));
    }

    /// Takes in what a node below sees.
    pub fn set_child(&mut self, node: NodeId, sums: &[AggregateDemand], now: Time) {
        self.below.insert(node, Heard { sums: read(sums), at: now });
    }

    /// Takes in the sum of another zone.
    pub fn set_zone(&mut self, zone: &AvailabilityZone, sums: &[AggregateDemand], now: Time) {
        self.zones.insert(zone.clone(), Heard { sums: read(sums), at: now });
    }

    /// Takes in the sum over all nodes.
    pub fn set_overall(&mut self, sums: &[AggregateDemand], now: Time) {
        self.overall = Heard { sums: read(sums), at: now };
    }

    /// What this node and those below it see.
    pub fn subtree(&mut self, now: Time) -> Vec<AggregateDemand> {
        write(self.subtree_sums(now))
    }

    /// Sum over all nodes, for those below. The first node of a zone adds it
    /// up, the others pass it on.
    pub fn overall(&mut self, is_first: bool, now: Time) -> Vec<AggregateDemand> {
        write(self.overall_sums(is_first, now))
    }

    /// News for this node: what all other nodes see together.
    pub fn other_nodes(&mut self, is_first: bool, now: Time) -> Vec<GossipItem> {
        let overall = self.overall_sums(is_first, now);
        self.sequence += 1;
        let news = |(organisation, sum): (OrganisationId, f32)| {
            let own = self.own.get(&organisation).map_or(0.0, |it| it.0);
            GossipItem::Demand(OrganisationDemand {
                organisation,
                node: OTHER_NODES,
                sequence: self.sequence,
                requests_per_s: (sum - own).max(0.0),
            })
        };
        overall.into_iter().map(news).collect()
    }

    fn overall_sums(&mut self, is_first: bool, now: Time) -> Sums {
        if !is_first {
            let fresh = now.since(self.overall.at) < FRESHNESS;
            return if fresh { self.overall.sums.clone() } else { Sums::new() };
        }
        self.zones.retain(|_, it| now.since(it.at) < ZONE_FRESHNESS);
        let mut sums = self.subtree_sums(now);
        for zone in self.zones.values() {
            add(&mut sums, &zone.sums);
        }
        sums
    }

    fn subtree_sums(&mut self, now: Time) -> Sums {
        self.own.retain(|_, (_, at)| now.since(*at) < OWN_FRESHNESS);
        self.below.retain(|_, it| now.since(it.at) < FRESHNESS);
        let mut sums: Sums = self.own.iter().map(|(id, (rate, _))| (id.clone(), *rate)).collect();
        for child in self.below.values() {
            add(&mut sums, &child.sums);
        }
        sums
    }
}

fn add(sums: &mut Sums, more: &Sums) {
    for (organisation, rate) in more {
        *sums.entry(organisation.clone()).or_default() += rate;
    }
}

fn read(sums: &[AggregateDemand]) -> Sums {
    sums.iter().map(|it| (it.organisation.clone(), it.requests_per_s)).collect()
}

fn write(sums: Sums) -> Vec<AggregateDemand> {
    let mut sums: Vec<AggregateDemand> = sums
        .into_iter()
        .map(|(organisation, requests_per_s)| AggregateDemand { organisation, requests_per_s })
        .collect();
    sums.sort_by(|a, b| b.requests_per_s.total_cmp(&a.requests_per_s));
    sums.truncate(MAX_SUMS);
    sums
}
