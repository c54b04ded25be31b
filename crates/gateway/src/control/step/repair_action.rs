//! What is to be done about a replica, and when its members are free to go.

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

/// What is to be done about a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RepairAction {
    /// Nothing.
    None,
    /// Members are lost, or the replica broke: it serves nobody, and these places
    /// are to be filled.
    Replace(Vec<usize>),
    /// Members are leaving, and warm spares can take their places once its
    /// requests have ended.
    Swap(Vec<usize>),
    /// Its head is leaving or no longer listed, and another member can lead once
    /// its requests have ended.
    NewHead,
}

pub(super) fn choose_repair(
    plan: &DomainPlan,
    replica: &PlannedReplica,
    hosts: &Hosts,
    memory: &ControlState,
) -> RepairAction {
    let (mut lost, mut leaving) = (Vec::new(), Vec::new());
    for (place, member) in replica.members.iter().enumerate() {
        match find_host(hosts, member) {
            Some(host) if host.is_alive() && host.leaving => leaving.push(place),
            Some(host) if host.is_alive() => {}
            _ => lost.push(place),
        }
    }
    let head = replica.head().and_then(|it| find_host(hosts, it));
    let needs_head = head.is_some_and(|it| it.is_alive() && !it.can_lead());
    let says_broken = head
        .and_then(|it| it.membership)
        .is_some_and(|it| it.matches(replica.id, replica.epoch) && it.state == MemberState::Broken);
    let is_broken = says_broken || memory.refused.contains(&(replica.id, replica.epoch));
    if !lost.is_empty() || is_broken {
        lost.extend(leaving);
        return RepairAction::Replace(lost);
    }
    if leaving.is_empty() && !needs_head {
        return RepairAction::None;
    }
    let spares = ranked_spares(plan, hosts, memory, &replica.model);
    let warm = spares.iter().filter(|it| is_warm(it, memory, &replica.model)).count();
    if !leaving.is_empty() && leaving.len() <= warm {
        return RepairAction::Swap(leaving);
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

/// Head of a replica that takes requests or still has some.
pub(super) fn busy_head<'a>(
    replica: &PlannedReplica,
    hosts: &'a Hosts,
) -> Option<(&'a Host, MemberState)> {
    let head = find_host(hosts, replica.head()?).filter(|it| it.is_alive())?;
    let state = head.membership.filter(|it| it.matches(replica.id, replica.epoch))?.state;
    matches!(state, MemberState::Open | MemberState::Closing).then_some((head, state))
}

/// Whether the members of a replica may join it under another list. A head that
/// answers has to leave first, or to finish its requests; one that does not
/// answer has its epoch passed by: its members leave it by their next join, and
/// it can run nothing without them.
pub(super) fn may_regroup(replica: &PlannedReplica, hosts: &Hosts, memory: &ControlState) -> bool {
    let answers = replica.head().and_then(|it| find_host(hosts, it)).is_some_and(Host::is_alive);
    let is_released = memory.released.contains(&(replica.id, replica.epoch));
    !answers || is_released || busy_head(replica, hosts).is_none()
}

/// Whether the members of a replica may join other ones: its head cannot be
/// open any more.
pub(super) fn may_dissolve(
    replica: &PlannedReplica,
    hosts: &Hosts,
    rules: &StepConfig<'_>,
    memory: &mut ControlState,
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
        return may_regroup(replica, hosts, memory);
    }
    // It is gone, or cut off and open until it has noticed that its members
    // are gone.
    let silent_since = host.map(|it| it.liveness).and_then(|it| match it {
        Liveness::Unresponsive { since } => Some(since),
        Liveness::Alive | Liveness::Refusing => None,
    });
    let since = *memory.lost_heads.entry(key).or_insert(silent_since.unwrap_or(now));
    rules.stall_time <= now.since(since)
}
