//! What the owner of a domain hears from its instances.
//!
//! Members are asked directly: the platform tells of a lost instance only after
//! several missed heartbeats.

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
    adapter::CallError,
    instance::{InstanceReport, MemberState},
    instance_table::{InstancesView, KnownInstance},
};

/// Pause between two questions to a member of a replica that serves.
const MEMBER_INTERVAL: Duration = Duration::from_millis(1_000);
/// Pause between two questions to an instance from which news is awaited.
const AWAITED_INTERVAL: Duration = Duration::from_millis(150);
/// Pause between two questions to a spare.
const SPARE_INTERVAL: Duration = Duration::from_millis(2_500);
/// Time until a change of an instance's entry is known here: the pause between
/// two reads of the list, with a margin. A report from less long before says
/// something newer.
const LIST_DELAY: Duration = Duration::from_millis(700);
/// Questions without an answer after which an instance counts as silent.
const SILENT_AFTER: u32 = 2;

#[derive(Debug, Clone, Default)]
struct Heard {
    report: Option<InstanceReport>,
    answered_at: Option<Time>,
    asked_at: Option<Time>,
    first_unanswered_at: Option<Time>,
    unanswered: u32,
    refused: bool,
    in_flight: bool,
}

/// Reports of a domain's instances.
#[derive(Debug, Default)]
pub(super) struct Reports {
    heard: HashMap<(InstanceId, Incarnation), Heard>,
    /// Members as last listed.
    listed: HashMap<InstanceId, KnownInstance>,
}

impl Reports {
    /// Takes in the outcome of a question. True if it changes the picture.
    pub(super) fn add(
        &mut self,
        instance: &InstanceId,
        incarnation: Incarnation,
        asked_at: Time,
        outcome: Result<InstanceReport, CallError>,
    ) -> bool {
        let heard = self.heard.entry((instance.clone(), incarnation)).or_default();
        heard.in_flight = false;
        match outcome {
            Ok(report) => {
                let changed = heard.report.as_ref() != Some(&report) || heard.is_silent();
                *heard = Heard {
                    report: Some(report),
                    answered_at: Some(asked_at),
                    asked_at: Some(asked_at),
                    ..Heard::default()
                };
                changed
            }
            Err(error) => {
                let was_silent = heard.is_silent();
                heard.unanswered += 1;
                heard.first_unanswered_at.get_or_insert(asked_at);
                heard.refused = error == CallError::NotReached;
                was_silent != heard.is_silent()
            }
        }
    }

    /// Makes an instance due to be asked at once, unless it just was.
    pub(super) fn request_poll(
        &mut self,
        instance: &InstanceId,
        incarnation: Incarnation,
        now: Time,
    ) -> bool {
        let Some(heard) = self.heard.get_mut(&(instance.clone(), incarnation)) else {
            return false;
        };
        let is_old = heard.asked_at.is_none_or(|at| AWAITED_INTERVAL <= now.since(at));
        if is_old && !heard.in_flight {
            heard.asked_at = None;
        }
        is_old && !heard.in_flight
    }

    /// Forgets that questions were not answered: this process did not run.
    pub(super) fn reset_failures(&mut self) {
        for heard in self.heard.values_mut() {
            heard.unanswered = 0;
            heard.first_unanswered_at = None;
            heard.refused = false;
        }
    }

    /// Instances to ask now; they count as asked.
    pub(super) fn due(&mut self, hosts: &Hosts, plan: Option<&DomainPlan>, now: Time) -> Vec<Host> {
        let mut due = Vec::new();
        for host in hosts.values() {
            let heard = self.heard.entry((host.id.clone(), host.incarnation)).or_default();
            let interval = interval(host, heard, plan);
            let is_due = heard.asked_at.is_none_or(|at| interval <= now.since(at));
            if is_due && !heard.in_flight {
                heard.in_flight = true;
                heard.asked_at = Some(now);
                due.push(host.clone());
            }
        }
        due
    }

    /// The domain's instances: as listed, and as they answered since. Members that
    /// are no longer listed are among them.
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
        self.listed.retain(|id, _| plan.is_some_and(|it| it.contains(id)));
        let unlisted: Vec<KnownInstance> = self
            .listed
            .values()
            .filter(|it| !view.instances.contains_key(&it.entry.id))
            .cloned()
            .collect();
        for known in &listed {
            if plan.is_some_and(|it| it.contains(&known.entry.id)) {
                self.listed.insert(known.entry.id.clone(), (*known).clone());
            }
        }
        let mut hosts = Hosts::new();
        for (known, is_listed) in
            listed.into_iter().map(|it| (it, true)).chain(unlisted.iter().map(|it| (it, false)))
        {
            let entry = &known.entry;
            let key = (entry.id.clone(), entry.incarnation);
            let heard = self.heard.entry(key).or_default();
            let mut host = Host {
                id: entry.id.clone(),
                incarnation: entry.incarnation,
                addr: entry.addr,
                liveness: heard.liveness(),
                leaving: entry.leaving,
                is_listed,
                staged: entry.staged.clone(),
                membership: entry.membership,
            };
            let newer = heard.answered_at.is_some_and(|at| known.changed_at <= at + LIST_DELAY);
            if let (true, Some(report)) = (newer, &heard.report) {
                host.staged.clone_from(&report.staged);
                host.membership = report.membership;
                if report.incarnation.is_some_and(|it| it != entry.incarnation) {
                    // Another start that the list does not tell of yet.
                    host.liveness = Liveness::Unresponsive { since: view.polled_at };
                }
            }
            hosts.insert(host.id.clone(), host);
        }
        self.heard.retain(|(id, incarnation), heard| {
            heard.in_flight || hosts.get(id).is_some_and(|it| it.incarnation == *incarnation)
        });
        hosts
    }
}

impl Heard {
    fn is_silent(&self) -> bool {
        SILENT_AFTER <= self.unanswered
    }

    fn liveness(&self) -> Liveness {
        match self.first_unanswered_at {
            Some(_) if self.is_silent() && self.refused => Liveness::Refusing,
            Some(since) if self.is_silent() => Liveness::Unresponsive { since },
            _ => Liveness::Alive,
        }
    }
}

fn interval(host: &Host, heard: &Heard, plan: Option<&DomainPlan>) -> Duration {
    if 0 < heard.unanswered && !heard.is_silent() {
        return Duration::ZERO;
    }
    let replica = plan.and_then(|plan| {
        plan.replicas.iter().find(|it| it.members.iter().any(|it| it.instance == host.id))
    });
    let Some(replica) = replica else { return SPARE_INTERVAL };
    let settled = host.membership.is_some_and(|it| {
        it.matches(replica.id, replica.epoch)
            && match it.state {
                MemberState::Open => true,
                MemberState::Ready => it.rank != 0,
                MemberState::Joining | MemberState::Closing | MemberState::Broken => false,
            }
    });
    if settled { MEMBER_INTERVAL } else { AWAITED_INTERVAL }
}

#[cfg(test)]
mod tests;
