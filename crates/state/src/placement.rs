//! Placement of missing replicas.
//!
//! The plan is a pure function of state that all nodes share, so that each
//! domain's owner executes its own part of the same plan. A replica is placed
//! inside one domain if any has enough free instances. Under the objective
//! `group-downtime`, the domain with the most free instances is used (worst
//! fit), which leaves spares in every domain; under `stranded-accelerators`,
//! the one with the fewest (best fit), which avoids fragmentation.

use std::collections::BTreeSet;

use crate::{
    id::{AvailabilityZone, DeploymentId, FabricDomainId},
    objective::Objective,
};

/// Instances of one domain that belong to no replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainCapacity {
    /// Domain of the instances.
    pub domain: FabricDomainId,
    /// Zone of the domain.
    pub zone: AvailabilityZone,
    /// Number of free instances.
    pub free: u32,
}

/// Missing replicas of a deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// Deployment of the replicas.
    pub deployment: DeploymentId,
    /// Instances of each replica.
    pub instances: u32,
    /// Number of missing replicas.
    pub missing: u32,
    /// Whether a replica may span domains.
    pub may_span_domains: bool,
}

/// Instances that one domain contributes to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainPart {
    /// Domain of the instances.
    pub domain: FabricDomainId,
    /// Number of instances.
    pub instances: u32,
}

/// Placement of one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Deployment of the replica.
    pub deployment: DeploymentId,
    /// Parts in ascending order of domain. The first is the replica's home
    /// domain.
    pub parts: Vec<DomainPart>,
}

/// Places all missing replicas, as far as there are free instances.
pub fn plan(
    objective: Objective,
    capacities: &[DomainCapacity],
    demands: &[Demand],
) -> Vec<Assignment> {
    let mut free_instances = FreeInstances::new(capacities);
    let mut ordered: Vec<&Demand> = demands.iter().collect();
    match objective {
        Objective::GroupDowntime => ordered.sort_by_key(|it| it.instances),
        Objective::StrandedAccelerators => {
            ordered.sort_by_key(|it| std::cmp::Reverse(it.instances));
        }
    }
    let mut plan = Vec::new();
    for demand in ordered {
        for _ in 0..demand.missing {
            let parts = match free_instances.take_in_one_domain(objective, demand.instances) {
                Some(part) => vec![part],
                None if demand.may_span_domains => {
                    match free_instances.take_across_domains(demand.instances) {
                        Some(parts) => parts,
                        None => break,
                    }
                }
                None => break,
            };
            plan.push(Assignment { deployment: demand.deployment.clone(), parts });
        }
    }
    plan
}

/// Free instances of all domains, ordered by their number.
struct FreeInstances<'a> {
    capacities: &'a [DomainCapacity],
    by_free: BTreeSet<(u32, usize)>,
}

impl<'a> FreeInstances<'a> {
    fn new(capacities: &'a [DomainCapacity]) -> Self {
        let by_free = capacities.iter().enumerate().map(|(idx, it)| (it.free, idx)).collect();
        Self { capacities, by_free }
    }

    fn take_in_one_domain(&mut self, objective: Objective, instances: u32) -> Option<DomainPart> {
        let mut fitting = self.by_free.range((instances, 0)..);
        let place = match objective {
            Objective::GroupDowntime => fitting.next_back(),
            Objective::StrandedAccelerators => fitting.next(),
        };
        let place = *place?;
        Some(self.take(place, instances))
    }

    /// Takes instances from the domains of one zone that have the most, in as
    /// few domains as possible.
    fn take_across_domains(&mut self, instances: u32) -> Option<Vec<DomainPart>> {
        let zones: BTreeSet<&AvailabilityZone> =
            self.capacities.iter().map(|it| &it.zone).collect();
        let places = zones.into_iter().find_map(|zone| self.largest_domains(zone, instances))?;
        let mut remaining = instances;
        let mut parts = Vec::new();
        for place in places {
            let taken = remaining.min(place.0);
            parts.push(self.take(place, taken));
            remaining -= taken;
        }
        parts.sort_by(|a, b| a.domain.cmp(&b.domain));
        Some(parts)
    }

    fn largest_domains(
        &self,
        zone: &AvailabilityZone,
        instances: u32,
    ) -> Option<Vec<(u32, usize)>> {
        let mut found = 0;
        let mut places = Vec::new();
        let in_zone =
            self.by_free.iter().rev().filter(|(_, idx)| self.capacities[*idx].zone == *zone);
        for place in in_zone.take_while(|(free, _)| 0 < *free) {
            places.push(*place);
            found += place.0;
            if instances <= found {
                return Some(places);
            }
        }
        None
    }

    fn take(&mut self, place: (u32, usize), instances: u32) -> DomainPart {
        let (free, idx) = place;
        self.by_free.remove(&place);
        self.by_free.insert((free - instances, idx));
        DomainPart { domain: self.capacities[idx].domain.clone(), instances }
    }
}

#[cfg(test)]
mod tests;
