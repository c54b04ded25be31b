//! Choice of the repair action of a replica, and when its members may join another
//! replica.

use citrongw_state::time::Time;

use super::{
    StepConfig,
    control_state::ControlState,
    host::{Host, Hosts, Liveness},
    spares::{is_warm, ranked_spares},
};
use crate::{
    control::plan::{DomainPlan, PlannedMember, PlannedReplica},
    instance::MemberState,
};

/// Repair action of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RepairAction {
    /// The replica needs no repair.
    None,
    /// Members are lost, or the replica broke. It does not serve, and the members
    /// at these ranks must be replaced.
    Replace(Vec<usize>),
    /// Members are leaving. Warm spares can replace the members at these ranks
    /// once the replica's requests have finished.
    ReplaceLeaving(Vec<usize>),
    /// The head is leaving or no longer listed. Another member can become the
    /// head once the replica's requests have finished.
    NewHead,
}

pub(super) fn choose_repair(
    plan: &DomainPlan,
    replica: &PlannedReplica,
    hosts: &Hosts,
    control_state: &ControlState,
) -> RepairAction {
    let (mut lost, mut leaving) = (Vec::new(), Vec::new());
    for (rank, member) in replica.members.iter().enumerate() {
        match find_host(hosts, member) {
            Some(host) if host.is_alive() && host.leaving => leaving.push(rank),
            Some(host) if host.is_alive() => {}
            _ => lost.push(rank),
        }
    }
    let head = replica.head().and_then(|it| find_host(hosts, it));
    let needs_head = head.is_some_and(|it| it.is_alive() && !it.can_lead());
    let reports_broken = head
        .and_then(|it| it.membership)
        .is_some_and(|it| it.matches(replica.id, replica.epoch) && it.state == MemberState::Broken);
    let is_broken = reports_broken || control_state.refused.contains(&(replica.id, replica.epoch));
    if !lost.is_empty() || is_broken {
        lost.extend(leaving);
        return RepairAction::Replace(lost);
    }
    if leaving.is_empty() && !needs_head {
        return RepairAction::None;
    }
    let spares = ranked_spares(plan, hosts, control_state, &replica.model);
    let warm = spares.iter().filter(|it| is_warm(it, control_state, &replica.model)).count();
    if !leaving.is_empty() && leaving.len() <= warm {
        return RepairAction::ReplaceLeaving(leaving);
    }
    let mut members = replica.members.iter().filter_map(|it| find_host(hosts, it));
    if needs_head && members.any(Host::can_lead) {
        RepairAction::NewHead
    } else {
        RepairAction::None
    }
}

pub(super) fn find_host<'a>(hosts: &'a Hosts, member: &PlannedMember) -> Option<&'a Host> {
    hosts.get(&member.instance).filter(|it| it.incarnation == member.incarnation)
}

/// Head of a replica that takes requests or still has requests in flight.
pub(super) fn busy_head<'a>(
    replica: &PlannedReplica,
    hosts: &'a Hosts,
) -> Option<(&'a Host, MemberState)> {
    let head = find_host(hosts, replica.head()?).filter(|it| it.is_alive())?;
    let state = head.membership.filter(|it| it.matches(replica.id, replica.epoch))?.state;
    matches!(state, MemberState::Open | MemberState::Closing).then_some((head, state))
}

/// Whether the members of a replica may join it under another member list. A head
/// that responds must first leave or finish its requests. The epoch of a head
/// that does not respond is superseded: its members leave the old epoch by their
/// next join, and the head can run nothing without them.
pub(super) fn may_change_members(
    replica: &PlannedReplica,
    hosts: &Hosts,
    control_state: &ControlState,
) -> bool {
    let responds = replica.head().and_then(|it| find_host(hosts, it)).is_some_and(Host::is_alive);
    let is_released = control_state.released.contains(&(replica.id, replica.epoch));
    !responds || is_released || busy_head(replica, hosts).is_none()
}

/// Whether the members of a replica may join other replicas, because its head
/// cannot be open any more.
pub(super) fn may_dissolve(
    replica: &PlannedReplica,
    hosts: &Hosts,
    config: &StepConfig<'_>,
    control_state: &mut ControlState,
    now: Time,
) -> bool {
    let key = (replica.id, replica.epoch);
    let Some(head) = replica.head() else { return true };
    let host = hosts.get(&head.instance);
    if host
        .is_some_and(|it| it.incarnation != head.incarnation || it.liveness == Liveness::Refusing)
    {
        return true;
    }
    if host.is_some_and(Host::is_alive) {
        return may_change_members(replica, hosts, control_state);
    }
    // The head is gone, or it is cut off and stays open until it notices that its
    // members are gone.
    let unresponsive_since = host.map(|it| it.liveness).and_then(|it| match it {
        Liveness::Unresponsive { since } => Some(since),
        Liveness::Alive | Liveness::Refusing => None,
    });
    let since = *control_state.lost_heads.entry(key).or_insert(unresponsive_since.unwrap_or(now));
    config.stall_time <= now.since(since)
}
