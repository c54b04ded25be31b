//! The decisions for one domain, as functions of its record, what its instances
//! report, and the time.
//!
//! [`next_plan`] gives the record that is to follow; [`orders`] gives the orders
//! that lead from what the instances report to the record. A replica that lost a
//! member goes on under a new epoch, which each member takes up in place of the
//! old one. An instance joins another replica only once the head of its old one
//! cannot be open any more: the head said that it left, closed or broke, or its
//! process is gone, or it has been out of reach for so long that it has broken
//! by itself.

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
    repair_action::{RepairAction, choose_repair, find_host, may_dissolve, may_regroup},
    spares::ranked_spares,
};
use super::{
    layout,
    plan::{DomainPlan, PlannedMember, PlannedReplica},
};
use crate::{gateway_config::EngineSpec, instance::MemberState};

/// Time that a replica without enough spares is kept together before its
/// members become spares.
const KEEP_TOGETHER: Duration = Duration::from_secs(3);

/// What the steps of a domain go by.
#[derive(Debug, Clone, Copy)]
pub struct StepConfig<'a> {
    /// The engine.
    pub engine: &'a EngineSpec,
    /// Time after which a replica that lost a member breaks by itself.
    pub stall_time: Duration,
}

/// Record that is to follow, if another one is.
pub fn next_plan(
    plan: &DomainPlan,
    hosts: &Hosts,
    rules: &StepConfig<'_>,
    memory: &mut ControlState,
    now: Time,
    mut draw_replica: impl FnMut() -> ReplicaId,
) -> Option<DomainPlan> {
    memory.update_hosts(hosts, now);
    let mut next = plan.clone();
    if next.layout.is_empty() {
        next.layout = layout::layout(&rules.engine.models, hosts.len());
    }
    for idx in 0..next.replicas.len() {
        repair(&mut next, idx, hosts, memory, now);
    }
    dissolve(&mut next, hosts, rules, memory, now);
    form(&mut next, hosts, rules, memory, now, &mut draw_replica);
    (next != *plan).then_some(next)
}

/// Gives a replica the members that it is to have.
fn repair(next: &mut DomainPlan, idx: usize, hosts: &Hosts, memory: &mut ControlState, now: Time) {
    let replica = &next.replicas[idx];
    let key = (replica.id, replica.epoch);
    let places = match choose_repair(next, replica, hosts, memory) {
        RepairAction::None => {
            memory.incomplete_since.remove(&key);
            return;
        }
        RepairAction::Replace(places) => {
            memory.incomplete_since.entry(key).or_insert(now);
            places
        }
        RepairAction::Swap(places) => places,
        RepairAction::NewHead => Vec::new(),
    };
    if !may_regroup(replica, hosts, memory) {
        return;
    }
    let spares = ranked_spares(next, hosts, memory, &replica.model);
    if spares.len() < places.len() {
        return;
    }
    let fillers: Vec<PlannedMember> = spares.into_iter().map(planned).collect();
    let epoch = next_epoch(next, hosts, memory);
    let replica = &mut next.replicas[idx];
    for (place, filler) in places.iter().zip(fillers) {
        replica.members[*place] = filler;
    }
    choose_head(replica, &places, hosts);
    replica.epoch = epoch;
    next.epoch = epoch;
}

/// Puts a member first that stays; the present head if it does.
fn choose_head(replica: &mut PlannedReplica, filled: &[usize], hosts: &Hosts) {
    let stays = |place: &usize| {
        let host = find_host(hosts, &replica.members[*place]);
        !filled.contains(place) && host.is_some_and(Host::can_lead)
    };
    if let Some(kept) = (0..replica.members.len()).find(stays) {
        replica.members.swap(0, kept);
    }
}

/// Epoch above all that the record gave and the instances report or refused.
fn next_epoch(plan: &DomainPlan, hosts: &Hosts, memory: &ControlState) -> Epoch {
    let reported = hosts.values().filter_map(|it| Some(it.membership?.epoch)).max();
    plan.epoch.max(reported.unwrap_or_default()).max(memory.epoch_floor).next()
}

fn planned(host: &Host) -> PlannedMember {
    PlannedMember { instance: host.id.clone(), incarnation: host.incarnation }
}

/// Gives up replicas that have lacked members for long, so that their other
/// members can complete something else.
fn dissolve(
    next: &mut DomainPlan,
    hosts: &Hosts,
    rules: &StepConfig<'_>,
    memory: &mut ControlState,
    now: Time,
) {
    let replicas = std::mem::take(&mut next.replicas);
    next.replicas = replicas
        .into_iter()
        .filter(|replica| {
            let key = (replica.id, replica.epoch);
            let Some(since) = memory.incomplete_since.get(&key) else { return true };
            if now.since(*since) < KEEP_TOGETHER {
                return true;
            }
            !may_dissolve(replica, hosts, rules, memory, now)
        })
        .collect();
}

/// Forms the replicas that the layout lacks, and more where instances were
/// added.
fn form(
    next: &mut DomainPlan,
    hosts: &Hosts,
    rules: &StepConfig<'_>,
    memory: &ControlState,
    now: Time,
    draw_replica: &mut impl FnMut() -> ReplicaId,
) {
    let grown = layout::layout(&rules.engine.models, hosts.len());
    if next.layout.len() < grown.len() {
        next.layout = grown;
    }
    for model in next.missing_models() {
        let Some(spec) = rules.engine.model(&model) else { continue };
        let mut spares = ranked_spares(next, hosts, memory, &model);
        if !memory.is_settled(now) {
            spares.retain(|it| it.staged.is_empty() || it.staged.contains(&model));
        }
        if spares.len() < spec.size {
            continue;
        }
        let members = spares.into_iter().take(spec.size).map(planned).collect();
        let epoch = next_epoch(next, hosts, memory);
        next.epoch = epoch;
        next.replicas.push(PlannedReplica { id: draw_replica(), epoch, model, members });
    }
}

/// Replicas whose members all answer under the record's list and whose head has
/// opened.
pub fn serving(
    plan: &DomainPlan,
    hosts: &Hosts,
    memory: &ControlState,
    now: Time,
) -> HashSet<(ReplicaId, Epoch)> {
    // A head whose opening has had its time is open before it reports so.
    let is_open = |replica: &PlannedReplica, state: Option<MemberState>| match state {
        Some(MemberState::Open) => true,
        Some(MemberState::Ready) => {
            memory.opens_at.get(&(replica.id, replica.epoch)).is_some_and(|at| *at <= now)
        }
        _ => false,
    };
    let serves = |replica: &&PlannedReplica| {
        let state = |member| -> Option<MemberState> {
            let membership = find_host(hosts, member)?.membership?;
            membership.matches(replica.id, replica.epoch).then_some(membership.state)
        };
        let remedy = choose_repair(plan, replica, hosts, memory);
        !matches!(remedy, RepairAction::Replace(_))
            && replica.members.iter().all(|it| state(it).is_some())
            && is_open(replica, replica.head().and_then(state))
    };
    plan.replicas.iter().filter(serves).map(|it| (it.id, it.epoch)).collect()
}

#[cfg(test)]
mod tests;
