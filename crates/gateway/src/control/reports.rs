//! Reports that the owner of a domain polls from its instances.
//!
//! Members are polled directly, because the platform removes a lost instance from
//! its list only after several missed heartbeats.

use std::{collections::HashMap, time::Duration};

use citrongw_state::{
    id::{Incarnation, InstanceId},
    time::Time,
};

use super::{
    plan::{DomainKey, DomainPlan},
    step::{Host, Hosts, Liveness},
};
use crate::{
    adapter::InstanceError,
    instance::{InstanceReport, MemberState},
    instance_table::{InstancesView, KnownInstance},
};

/// Poll interval of a member of a serving replica.
const MEMBER_POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Poll interval of an instance whose state is expected to change.
const TRANSITION_POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Poll interval of a spare.
const SPARE_POLL_INTERVAL: Duration = Duration::from_millis(2_500);
/// Time until this node has read a change of an instance's entry: the interval
/// between reads of the list, with a margin. A report that was requested less
/// than this before the change was read is newer than the entry.
const LIST_DELAY: Duration = Duration::from_millis(700);
/// Consecutive failed polls after which an instance counts as unresponsive.
const UNRESPONSIVE_AFTER: u32 = 2;

#[derive(Debug, Clone, Default)]
struct PollState {
    report: Option<InstanceReport>,
    reported_at: Option<Time>,
    polled_at: Option<Time>,
    first_failed_at: Option<Time>,
    failures: u32,
    is_connection_refused: bool,
    in_flight: bool,
}

/// Poll results of a domain's instances.
#[derive(Debug, Default)]
pub(super) struct Reports {
    polls: HashMap<(InstanceId, Incarnation), PollState>,
    /// Members of replicas as the platform last listed them.
    last_listed: HashMap<InstanceId, KnownInstance>,
}

impl Reports {
    /// Records the outcome of a poll. True if the report or the liveness changed.
    pub(super) fn add(
        &mut self,
        instance: &InstanceId,
        incarnation: Incarnation,
        polled_at: Time,
        outcome: Result<InstanceReport, InstanceError>,
    ) -> bool {
        let polled = self.polls.entry((instance.clone(), incarnation)).or_default();
        polled.in_flight = false;
        match outcome {
            Ok(report) => {
                let changed = polled.report.as_ref() != Some(&report) || polled.is_unresponsive();
                *polled = PollState {
                    report: Some(report),
                    reported_at: Some(polled_at),
                    polled_at: Some(polled_at),
                    ..PollState::default()
                };
                changed
            }
            Err(error) => {
                let was_unresponsive = polled.is_unresponsive();
                polled.failures += 1;
                polled.first_failed_at.get_or_insert(polled_at);
                polled.is_connection_refused = error == InstanceError::NotReached;
                was_unresponsive != polled.is_unresponsive()
            }
        }
    }

    /// Records that a poll failed, which says nothing of the instance.
    pub(super) fn add_unconfirmed(&mut self, instance: &InstanceId, incarnation: Incarnation) {
        if let Some(polled) = self.polls.get_mut(&(instance.clone(), incarnation)) {
            polled.in_flight = false;
        }
    }

    /// Makes an instance due for a poll at once, unless it was polled just now.
    /// True if it is due.
    pub(super) fn request_poll(
        &mut self,
        instance: &InstanceId,
        incarnation: Incarnation,
        now: Time,
    ) -> bool {
        let Some(polled) = self.polls.get_mut(&(instance.clone(), incarnation)) else {
            return false;
        };
        let is_due = polled.polled_at.is_none_or(|at| TRANSITION_POLL_INTERVAL <= now.since(at));
        if is_due && !polled.in_flight {
            polled.polled_at = None;
        }
        is_due && !polled.in_flight
    }

    /// Clears the failed polls, which do not count because this process was
    /// suspended.
    pub(super) fn reset_failures(&mut self) {
        for polled in self.polls.values_mut() {
            polled.failures = 0;
            polled.first_failed_at = None;
            polled.is_connection_refused = false;
        }
    }

    /// Returns the instances that are due for a poll and marks them as polled.
    pub(super) fn due(&mut self, hosts: &Hosts, plan: Option<&DomainPlan>, now: Time) -> Vec<Host> {
        let mut due = Vec::new();
        for host in hosts.values() {
            let polled = self.polls.entry((host.id.clone(), host.incarnation)).or_default();
            let poll_interval = poll_interval(host, polled, plan);
            let is_due = polled.polled_at.is_none_or(|at| poll_interval <= now.since(at));
            if is_due && !polled.in_flight {
                polled.in_flight = true;
                polled.polled_at = Some(now);
                due.push(host.clone());
            }
        }
        due
    }

    /// Instances of the domain as listed, updated by newer reports. Members that
    /// are no longer listed are included.
    pub(super) fn hosts(
        &mut self,
        view: &InstancesView,
        domain: &DomainKey,
        plan: Option<&DomainPlan>,
    ) -> Hosts {
        let listed = view.instances.values().filter(|it| {
            it.entry.service == domain.service && it.entry.domain.as_ref() == Some(&domain.domain)
        });
        let listed: Vec<&KnownInstance> = listed.collect();
        self.last_listed.retain(|id, _| plan.is_some_and(|it| it.contains(id)));
        let unlisted: Vec<KnownInstance> = self
            .last_listed
            .values()
            .filter(|it| !view.instances.contains_key(&it.entry.id))
            .cloned()
            .collect();
        for known in &listed {
            if plan.is_some_and(|it| it.contains(&known.entry.id)) {
                self.last_listed.insert(known.entry.id.clone(), (*known).clone());
            }
        }
        let mut hosts = Hosts::new();
        for (known, is_listed) in
            listed.into_iter().map(|it| (it, true)).chain(unlisted.iter().map(|it| (it, false)))
        {
            let entry = &known.entry;
            let key = (entry.id.clone(), entry.incarnation);
            let polled = self.polls.entry(key).or_default();
            let mut host = Host {
                id: entry.id.clone(),
                incarnation: entry.incarnation,
                addr: entry.addr,
                liveness: polled.liveness(),
                leaving: entry.leaving,
                is_listed,
                is_cold: false,
                staged: entry.staged.clone(),
                membership: entry.membership,
            };
            let is_report_newer =
                polled.reported_at.is_some_and(|at| known.changed_at <= at + LIST_DELAY);
            if let (true, Some(report)) = (is_report_newer, &polled.report) {
                host.staged.clone_from(&report.staged);
                host.membership = report.membership;
                if report.incarnation.is_some_and(|it| it != entry.incarnation) {
                    // Another incarnation, which the list does not show yet.
                    host.liveness = Liveness::Unresponsive { since: view.read_at };
                }
            }
            hosts.insert(host.id.clone(), host);
        }
        self.polls.retain(|(id, incarnation), polled| {
            polled.in_flight || hosts.get(id).is_some_and(|it| it.incarnation == *incarnation)
        });
        hosts
    }
}

impl PollState {
    fn is_unresponsive(&self) -> bool {
        UNRESPONSIVE_AFTER <= self.failures
    }

    fn liveness(&self) -> Liveness {
        match self.first_failed_at {
            Some(_) if self.is_unresponsive() && self.is_connection_refused => Liveness::Refusing,
            Some(since) if self.is_unresponsive() => Liveness::Unresponsive { since },
            _ => Liveness::Alive,
        }
    }
}

fn poll_interval(host: &Host, polled: &PollState, plan: Option<&DomainPlan>) -> Duration {
    if 0 < polled.failures && !polled.is_unresponsive() {
        return Duration::ZERO;
    }
    let replica = plan.and_then(|plan| {
        plan.replicas.iter().find(|it| it.members.iter().any(|it| it.instance == host.id))
    });
    let Some(replica) = replica else { return SPARE_POLL_INTERVAL };
    let is_in_target_state = host.membership.is_some_and(|it| {
        it.matches(replica.id, replica.epoch)
            && match it.state {
                MemberState::Open => true,
                MemberState::Ready => it.rank != 0,
                MemberState::Joining | MemberState::Closing | MemberState::Broken => false,
            }
    });
    if is_in_target_state { MEMBER_POLL_INTERVAL } else { TRANSITION_POLL_INTERVAL }
}

#[cfg(test)]
mod tests;
