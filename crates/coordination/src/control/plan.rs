//! The plan of the fleet: what each domain is to form, drain and load.
//!
//! Every node works it out alike from the configuration, the instance list and
//! the domain records, and carries out the part of the domains that it owns.
//! Nodes that work from older records may plan too many replicas for a moment;
//! the plan then drains the excess. Two plans never allocate an instance twice:
//! the records see to that.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use citrongw_protocol::{
    instance_list::{InstanceState, ListedInstance},
    record::{DomainRecord, DrainCause},
};
use citrongw_state::{
    config::{Config, Deployment, Profile},
    id::{DeploymentId, FabricDomainId, InstanceId, ReplicaId, Revision},
    objective::Objective,
    placement::{self, Assignment, Demand, DomainCapacity},
    replica::{Member, ReplicaSpec},
    weight_load_order::{self, WeightLoadTask},
};

use super::context::{DomainPlan, FleetPlan, Formation, Target};

/// Records of all domains, as last told.
pub type Records = BTreeMap<FabricDomainId, (Arc<DomainRecord>, Revision)>;

/// What a plan is made from.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// What formation weighs most.
    pub objective: Objective,
    /// Members that may load weights at once.
    pub loads_at_once: u32,
    /// Configuration in force.
    pub config: &'a Config,
    /// Records.
    pub records: &'a Records,
    /// Instance list.
    pub listed: &'a [ListedInstance],
}

/// Replicas of one deployment, with their domain.
#[derive(Debug, Default)]
struct Standing<'a> {
    active: Vec<(&'a FabricDomainId, &'a ReplicaSpec)>,
    pending: u32,
    draining: u32,
    down: BTreeSet<ReplicaId>,
}

/// Works out the plan.
pub fn compute(input: &PlanInput<'_>) -> FleetPlan {
    let deadlines = input.config.profiles.iter().map(Profile::deadline);
    let mut fleet =
        FleetPlan { longest_request: deadlines.max().unwrap_or_default(), ..FleetPlan::default() };
    for (domain, (_, revision)) in input.records {
        let part = DomainPlan { revision: Some(*revision), ..DomainPlan::default() };
        fleet.domains.insert(domain.clone(), part);
    }
    fleet.foreign = foreign(input.records);
    let mut standings = stand(input.records);
    let mut demands = Vec::new();
    let coming = input.records.values().any(|(it, _)| !it.draining.is_empty());
    for deployment in &input.config.deployments {
        let standing = standings.remove(&deployment.id).unwrap_or_default();
        let target = target(deployment, &standing, input.records);
        let surge = change(input.config, deployment, &standing, &target, &mut fleet);
        let wanted = deployment.replicas + surge;
        let existing = count(&standing.active) + standing.pending;
        drain_excess(&standing, existing.saturating_sub(wanted), &mut fleet);
        demands.push(Demand {
            deployment: deployment.id.clone(),
            instances: deployment.instances_per_replica,
            missing: wanted.saturating_sub(existing),
            may_span_domains: !coming,
        });
        fleet.targets.insert(deployment.id.clone(), target);
    }
    for standing in standings.values() {
        drain_excess(standing, count(&standing.active), &mut fleet);
    }
    form(input, &demands, &mut fleet);
    start_loads(input, &mut fleet);
    fleet
}

fn foreign(records: &Records) -> BTreeMap<InstanceId, FabricDomainId> {
    let claims = records.iter().flat_map(|(domain, (record, _))| {
        record.foreign.iter().map(move |it| (it.member.instance.clone(), domain.clone()))
    });
    claims.collect()
}

fn count<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}

fn stand(records: &Records) -> BTreeMap<DeploymentId, Standing<'_>> {
    let mut standings: BTreeMap<DeploymentId, Standing<'_>> = BTreeMap::new();
    for (domain, (record, _)) in records {
        for spec in &record.replicas {
            let standing = standings.entry(spec.deployment.clone()).or_default();
            standing.active.push((domain, spec));
            if record.down.iter().any(|it| it.replica == spec.id)
                || record.loads.iter().any(|it| it.replica == spec.id)
            {
                standing.down.insert(spec.id);
            }
        }
        // One that takes another's place is counted already.
        for spec in record.pending.iter().filter(|it| record.replaced_by(it.id).is_none()) {
            standings.entry(spec.deployment.clone()).or_default().pending += 1;
        }
        for draining in &record.draining {
            standings.entry(draining.spec.deployment.clone()).or_default().draining += 1;
        }
    }
    standings
}

/// What the replicas of a deployment are to hold: what is configured, unless
/// that failed somewhere.
fn target(deployment: &Deployment, standing: &Standing<'_>, records: &Records) -> Target {
    let failed = records.values().flat_map(|(it, _)| &it.failed_changes).find(|it| {
        it.deployment == deployment.id
            && it.version == deployment.version
            && it.adapters == deployment.adapters
    });
    let (version, adapters) = match failed {
        Some(it) => (it.previous_version.clone(), it.previous_adapters.clone()),
        None => (deployment.version.clone(), deployment.adapters.clone()),
    };
    let other = standing.active.iter().map(|(_, spec)| spec);
    let other =
        other.filter(|it| it.version != version || it.adapters != adapters).min_by_key(|it| it.id);
    let previous = match failed {
        Some(_) => None,
        None => other.map(|it| (it.version.clone(), it.adapters.clone())),
    };
    Target { version, adapters, previous }
}

/// Goes on with a planned change by one replica, in order of domains, so that
/// no two owners take one out at once. Gives how many replicas more than
/// wanted it needs to keep the least number serving.
fn change(
    config: &Config,
    deployment: &Deployment,
    standing: &Standing<'_>,
    target: &Target,
    fleet: &mut FleetPlan,
) -> u32 {
    let outdated = |(_, spec): &&(&FabricDomainId, &ReplicaSpec)| {
        spec.version != target.version || spec.adapters != target.adapters
    };
    let mut outdated: Vec<_> = standing.active.iter().filter(outdated).collect();
    if outdated.is_empty() {
        return 0;
    }
    let of_model = config.profiles.iter().filter(|it| it.model == deployment.model);
    let least = of_model.map(|it| it.min_serving).max().unwrap_or(1);
    let surge = u32::from(deployment.replicas <= least);
    // One that serves nothing may go at any time.
    outdated.sort_by_key(|(domain, spec)| (!standing.down.contains(&spec.id), *domain, spec.id));
    let Some((domain, spec)) = outdated.first() else { return surge };
    let is_down = standing.down.contains(&spec.id);
    let quiet = standing.pending == 0 && standing.draining == 0 && standing.down.is_empty();
    let enough = least < count(&standing.active);
    if is_down || (quiet && enough) {
        if let Some(part) = fleet.domains.get_mut(domain) {
            part.drain.push((spec.id, DrainCause::Change));
        }
    }
    surge
}

/// Drains so many replicas, those that serve nothing first.
fn drain_excess(standing: &Standing<'_>, excess: u32, fleet: &mut FleetPlan) {
    let mut candidates = standing.active.clone();
    candidates.sort_by_key(|(_, spec)| (!standing.down.contains(&spec.id), spec.id));
    for (domain, spec) in candidates.into_iter().take(excess as usize) {
        let Some(part) = fleet.domains.get_mut(domain) else { continue };
        if part.drain.iter().all(|(id, _)| *id != spec.id) {
            part.drain.push((spec.id, DrainCause::Excess));
        }
    }
}

fn form(input: &PlanInput<'_>, demands: &[Demand], fleet: &mut FleetPlan) {
    let mut free = free_instances(input);
    let supplies: Vec<DomainCapacity> = free
        .iter()
        .filter_map(|(domain, list)| {
            let zone = list.first()?.zone.clone();
            Some(DomainCapacity { domain: (*domain).clone(), zone, free: count(list) })
        })
        .collect();
    let plan = placement::plan(input.objective, &supplies, demands);
    let lacking = demands.iter().filter(|demand| {
        let formed = plan.iter().filter(|it| it.deployment == demand.deployment).count();
        formed < demand.missing as usize
    });
    fleet.needed_elsewhere = lacking.map(|it| it.instances).min();
    for assignment in plan {
        let elsewhere = propose(&assignment, &mut free);
        let Some(home) = assignment.parts.first() else { continue };
        if let Some(part) = fleet.domains.get_mut(&home.domain) {
            part.formations.push(Formation { assignment, foreign_members: elsewhere });
        }
    }
    let left = free
        .into_iter()
        .flat_map(|(domain, list)| list.into_iter().map(|it| (domain.clone(), member(it))));
    fleet.spares = left.collect();
}

fn member(instance: &ListedInstance) -> Member {
    Member {
        instance: instance.id.clone(),
        incarnation: instance.incarnation,
        engine_addr: instance.engine_addr,
    }
}

fn free_instances<'a>(
    input: &PlanInput<'a>,
) -> BTreeMap<&'a FabricDomainId, Vec<&'a ListedInstance>> {
    let mut held: BTreeMap<&FabricDomainId, BTreeSet<&InstanceId>> = BTreeMap::new();
    for (domain, (record, _)) in input.records {
        let taken = record.allocated_members().chain(&record.releasing).map(|it| &it.instance);
        held.insert(domain, taken.chain(&record.unusable).collect());
    }
    let mut free: BTreeMap<&FabricDomainId, Vec<&ListedInstance>> = BTreeMap::new();
    for instance in input.listed {
        let Some(held) = held.get(&instance.domain) else { continue };
        let Some((record, _)) = input.records.get(&instance.domain) else { continue };
        if instance.state == InstanceState::Live
            && !held.contains(&instance.id)
            && !record.is_leaving(&instance.id, instance.incarnation)
        {
            free.entry(&instance.domain).or_default().push(instance);
        }
    }
    for list in free.values_mut() {
        list.sort_by(|a, b| a.id.cmp(&b.id));
    }
    free
}

/// Picks members in the domains beyond the home.
fn propose(
    assignment: &Assignment,
    free: &mut BTreeMap<&FabricDomainId, Vec<&ListedInstance>>,
) -> Vec<(FabricDomainId, Member)> {
    let mut members = Vec::new();
    for (idx, part) in assignment.parts.iter().enumerate() {
        let Some(list) = free.get_mut(&part.domain) else { continue };
        let taken = (part.instances as usize).min(list.len());
        for instance in list.drain(..taken).filter(|_| 0 < idx) {
            members.push((part.domain.clone(), member(instance)));
        }
    }
    members
}

fn start_loads(input: &PlanInput<'_>, fleet: &mut FleetPlan) {
    let listed = input
        .records
        .iter()
        .flat_map(|(domain, (record, _))| record.loads.iter().map(move |it| (it.replica, domain)));
    let homes: BTreeMap<ReplicaId, &FabricDomainId> = listed.collect();
    let loads: Vec<WeightLoadTask> = input
        .records
        .values()
        .flat_map(|(record, _)| &record.loads)
        .map(|it| WeightLoadTask {
            replica: it.replica,
            members: it.members,
            accelerators: it.accelerators,
            running: it.running,
        })
        .collect();
    for replica in weight_load_order::startable(input.objective, &loads, input.loads_at_once) {
        let part = homes.get(&replica).and_then(|it| fleet.domains.get_mut(*it));
        if let Some(part) = part {
            part.loads_to_start.push(replica);
        }
    }
}
