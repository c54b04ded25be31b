//! Decisions for one domain, as functions of its plan, the reports of its
//! instances, and the time.
//!
//! [`next_plan`] returns the next plan. [`orders`] returns the orders that
//! bring the instances from their reported state to the planned state. A
//! replica that lost a member continues under a new epoch, which each member
//! joins in place of the old one. An instance joins another replica only once the
//! head of its old one cannot be open any more: the head reported that it left,
//! closed or broke, or its process ended, or it has been unreachable for long
//! enough to have broken by itself.
//!
//! An order may be carried out seconds late, under the next owner. Instances refuse one
//! whose epoch is lower than what they have seen, so no order leaves before its epoch is in
//! the domain's record: each write of the plan reserves some for the joins of spares, and
//! the next owner continues above all of them.

mod control_state;
mod host;
mod orders;
mod repair_action;
mod spares;

use std::{collections::HashSet, time::Duration};

use citrongw_state::{
    id::{Epoch, ReplicaId},
    time::Time,
};

pub use self::{
    control_state::ControlState,
    host::{Host, Hosts, Liveness},
    orders::orders,
};
use self::{
    repair_action::{RepairAction, choose_repair, find_host, may_change_members, may_dissolve},
    spares::ranked_spares,
};
use super::{
    layout,
    plan::{DomainPlan, PlannedMember, PlannedReplica},
};
use crate::{gateway_config::EngineSpec, instance::MemberState};

/// Time that an incomplete replica waits for spares before its members become
/// spares themselves.
const INCOMPLETE_TIMEOUT: Duration = Duration::from_secs(3);

/// Parameters of the steps of a domain.
#[derive(Debug, Clone, Copy)]
pub struct StepConfig<'a> {
    /// Engine of the domain's service.
    pub engine: &'a EngineSpec,
    /// Time after which a replica that lost a member breaks without an order.
    pub stall_time: Duration,
    /// Whether the domain is in a zone under evacuation. Its replicas and spares stay as
    /// they are then, so that it returns without loading weights.
    pub is_evacuated: bool,
}

/// Returns the next plan, or none if the plan does not change.
pub fn next_plan(
    plan: &DomainPlan,
    hosts: &Hosts,
    config: &StepConfig<'_>,
    control_state: &mut ControlState,
    now: Time,
    mut new_replica_id: impl FnMut() -> ReplicaId,
) -> Option<DomainPlan> {
    control_state.update_hosts(hosts, now);
    if config.is_evacuated {
        control_state.suspend_repairs();
        return None;
    }
    let mut next = plan.clone();
    if next.layout.is_empty() {
        next.layout = layout::layout(&config.engine.models, hosts.len());
    }
    for idx in 0..next.replicas.len() {
        repair(&mut next, idx, hosts, control_state, now);
    }
    dissolve(&mut next, hosts, config, control_state, now);
    form(&mut next, hosts, config, control_state, now, &mut new_replica_id);
    if next != *plan || plan.epoch <= control_state.epoch_floor() {
        next.reserve_epochs(control_state.epoch_floor());
    }
    (next != *plan).then_some(next)
}

/// Replaces members or the head of a replica where necessary.
fn repair(
    next: &mut DomainPlan,
    idx: usize,
    hosts: &Hosts,
    control_state: &mut ControlState,
    now: Time,
) {
    let replica = &next.replicas[idx];
    let key = (replica.id, replica.epoch);
    let ranks = match choose_repair(next, replica, hosts, control_state) {
        RepairAction::None => {
            control_state.incomplete_since.remove(&key);
            return;
        }
        RepairAction::Replace(ranks) => {
            control_state.incomplete_since.entry(key).or_insert(now);
            ranks
        }
        RepairAction::ReplaceLeaving(ranks) => ranks,
        RepairAction::NewHead => Vec::new(),
    };
    if !may_change_members(replica, hosts, control_state) {
        return;
    }
    let spares = ranked_spares(next, hosts, control_state, &replica.model);
    if spares.len() < ranks.len() {
        return;
    }
    let replacements: Vec<PlannedMember> = spares.into_iter().map(planned_member).collect();
    let epoch = next_epoch(next, hosts, control_state);
    control_state.raise_epoch_floor(epoch);
    let replica = &mut next.replicas[idx];
    for (rank, replacement) in ranks.iter().zip(replacements) {
        replica.members[*rank] = replacement;
    }
    choose_head(replica, &ranks, hosts);
    replica.epoch = epoch;
    next.epoch = epoch;
}

/// Puts a member that stays first, preferably a warm one, and of these the current head.
fn choose_head(replica: &mut PlannedReplica, replaced: &[usize], hosts: &Hosts) {
    let stays = |rank: &usize| {
        let host = find_host(hosts, &replica.members[*rank]);
        !replaced.contains(rank) && host.is_some_and(Host::can_lead)
    };
    let is_warm =
        |rank: &usize| find_host(hosts, &replica.members[*rank]).is_some_and(|it| !it.is_cold);
    let ranks = 0..replica.members.len();
    let warm = ranks.clone().find(|it| stays(it) && is_warm(it));
    if let Some(head) = warm.or_else(|| ranks.clone().find(stays)) {
        replica.members.swap(0, head);
    }
}

/// Epoch above all epochs that the plan assigned and that instances reported or
/// refused.
fn next_epoch(plan: &DomainPlan, hosts: &Hosts, control_state: &ControlState) -> Epoch {
    let reported = hosts.values().filter_map(|it| Some(it.membership?.epoch)).max();
    plan.epoch.max(reported.unwrap_or_default()).max(control_state.epoch_floor).next()
}

fn planned_member(host: &Host) -> PlannedMember {
    PlannedMember { instance: host.id.clone(), incarnation: host.incarnation }
}

/// Removes replicas that have been incomplete for too long, so that their
/// remaining members can complete others.
fn dissolve(
    next: &mut DomainPlan,
    hosts: &Hosts,
    config: &StepConfig<'_>,
    control_state: &mut ControlState,
    now: Time,
) {
    let replicas = std::mem::take(&mut next.replicas);
    next.replicas = replicas
        .into_iter()
        .filter(|replica| {
            let key = (replica.id, replica.epoch);
            let Some(since) = control_state.incomplete_since.get(&key) else { return true };
            if now.since(*since) < INCOMPLETE_TIMEOUT {
                return true;
            }
            !may_dissolve(replica, hosts, config, control_state, now)
        })
        .collect();
}

/// Forms the replicas that the layout lacks. The layout grows with the number of
/// instances.
fn form(
    next: &mut DomainPlan,
    hosts: &Hosts,
    config: &StepConfig<'_>,
    control_state: &mut ControlState,
    now: Time,
    new_replica_id: &mut impl FnMut() -> ReplicaId,
) {
    let grown_layout = layout::layout(&config.engine.models, hosts.len());
    if next.layout.len() < grown_layout.len() {
        next.layout = grown_layout;
    }
    for model in next.missing_models() {
        let Some(spec) = config.engine.model(&model) else { continue };
        let mut spares = ranked_spares(next, hosts, control_state, &model);
        if !control_state.is_settled(now) {
            spares.retain(|it| it.staged.is_empty() || it.staged.contains(&model));
        }
        if spares.len() < spec.size {
            continue;
        }
        spares.truncate(spec.size);
        // A cold head would tolerate few requests.
        let head = spares.iter().position(|it| !it.is_cold && it.can_lead());
        if let (Some(head), true) = (head, spares.first().is_some_and(|it| it.is_cold)) {
            spares.swap(0, head);
        }
        let members = spares.into_iter().map(planned_member).collect();
        let epoch = next_epoch(next, hosts, control_state);
        control_state.raise_epoch_floor(epoch);
        next.epoch = epoch;
        next.replicas.push(PlannedReplica { id: new_replica_id(), epoch, model, members });
    }
}

/// Replicas whose members all respond and report the planned epoch, and whose
/// head is open.
pub fn serving(
    plan: &DomainPlan,
    hosts: &Hosts,
    control_state: &ControlState,
    now: Time,
) -> HashSet<(ReplicaId, Epoch)> {
    // A head is open after the opening time, even before it reports this.
    let is_open = |replica: &PlannedReplica, state: Option<MemberState>| match state {
        Some(MemberState::Open) => true,
        Some(MemberState::Ready) => {
            control_state.opens_at.get(&(replica.id, replica.epoch)).is_some_and(|at| *at <= now)
        }
        _ => false,
    };
    let serves = |replica: &&PlannedReplica| {
        let state = |member| -> Option<MemberState> {
            let membership = find_host(hosts, member)?.membership?;
            membership.matches(replica.id, replica.epoch).then_some(membership.state)
        };
        let action = choose_repair(plan, replica, hosts, control_state);
        !matches!(action, RepairAction::Replace(_))
            && replica.members.iter().all(|it| state(it).is_some())
            && is_open(replica, replica.head().and_then(state))
    };
    plan.replicas.iter().filter(serves).map(|it| (it.id, it.epoch)).collect()
}

#[cfg(test)]
mod tests;
