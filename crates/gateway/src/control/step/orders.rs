//! Orders that bring the instances from their reported state to the planned
//! state.

use std::{net::SocketAddr, time::Duration};

use citrongw_state::{id::InstanceId, time::Time};

use super::{
    StepConfig,
    control_state::ControlState,
    host::{Host, Hosts},
    repair_action::{RepairAction, busy_head, choose_repair, find_host},
    spares,
};
use crate::{
    adapter::Order,
    control::{
        loads::WeightLoadBudget,
        plan::{DomainPlan, PlannedReplica},
    },
    instance::MemberState,
};

/// Time limit for the requests of a replica with a leaving member to finish.
/// After this the member leaves anyway.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(8);

/// Returns the orders that are due, within the load budget, and marks them as
/// sent.
pub fn orders(
    plan: &DomainPlan,
    hosts: &Hosts,
    config: &StepConfig<'_>,
    control_state: &mut ControlState,
    loads: &mut WeightLoadBudget,
    now: Time,
) -> Vec<(InstanceId, SocketAddr, Order)> {
    control_state.expire_sent(now);
    if config.is_evacuated {
        return Vec::new();
    }
    let mut due = Vec::new();
    for replica in &plan.replicas {
        match choose_repair(plan, replica, hosts, control_state) {
            RepairAction::None => {
                control_state.closing_since.remove(&(replica.id, replica.epoch));
                due.extend(forming_orders(replica, hosts, control_state, loads));
            }
            RepairAction::Replace(_) => due.extend(leave_order(replica, hosts)),
            RepairAction::ReplaceLeaving(_) | RepairAction::NewHead => {
                due.extend(close_order(replica, hosts, control_state, now));
            }
        }
    }
    due.extend(stray_orders(plan, hosts, control_state));
    due.extend(spares::standby_orders(
        plan,
        hosts,
        config,
        control_state,
        loads.is_unlimited(),
        now,
    ));
    due.retain(|(host, order)| {
        let begins_load = begins_load(host, order, control_state);
        let is_within_budget = !begins_load || loads.has_capacity();
        let sent = is_within_budget && control_state.mark_sent_if_due(&host.id, order, now);
        if sent && begins_load {
            loads.take_token();
        }
        if let (true, Order::Stage { model }) = (sent, order) {
            control_state.begin_staging(host, model, now);
        }
        sent
    });
    due.into_iter().map(|(host, order)| (host.id.clone(), host.addr, order)).collect()
}

/// Whether the order loads weights from the weight store.
fn begins_load(host: &Host, order: &Order, control_state: &ControlState) -> bool {
    match order {
        Order::Stage { model } => !host.staged.contains(model),
        Order::Join { model, .. } => {
            !host.staged.contains(model) && control_state.staging(host) != Some(model)
        }
        Order::Open { .. } | Order::Close { .. } | Order::Leave { .. } => false,
    }
}

/// Orders that bring a complete replica into service. Weights that a member lacks
/// are ordered separately from its join: a load that belongs to a join starts
/// again with the next join, and another member may be lost in the meantime.
fn forming_orders<'a>(
    replica: &PlannedReplica,
    hosts: &'a Hosts,
    control_state: &ControlState,
    loads: &WeightLoadBudget,
) -> Vec<(&'a Host, Order)> {
    let (id, epoch) = (replica.id, replica.epoch);
    let mut due = Vec::new();
    let mut ready = 0;
    for (rank, member) in replica.members.iter().enumerate() {
        let Some(host) = find_host(hosts, member) else { continue };
        match host.membership {
            Some(it) if it.matches(id, epoch) => {
                let is_ready = matches!(it.state, MemberState::Ready | MemberState::Open);
                ready += usize::from(it.rank == rank && is_ready);
            }
            _ if !loads.is_unlimited() && control_state.needs_staging(host, &replica.model) => {
                due.push((host, Order::Stage { model: replica.model.clone() }));
            }
            _ => {
                let (model, members) = (replica.model.clone(), replica.member_ids());
                due.push((host, Order::Join { replica: id, epoch, model, members }));
            }
        }
    }
    let head = replica.head().and_then(|it| find_host(hosts, it));
    if ready == replica.members.len()
        && let Some(head) = head
        && head.membership.is_some_and(|it| it.state == MemberState::Ready)
    {
        due.push((head, Order::Open { replica: id, epoch }));
    }
    due
}

/// Order that frees the members of a replica that does not serve.
fn leave_order<'a>(replica: &PlannedReplica, hosts: &'a Hosts) -> Option<(&'a Host, Order)> {
    let (head, _) = busy_head(replica, hosts)?;
    Some((head, Order::Leave { replica: replica.id, epoch: replica.epoch }))
}

/// Order that frees the members of a replica once its requests have finished or
/// the close has timed out.
fn close_order<'a>(
    replica: &PlannedReplica,
    hosts: &'a Hosts,
    control_state: &mut ControlState,
    now: Time,
) -> Option<(&'a Host, Order)> {
    let (id, epoch) = (replica.id, replica.epoch);
    let (head, state) = busy_head(replica, hosts)?;
    control_state.opens_at.remove(&(id, epoch));
    let since = *control_state.closing_since.entry((id, epoch)).or_insert(now);
    if CLOSE_TIMEOUT <= now.since(since) {
        return Some((head, Order::Leave { replica: id, epoch }));
    }
    (state == MemberState::Open).then_some((head, Order::Close { replica: id, epoch }))
}

/// Orders for instances to leave a replica that the plan does not assign to them.
fn stray_orders<'a>(
    plan: &DomainPlan,
    hosts: &'a Hosts,
    control_state: &ControlState,
) -> Vec<(&'a Host, Order)> {
    let strays = hosts
        .values()
        .filter(|it| it.is_alive() && !plan.contains(&it.id) && !control_state.is_free(it));
    strays
        .filter_map(|host| {
            let membership = host.membership?;
            let (replica, epoch) = (membership.replica?, membership.epoch);
            Some((host, Order::Leave { replica, epoch }))
        })
        .collect()
}
