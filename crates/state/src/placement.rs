//! Where missing replicas form.
//!
//! A pure function of what all nodes know alike, so that each domain's owner
//! carries out its own part of one plan. A replica forms inside one domain if
//! any has room. Under the objective `group-downtime` the domain with the most
//! room is taken, which leaves spares in every domain; under
//! `stranded-accelerators` the tightest one, which keeps room whole.

use std::collections::BTreeSet;

use crate::{
    id::{AvailabilityZone, DeploymentId, FabricDomainId},
    objective::Objective,
};

/// Instances of one domain that no replica holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainCapacity {
    /// The domain.
    pub domain: FabricDomainId,
    /// Its zone.
    pub zone: AvailabilityZone,
    /// Free instances.
    pub free: u32,
}

/// Replicas that a deployment lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The deployment.
    pub deployment: DeploymentId,
    /// Instances of each replica.
    pub instances: u32,
    /// Replicas that it lacks.
    pub missing: u32,
    /// Whether its replicas may span domains.
    pub may_span_domains: bool,
}

/// Instances that one domain gives to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainPart {
    /// The domain.
    pub domain: FabricDomainId,
    /// Instances.
    pub instances: u32,
}

/// Replica to form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The deployment.
    pub deployment: DeploymentId,
    /// Its parts, in ascending order of domain. The first is its home.
    pub parts: Vec<DomainPart>,
}

/// Plans all missing replicas.
pub fn plan(
    objective: Objective,
    supplies: &[DomainCapacity],
    demands: &[Demand],
) -> Vec<Assignment> {
    let mut room = Room::new(supplies);
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
            let parts = match room.take_whole(objective, demand.instances) {
                Some(part) => vec![part],
                None if demand.may_span_domains => match room.take_across(demand.instances) {
                    Some(parts) => parts,
                    None => break,
                },
                None => break,
            };
            plan.push(Assignment { deployment: demand.deployment.clone(), parts });
        }
    }
    plan
}

/// Free instances by size of room.
struct Room<'a> {
    supplies: &'a [DomainCapacity],
    by_free: BTreeSet<(u32, usize)>,
}

impl<'a> Room<'a> {
    fn new(supplies: &'a [DomainCapacity]) -> Self {
        let by_free = supplies.iter().enumerate().map(|(idx, it)| (it.free, idx)).collect();
        Self { supplies, by_free }
    }

    fn take_whole(&mut self, objective: Objective, instances: u32) -> Option<DomainPart> {
        let mut fitting = self.by_free.range((instances, 0)..);
        let place = match objective {
            Objective::GroupDowntime => fitting.next_back(),
            Objective::StrandedAccelerators => fitting.next(),
        };
        let place = *place?;
        Some(self.take(place, instances))
    }

    /// Takes the largest rooms of one zone, as few as will do.
    fn take_across(&mut self, instances: u32) -> Option<Vec<DomainPart>> {
        let zones: BTreeSet<&AvailabilityZone> = self.supplies.iter().map(|it| &it.zone).collect();
        let places = zones.into_iter().find_map(|zone| self.largest_rooms(zone, instances))?;
        let mut left = instances;
        let mut parts = Vec::new();
        for place in places {
            let taken = left.min(place.0);
            parts.push(self.take(place, taken));
            left -= taken;
        }
        parts.sort_by(|a, b| a.domain.cmp(&b.domain));
        Some(parts)
    }

    fn largest_rooms(&self, zone: &AvailabilityZone, instances: u32) -> Option<Vec<(u32, usize)>> {
        let mut found = 0;
        let mut places = Vec::new();
        let in_zone =
            self.by_free.iter().rev().filter(|(_, idx)| self.supplies[*idx].zone == *zone);
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
        DomainPart { domain: self.supplies[idx].domain.clone(), instances }
    }
}

#[cfg(test)]
mod tests;
