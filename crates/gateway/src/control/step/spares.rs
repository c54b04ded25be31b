//! Spares: the order in which replicas take them, and the weights that they keep
//! loaded.
//!
//! Replicas lose a member every few seconds. A spare that already has the
//! weights in a standby replica joins in a fraction of a second.

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

/// Spares that a model may use, in order of preference: spares that are warm for
/// it, spares with its weights, spares that are loading them, spares without
/// weights, and spares that are reserved for another model.
pub(super) fn ranked_spares<'a>(
    plan: &DomainPlan,
    hosts: &'a Hosts,
    control_state: &ControlState,
    model: &ModelId,
) -> Vec<&'a Host> {
    let reserved_for = |host: &Host| {
        let staging = control_state.staging(host);
        let standby = control_state.standby(host).map(|it| &it.model);
        staging.or(standby).or_else(|| host.staged.first()).cloned()
    };
    let mut spares: Vec<(Option<ModelId>, &Host)> = free_hosts(plan, hosts, control_state)
        .into_iter()
        .map(|it| (reserved_for(it), it))
        .collect();
    spares.sort_by_key(|(reserved_for, host)| {
        let is_of_model = reserved_for.as_ref() == Some(model);
        let is_staged = host.staged.contains(model);
        (!is_warm(host, control_state, model), !is_staged, !is_of_model, reserved_for.is_some())
    });
    spares.into_iter().map(|(_, host)| host).collect()
}

/// Whether a spare can join a replica of the model without loading weights.
pub(super) fn is_warm(host: &Host, control_state: &ControlState, model: &ModelId) -> bool {
    let ready = host.membership.is_some_and(|it| it.state == MemberState::Ready);
    ready && control_state.standby(host).is_some_and(|it| it.model == *model)
}

/// Usable instances that belong to no replica.
fn free_hosts<'a>(
    plan: &DomainPlan,
    hosts: &'a Hosts,
    control_state: &ControlState,
) -> Vec<&'a Host> {
    let is_free = |host: &&Host| {
        host.is_alive() && !host.leaving && control_state.is_free(host) && !plan.contains(&host.id)
    };
    hosts.values().filter(is_free).collect()
}

/// Orders that keep spares warm. Each spare joins a standby replica that is never
/// opened, and so keeps the weights loaded as a member does. Spares load other
/// weights only once all replicas are formed and no instance was added recently.
pub(super) fn standby_orders<'a>(
    plan: &DomainPlan,
    hosts: &'a Hosts,
    config: &StepConfig<'_>,
    control_state: &mut ControlState,
    is_unlimited: bool,
    now: Time,
) -> Vec<(&'a Host, Order)> {
    let is_forming = |replica: &PlannedReplica| {
        let head = replica.head().and_then(|it| find_host(hosts, it));
        head.and_then(|it| it.membership).is_none_or(|it| {
            !it.matches(replica.id, replica.epoch) || it.state == MemberState::Joining
        })
    };
    // The standby of a spare that became a member is dropped, and so is that of a
    // spare whose weights were replaced by those of another model. A spare that has
    // not joined yet, or loads with its join, still reports its earlier weights.
    control_state.standbys.retain(|(id, incarnation), standby| {
        let host = hosts.get(id).filter(|it| it.incarnation == *incarnation);
        let was_replaced = host.is_some_and(|it| {
            let has_joined = it.membership.is_some_and(|it| {
                it.matches(standby.replica, standby.epoch) && it.state == MemberState::Ready
            });
            has_joined && !it.staged.is_empty() && !it.staged.contains(&standby.model)
        });
        !plan.contains(id) && !was_replaced
    });
    let mut counts: BTreeMap<&ModelId, usize> =
        config.engine.models.iter().map(|it| (&it.model, 0)).collect();
    let (mut cold, mut due) = (Vec::new(), Vec::new());
    let free = free_hosts(plan, hosts, control_state);
    for host in free.iter().copied() {
        let standby = control_state.standby(host).cloned();
        let staged = || counts.keys().find(|it| host.staged.contains(it)).copied().cloned();
        let kept = standby.as_ref().map(|it| it.model.clone()).or_else(staged);
        // A spare that is loading counts for the model that it loads.
        match control_state.staging(host).or(kept.as_ref()).and_then(|it| counts.get_mut(it)) {
            Some(count) => *count += 1,
            None => cold.push(host),
        }
        match (standby, kept) {
            (Some(standby), _) => {
                if !host.membership.is_some_and(|it| it.matches(standby.replica, standby.epoch)) {
                    due.push((host, standby.join_order(host)));
                }
            }
            (None, Some(model)) => {
                let standby = control_state.begin_standby(host, &model, plan.epoch);
                due.extend(standby.map(|it| (host, it.join_order(host))));
            }
            (None, None) => {}
        }
    }
    if plan.replicas.iter().any(is_forming) || !control_state.is_settled(now) {
        return due;
    }
    let targets = spare_targets(plan, config, free.len());
    let surplus = |counts: &BTreeMap<&ModelId, usize>, model: &ModelId| {
        targets.get(model).copied().unwrap_or_default()
            < counts.get(model).copied().unwrap_or_default()
    };
    // A surplus spare of one model loads the weights of another. It stays warm
    // for its own model until the load is done.
    let spare = free.iter().find(|it| {
        let standby = control_state.standby(it).filter(|_| control_state.staging(it).is_none());
        standby.is_some_and(|standby| surplus(&counts, &standby.model))
    });
    if let (true, Some(host)) = (cold.is_empty(), spare)
        && let Some(count) = control_state.standby(host).and_then(|it| counts.get_mut(&it.model))
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
        let order = match !is_unlimited && control_state.needs_staging(host, model) {
            true => Some(Order::Stage { model: model.clone() }),
            false => {
                let standby = control_state.begin_standby(host, model, plan.epoch);
                standby.map(|it| it.join_order(host))
            }
        };
        due.extend(order.map(|it| (host, it)));
    }
    due
}

/// Target number of spares for each model out of `spares` spares. Each model has
/// one before any has more. Then the model with the most members comes first,
/// because it is the most likely to lose one.
fn spare_targets<'a>(
    plan: &DomainPlan,
    config: &'a StepConfig<'_>,
    spares: usize,
) -> BTreeMap<&'a ModelId, usize> {
    let members = |model: &ModelId| -> usize {
        plan.replicas.iter().filter(|it| it.model == *model).map(|it| it.members.len()).sum()
    };
    let mut targets: BTreeMap<&ModelId, usize> =
        config.engine.models.iter().map(|it| (&it.model, 0)).collect();
    for _ in 0..spares {
        let neediest = targets
            .iter_mut()
            .min_by_key(|(model, count)| (**count, std::cmp::Reverse(members(model))));
        let Some((_, count)) = neediest else { break };
        *count += 1;
    }
    targets
}
