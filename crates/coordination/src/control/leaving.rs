//! Instances that take no new work: detects them from the instance list, the
//! engines' reports and the comparison with peers, and marks them in the
//! record.

use citrongw_protocol::{
    decision::control::ControlDecision,
    engine::{EngineStatus, OrderReply},
    gossip_item::{GossipItem, LeavingInstance},
    instance_list::{InstanceState, ListedInstance},
    record::{DomainRecord, LeavingCause, LeavingMark},
};
use citrongw_state::{
    id::{Incarnation, InstanceId},
    replica::MemberReport,
    time::Time,
};

use super::{
    domain::{Action, DomainControl},
    observed_instance::ObservedInstance,
};

impl DomainControl {
    pub(super) fn handle_listed(&mut self, listed: Vec<ListedInstance>, now: Time) {
        for observed in self.instances.values_mut() {
            observed.listed = None;
        }
        for instance in listed {
            let new = ObservedInstance { first_seen_at: now, ..ObservedInstance::default() };
            let observed = self.instances.entry(instance.id.clone()).or_insert(new);
            observed.listed = Some(instance);
        }
        let record = self.record.clone();
        let is_named = |id: &InstanceId| record.as_ref().is_some_and(|it| it.names_instance(id));
        self.instances.retain(|id, observed| observed.listed.is_some() || is_named(id));
        self.step_times.retain(|id| self.instances.contains_key(id));
    }

    pub(super) fn handle_status(
        &mut self,
        instance: &InstanceId,
        status: &EngineStatus,
        requested_at: Time,
        now: Time,
    ) {
        let new = ObservedInstance { first_seen_at: now, ..ObservedInstance::default() };
        self.instances.entry(instance.clone()).or_insert(new).record_status(status, requested_at);
        if 0.0 < status.step_ms && status.member.ready {
            self.step_times.record(instance, status.step_ms);
        }
    }

    pub(super) fn handle_order_reply(&mut self, instance: &InstanceId, reply: &OrderReply) {
        let Some(observed) = self.instances.get_mut(instance) else { return };
        match reply {
            OrderReply::OldEpoch { seen: epoch } => {
                observed.newer_epoch = observed.newer_epoch.max(Some(*epoch));
            }
            OrderReply::Taken | OrderReply::OtherIncarnation { .. } => {}
        }
    }

    /// Updates the marks in the record and publishes new ones.
    pub(super) fn mark_leaving(
        &mut self,
        next: &mut DomainRecord,
        now: Time,
        actions: &mut Vec<Action>,
        decisions: &mut Vec<ControlDecision>,
    ) {
        next.leaving.retain(|mark| !self.is_obsolete(mark, now));
        next.returned.retain(|mark| {
            let received = self.instances.get(&mark.instance).and_then(|it| it.last_report);
            received.is_none_or(|it| it.report.incarnation == mark.incarnation)
        });
        self.stragglers = self.step_times.find_stragglers(now);
        for (instance, incarnation, cause) in self.detect_leaving(next) {
            if next.is_leaving(&instance, incarnation) || next.is_returned(&instance, incarnation) {
                continue;
            }
            let leaving = LeavingInstance { instance: instance.clone(), incarnation };
            actions.push(Action::Publish(GossipItem::Leaving(leaving)));
            decisions.push(ControlDecision::InstanceLeaving { instance: instance.clone(), cause });
            if let Some(observed) = self.instances.get_mut(&instance) {
                observed.leaving_at = Some(now);
            }
            next.leaving.push(LeavingMark { instance, incarnation, cause });
        }
    }

    fn detect_leaving(
        &self,
        record: &DomainRecord,
    ) -> Vec<(InstanceId, Incarnation, LeavingCause)> {
        let mut found = Vec::new();
        for (id, observed) in &self.instances {
            let Some(listed) = &observed.listed else { continue };
            let report = observed.last_report.map(|it| it.report);
            if listed.state == InstanceState::Leaving {
                found.push((id.clone(), listed.incarnation, LeavingCause::Listed));
            }
            let Some(report) = report else { continue };
            if report.leaving && is_self_reported(record, id, &report) {
                found.push((id.clone(), report.incarnation, LeavingCause::Engine));
            }
            if self.stragglers.contains(id) {
                found.push((id.clone(), report.incarnation, LeavingCause::Straggler));
            }
        }
        found
    }

    /// A mark is obsolete once the process incarnation that it names has ended.
    /// A straggler's mark is also obsolete after the quarantine, if the instance is
    /// no longer a straggler.
    fn is_obsolete(&self, mark: &LeavingMark, now: Time) -> bool {
        let Some(observed) = self.instances.get(&mark.instance) else { return true };
        let restarted =
            observed.last_report.is_some_and(|it| it.report.incarnation != mark.incarnation);
        let has_listed_start =
            observed.listed.as_ref().is_some_and(|it| it.incarnation == mark.incarnation);
        if restarted && !has_listed_start {
            return true;
        }
        let quarantine = self.settings.straggler_quarantine;
        mark.cause == LeavingCause::Straggler
            && !self.stragglers.contains(&mark.instance)
            && observed.leaving_at.is_none_or(|it| quarantine <= now.since(it))
    }
}

/// Whether an engine reports by itself that it is leaving. After a drain that
/// this system ordered, the engine reports the epoch of that order.
fn is_self_reported(record: &DomainRecord, instance: &InstanceId, report: &MemberReport) -> bool {
    record.replicas.iter().any(|spec| {
        report.replica == Some(spec.id)
            && report.epoch == spec.epoch
            && spec.members.iter().any(|it| it.instance == *instance)
    })
}
