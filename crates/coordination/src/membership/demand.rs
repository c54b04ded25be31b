//! Aggregation of the organisations' demand over all nodes.
//!
//! The nodes of a zone form a tree. Each node sends its parent the demand of its
//! subtree and receives the total over all nodes in the ack. The first nodes of
//! the zones exchange the totals of their zones. Each node therefore sends a few
//! sums a second, whatever the number of nodes. The sums are estimates: a node
//! that changes its place in the tree may briefly be counted twice or not at
//! all.

use std::{collections::BTreeMap, time::Duration};

use citrongw_protocol::{
    gossip_item::{GossipItem, OrganisationDemand},
    peer::AggregateDemand,
};
use citrongw_state::{
    id::{AvailabilityZone, NodeId, OrganisationId},
    time::Time,
};

/// Maximum age of a subtree sum or of the overall sum.
const SUM_MAX_AGE: Duration = Duration::from_secs(4);
/// Maximum age of another zone's sum.
const ZONE_SUM_MAX_AGE: Duration = Duration::from_secs(12);
/// Maximum age of this node's own demand; unchanged demand is published again
/// within this time.
const OWN_MAX_AGE: Duration = Duration::from_secs(12);
/// Maximum organisations in one message; those with the largest demand are
/// sent.
const MAX_SUMS: usize = 16;
/// Placeholder id under which the demand of all other nodes is delivered to
/// local subscribers.
pub const OTHER_NODES: NodeId = NodeId(u64::MAX);

type Sums = BTreeMap<OrganisationId, f32>;

#[derive(Debug, Clone, Default)]
struct ReceivedSums {
    sums: Sums,
    received_at: Time,
}

/// One node's place in the aggregation tree.
#[derive(Debug, Default)]
pub struct DemandTree {
    own: BTreeMap<OrganisationId, (f32, Time)>,
    children: BTreeMap<NodeId, ReceivedSums>,
    zones: BTreeMap<AvailabilityZone, ReceivedSums>,
    overall: ReceivedSums,
    sequence: u64,
}

impl DemandTree {
    /// Sets the demand of one organisation at this node.
    pub fn set_own(&mut self, demand: &OrganisationDemand, now: Time) {
        self.own.insert(demand.organisation.clone(), (demand.requests_per_s, now));
    }

    /// Sets the subtree demand of a child.
    pub fn set_child(&mut self, node: NodeId, sums: &[AggregateDemand], now: Time) {
        self.children.insert(node, ReceivedSums { sums: to_map(sums), received_at: now });
    }

    /// Sets the total of another zone.
    pub fn set_zone(&mut self, zone: &AvailabilityZone, sums: &[AggregateDemand], now: Time) {
        self.zones.insert(zone.clone(), ReceivedSums { sums: to_map(sums), received_at: now });
    }

    /// Sets the total over all nodes, as received from the parent.
    pub fn set_overall(&mut self, sums: &[AggregateDemand], now: Time) {
        self.overall = ReceivedSums { sums: to_map(sums), received_at: now };
    }

    /// Demand of this node and its children, to be sent to the parent.
    pub fn subtree(&mut self, now: Time) -> Vec<AggregateDemand> {
        to_largest(self.subtree_sums(now))
    }

    /// Total over all nodes, to be sent to children. The first node of a zone
    /// computes it; the others forward it.
    pub fn overall(&mut self, is_first: bool, now: Time) -> Vec<AggregateDemand> {
        to_largest(self.overall_sums(is_first, now))
    }

    /// Combined demand of all other nodes, for this node's subscribers.
    pub fn other_nodes(&mut self, is_first: bool, now: Time) -> Vec<GossipItem> {
        let overall = self.overall_sums(is_first, now);
        self.sequence += 1;
        let item = |(organisation, sum): (OrganisationId, f32)| {
            let own = self.own.get(&organisation).map_or(0.0, |it| it.0);
            GossipItem::Demand(OrganisationDemand {
                organisation,
                node: OTHER_NODES,
                sequence: self.sequence,
                requests_per_s: (sum - own).max(0.0),
            })
        };
        overall.into_iter().map(item).collect()
    }

    fn overall_sums(&mut self, is_first: bool, now: Time) -> Sums {
        if !is_first {
            let fresh = now.since(self.overall.received_at) < SUM_MAX_AGE;
            return if fresh { self.overall.sums.clone() } else { Sums::new() };
        }
        self.zones.retain(|_, it| now.since(it.received_at) < ZONE_SUM_MAX_AGE);
        let mut sums = self.subtree_sums(now);
        for zone in self.zones.values() {
            add(&mut sums, &zone.sums);
        }
        sums
    }

    fn subtree_sums(&mut self, now: Time) -> Sums {
        self.own.retain(|_, (_, at)| now.since(*at) < OWN_MAX_AGE);
        self.children.retain(|_, it| now.since(it.received_at) < SUM_MAX_AGE);
        let mut sums: Sums = self.own.iter().map(|(id, (rate, _))| (id.clone(), *rate)).collect();
        for child in self.children.values() {
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

fn to_map(sums: &[AggregateDemand]) -> Sums {
    sums.iter().map(|it| (it.organisation.clone(), it.requests_per_s)).collect()
}

fn to_largest(sums: Sums) -> Vec<AggregateDemand> {
    let mut sums: Vec<AggregateDemand> = sums
        .into_iter()
        .map(|(organisation, requests_per_s)| AggregateDemand { organisation, requests_per_s })
        .collect();
    sums.sort_by(|a, b| b.requests_per_s.total_cmp(&a.requests_per_s));
    sums.truncate(MAX_SUMS);
    sums
}
