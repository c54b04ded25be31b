//! Fleet plan: the replicas that each domain is to form, drain and load.
//!
//! Every node computes the same plan from the same configuration, instance list
//! and domain records, and executes the part of the domains that it owns. Nodes
//! with stale records may temporarily plan too many replicas; a later plan
//! drains the excess. An instance is never allocated twice, because allocations
//! are committed in the domain records.

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

/// Records of all domains with their revisions, as last received.
pub type Records = BTreeMap<FabricDomainId, (Arc<DomainRecord>, Revision)>;

/// Inputs of a plan.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// Objective that formation optimises for.
    pub objective: Objective,
    /// Maximum number of members that load weights concurrently.
    pub loads_at_once: u32,
    /// Configuration in force.
    pub config: &'a Config,
    /// Records of all domains.
    pub records: &'a Records,
    /// Instances of all domains, as last listed by the platform.
    pub listed: &'a [ListedInstance],
}

/// State of the replicas of one deployment.
#[derive(Debug, Default)]
struct DeploymentState<'a> {
    active: Vec<(&'a FabricDomainId, &'a ReplicaSpec)>,
    pending: u32,
    draining: u32,
    down: BTreeSet<ReplicaId>,
}

/// Computes the plan.
pub fn compute(input: &PlanInput<'_>) -> FleetPlan {
    let deadlines = input.config.profiles.iter().map(Profile::deadline);
    let mut fleet =
        FleetPlan { longest_request: deadlines.max().unwrap_or_default(), ..FleetPlan::default() };
    for (domain, (_, revision)) in input.records {
        let part = DomainPlan { revision: Some(*revision), ..DomainPlan::default() };
        fleet.domains.insert(domain.clone(), part);
    }
    fleet.foreign_domains = foreign_domains(input.records);
    let mut states = deployment_states(input.records);
    let mut demands = Vec::new();
    let is_draining = input.records.values().any(|(it, _)| !it.draining.is_empty());
    for deployment in &input.config.deployments {
        let state = states.remove(&deployment.id).unwrap_or_default();
        let target = target(deployment, &state, input.records);
        let surge = advance_change(input.config, deployment, &state, &target, &mut fleet);
        let target_count = deployment.replicas + surge;
        let existing = count(&state.active) + state.pending;
        drain_excess(&state, existing.saturating_sub(target_count), &mut fleet);
        demands.push(Demand {
            deployment: deployment.id.clone(),
            instances: deployment.instances_per_replica,
            missing: target_count.saturating_sub(existing),
            may_span_domains: !is_draining,
        });
        fleet.targets.insert(deployment.id.clone(), target);
    }
    for state in states.values() {
        drain_excess(state, count(&state.active), &mut fleet);
    }
    form(input, &demands, &mut fleet);
    start_loads(input, &mut fleet);
    fleet
}

fn foreign_domains(records: &Records) -> BTreeMap<InstanceId, FabricDomainId> {
    let claims = records.iter().flat_map(|(domain, (record, _))| {
        record.foreign.iter().map(move |it| (it.member.instance.clone(), domain.clone()))
    });
    claims.collect()
}

fn count<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}

fn deployment_states(records: &Records) -> BTreeMap<DeploymentId, DeploymentState<'_>> {
    let mut states: BTreeMap<DeploymentId, DeploymentState<'_>> = BTreeMap::new();
    for (domain, (record, _)) in records {
        for spec in &record.replicas {
            let state = states.entry(spec.deployment.clone()).or_default();
            state.active.push((domain, spec));
            if record.down.iter().any(|it| it.replica == spec.id)
                || record.loads.iter().any(|it| it.replica == spec.id)
            {
                state.down.insert(spec.id);
            }
        }
        // A replica that replaces another is counted with it already.
        for spec in record.pending.iter().filter(|it| record.replaced_by(it.id).is_none()) {
            states.entry(spec.deployment.clone()).or_default().pending += 1;
        }
        for draining in &record.draining {
            states.entry(draining.spec.deployment.clone()).or_default().draining += 1;
        }
    }
    states
}

/// Version and adapters that the replicas of a deployment are to serve: the
/// configured ones, or the previous ones if the change failed in any domain.
fn target(deployment: &Deployment, state: &DeploymentState<'_>, records: &Records) -> Target {
    let failed = records.values().flat_map(|(it, _)| &it.failed_changes).find(|it| {
        it.deployment == deployment.id
            && it.version == deployment.version
            && it.adapters == deployment.adapters
    });
    let (version, adapters) = match failed {
        Some(it) => (it.previous_version.clone(), it.previous_adapters.clone()),
        None => (deployment.version.clone(), deployment.adapters.clone()),
    };
    let other = state.active.iter().map(|(_, spec)| spec);
    let other =
        other.filter(|it| it.version != version || it.adapters != adapters).min_by_key(|it| it.id);
    let previous = match failed {
        Some(_) => None,
        None => other.map(|it| (it.version.clone(), it.adapters.clone())),
    };
    Target { version, adapters, previous }
}

/// Advances a planned change by one replica, in order of domains, so that no
/// two owners take a replica out of service at once. Returns the number of
/// extra replicas needed to keep the minimum number serving.
fn advance_change(
    config: &Config,
    deployment: &Deployment,
    state: &DeploymentState<'_>,
    target: &Target,
    fleet: &mut FleetPlan,
) -> u32 {
    let outdated = |(_, spec): &&(&FabricDomainId, &ReplicaSpec)| {
        spec.version != target.version || spec.adapters != target.adapters
    };
    let mut outdated: Vec<_> = state.active.iter().filter(outdated).collect();
    if outdated.is_empty() {
        return 0;
    }
    let of_model = config.profiles.iter().filter(|it| it.model == deployment.model);
    let min_active = of_model.map(|it| it.min_serving).max().unwrap_or(1);
    let surge = u32::from(deployment.replicas <= min_active);
    // A replica that is down may be drained at any time.
    outdated.sort_by_key(|(domain, spec)| (!state.down.contains(&spec.id), *domain, spec.id));
    let Some((domain, spec)) = outdated.first() else { return surge };
    let is_down = state.down.contains(&spec.id);
    let is_idle = state.pending == 0 && state.draining == 0 && state.down.is_empty();
    let has_reserve = min_active < count(&state.active);
    if is_down || (is_idle && has_reserve) {
        if let Some(part) = fleet.domains.get_mut(domain) {
            part.drain.push((spec.id, DrainCause::Change));
        }
    }
    surge
}

/// Drains `excess` replicas, those that are down first.
fn drain_excess(state: &DeploymentState<'_>, excess: u32, fleet: &mut FleetPlan) {
    let mut candidates = state.active.clone();
    candidates.sort_by_key(|(_, spec)| (!state.down.contains(&spec.id), spec.id));
    for (domain, spec) in candidates.into_iter().take(excess as usize) {
        let Some(part) = fleet.domains.get_mut(domain) else { continue };
        if part.drain.iter().all(|(id, _)| *id != spec.id) {
            part.drain.push((spec.id, DrainCause::Excess));
        }
    }
}

fn form(input: &PlanInput<'_>, demands: &[Demand], fleet: &mut FleetPlan) {
    let mut free = free_instances(input);
    let capacities: Vec<DomainCapacity> = free
        .iter()
        .filter_map(|(domain, list)| {
            let zone = list.first()?.zone.clone();
            Some(DomainCapacity { domain: (*domain).clone(), zone, free: count(list) })
        })
        .collect();
    let plan = placement::plan(input.objective, &capacities, demands);
    let unplaced = demands.iter().filter(|demand| {
        let formed = plan.iter().filter(|it| it.deployment == demand.deployment).count();
        formed < demand.missing as usize
    });
    fleet.needed_elsewhere = unplaced.map(|it| it.instances).min();
    for assignment in plan {
        let foreign_members = select_foreign_members(&assignment, &mut free);
        let Some(home) = assignment.parts.first() else { continue };
        if let Some(part) = fleet.domains.get_mut(&home.domain) {
            part.formations.push(Formation { assignment, foreign_members });
        }
    }
    let unassigned = free
        .into_iter()
        .flat_map(|(domain, list)| list.into_iter().map(|it| (domain.clone(), member(it))));
    fleet.spares = unassigned.collect();
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
    let mut unavailable: BTreeMap<&FabricDomainId, BTreeSet<&InstanceId>> = BTreeMap::new();
    for (domain, (record, _)) in input.records {
        let taken = record.allocated_members().chain(&record.releasing).map(|it| &it.instance);
        unavailable.insert(domain, taken.chain(&record.unusable).collect());
    }
    let mut free: BTreeMap<&FabricDomainId, Vec<&ListedInstance>> = BTreeMap::new();
    for instance in input.listed {
        let Some(unavailable) = unavailable.get(&instance.domain) else { continue };
        let Some((record, _)) = input.records.get(&instance.domain) else { continue };
        if instance.state == InstanceState::Live
            && !unavailable.contains(&instance.id)
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

/// Selects members in the domains other than the home.
fn select_foreign_members(
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
