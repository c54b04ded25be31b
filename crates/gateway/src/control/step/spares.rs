//! Spares: which of them a replica takes, and the weights that they keep warm.
//!
//! Answers the load of replicas that lose a member every few seconds: a spare
//! that holds the weights as a member does joins in a fraction of a second.

use std::collections::BTreeMap;

use citrongw_state::{id::ModelId, time::Time};

use super::{
    StepConfig,
    control_state::ControlState,
    host::{Host, Hosts},
    repair_action::find_host,
};
use crate::{
    adapter::Order,
    control::plan::{DomainPlan, PlannedReplica},
    instance::MemberState,
};

/// Spares that a model may use, in the order in which it takes them: those that
/// are warm for it, those with its weights, those that load them, those without
/// any, and those that are kept for another model.
pub(super) fn ranked_spares<'a>(
    plan: &DomainPlan,
    hosts: &'a Hosts,
    memory: &ControlState,
    model: &ModelId,
) -> Vec<&'a Host> {
    let kept_for = |host: &Host| {
        let staging = memory.staging(host);
        let standby = memory.standby(host).map(|it| &it.model);
        staging.or(standby).or_else(|| host.staged.first()).cloned()
    };
    let mut spares: Vec<(Option<ModelId>, &Host)> =
        free_hosts(plan, hosts, memory).into_iter().map(|it| (kept_for(it), it)).collect();
    spares.sort_by_key(|(kept_for, host)| {
        let is_of_model = kept_for.as_ref() == Some(model);
        let is_staged = host.staged.contains(model);
        (!is_warm(host, memory, model), !is_staged, !is_of_model, kept_for.is_some())
    });
    spares.into_iter().map(|(_, host)| host).collect()
}

/// Whether a spare joins a replica of the model in a moment.
pub(super) fn is_warm(host: &Host, memory: &ControlState, model: &ModelId) -> bool {
    let ready = host.membership.is_some_and(|it| it.state == MemberState::Ready);
    ready && memory.standby(host).is_some_and(|it| it.model == *model)
}

/// Instances that can be used and belong to no replica.
fn free_hosts<'a>(plan: &DomainPlan, hosts: &'a Hosts, memory: &ControlState) -> Vec<&'a Host> {
    let is_free = |host: &&Host| {
        host.is_alive() && !host.leaving && memory.is_free(host) && !plan.contains(&host.id)
    };
    hosts.values().filter(is_free).collect()
}

/// Keeps spares warm once all replicas are formed: each joins a replica of its
/// own that is never opened, and so holds the weights as a member does.
pub(super) fn standby_orders<'a>(
    plan: &DomainPlan,
    hosts: &'a Hosts,
    rules: &StepConfig<'_>,
    memory: &mut ControlState,
    is_unlimited: bool,
    now: Time,
) -> Vec<(&'a Host, Order)> {
    let is_forming = |replica: &PlannedReplica| {
        let head = replica.head().and_then(|it| find_host(hosts, it));
        head.and_then(|it| it.membership).is_none_or(|it| {
            !it.matches(replica.id, replica.epoch) || it.state == MemberState::Joining
        })
    };
    // A spare that became a member begins anew when it is free again, and so does
    // one whose weights gave way to others.
    memory.standbys.retain(|(id, incarnation), standby| {
        let host = hosts.get(id).filter(|it| it.incarnation == *incarnation);
        let gave_way =
            host.is_some_and(|it| !it.staged.is_empty() && !it.staged.contains(&standby.model));
        !plan.contains(id) && !gave_way
    });
    let mut counts: BTreeMap<&ModelId, usize> =
        rules.engine.models.iter().map(|it| (&it.model, 0)).collect();
    let (mut cold, mut due) = (Vec::new(), Vec::new());
    let free = free_hosts(plan, hosts, memory);
    for host in free.iter().copied() {
        let standby = memory.standby(host).cloned();
        let staged = || counts.keys().find(|it| host.staged.contains(it)).copied().cloned();
        let kept = standby.as_ref().map(|it| it.model.clone()).or_else(staged);
        // It counts for the model that it will have.
        match memory.staging(host).or(kept.as_ref()).and_then(|it| counts.get_mut(it)) {
            Some(count) => *count += 1,
            None => cold.push(host),
        }
        match (standby, kept) {
            (Some(standby), _) => {
                if !host.membership.is_some_and(|it| it.matches(standby.replica, standby.epoch)) {
                    due.push((host, standby.join(host)));
                }
            }
            (None, Some(model)) => {
                due.push((host, memory.begin_standby(host, &model, plan.epoch).join(host)));
            }
            (None, None) => {}
        }
    }
    if plan.replicas.iter().any(is_forming) || !memory.is_settled(now) {
        return due;
    }
    let targets = spare_targets(plan, rules, free.len());
    let surplus = |counts: &BTreeMap<&ModelId, usize>, model: &ModelId| {
        targets.get(model).copied().unwrap_or_default()
            < counts.get(model).copied().unwrap_or_default()
    };
    // A spare too many of one model takes up the weights of another, and stays
    // warm for its own until they are there.
    let spare = free.iter().find(|it| {
        let standby = memory.standby(it).filter(|_| memory.staging(it).is_none());
        standby.is_some_and(|standby| surplus(&counts, &standby.model))
    });
    if let (true, Some(host)) = (cold.is_empty(), spare)
        && let Some(count) = memory.standby(host).and_then(|it| counts.get_mut(&it.model))
    {
        *count -= 1;
        cold.push(host);
    }
    for host in cold {
        let lacking = targets
            .iter()
            .find(|(model, target)| counts.get(*model).copied().unwrap_or_default() < **target);
        let Some((&model, _)) = lacking else { break };
        *counts.entry(model).or_default() += 1;
        due.push((
            host,
            match !is_unlimited && memory.needs_staging(host, model) {
                true => Order::Stage { model: model.clone() },
                false => memory.begin_standby(host, model, plan.epoch).join(host),
            },
        ));
    }
    due
}

/// Spares that each model is to have of so many. Each model has one before any
/// has more; then the one with the most members comes first, for it is the
/// likeliest to lose one.
fn spare_targets<'a>(
    plan: &DomainPlan,
    rules: &'a StepConfig<'_>,
    spares: usize,
) -> BTreeMap<&'a ModelId, usize> {
    let members = |model: &ModelId| -> usize {
        plan.replicas.iter().filter(|it| it.model == *model).map(|it| it.members.len()).sum()
    };
    let mut targets: BTreeMap<&ModelId, usize> =
        rules.engine.models.iter().map(|it| (&it.model, 0)).collect();
    for _ in 0..spares {
        let neediest = targets
            .iter_mut()
            .min_by_key(|(model, count)| (**count, std::cmp::Reverse(members(model))));
        let Some((_, count)) = neediest else { break };
        *count += 1;
    }
    targets
}
