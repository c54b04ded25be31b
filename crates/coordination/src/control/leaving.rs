//! Which instances take no new work: what the list, the engines and the
//! comparison with peers say of them, and the marks in the record.

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
    seen::ObservedInstance,
};

impl DomainControl {
    pub(super) fn handle_listed(&mut self, listed: Vec<ListedInstance>, now: Time) {
        for seen in self.seen.values_mut() {
            seen.listed = None;
        }
        for instance in listed {
            let new = ObservedInstance { first_seen_at: now, ..ObservedInstance::default() };
            let seen = self.seen.entry(instance.id.clone()).or_insert(new);
            seen.listed = Some(instance);
        }
        let record = self.record.clone();
        let named = |id: &InstanceId| record.as_ref().is_some_and(|it| it.names_instance(id));
        self.seen.retain(|id, seen| seen.listed.is_some() || named(id));
        self.peers.retain(|id| self.seen.contains_key(id));
    }

    pub(super) fn handle_status(
        &mut self,
        instance: &InstanceId,
        status: &EngineStatus,
        asked_at: Time,
        now: Time,
    ) {
        let new = ObservedInstance { first_seen_at: now, ..ObservedInstance::default() };
        self.seen.entry(instance.clone()).or_insert(new).record_status(status, asked_at);
        if 0.0 < status.step_ms && status.member.ready {
            self.peers.record(instance, status.step_ms);
        }
    }

    pub(super) fn handle_order_reply(&mut self, instance: &InstanceId, reply: &OrderReply) {
        let Some(seen) = self.seen.get_mut(instance) else { return };
        match reply {
            OrderReply::OldEpoch { seen: epoch } => {
                seen.newer_epoch = seen.newer_epoch.max(Some(*epoch));
            }
            OrderReply::Taken | OrderReply::OtherIncarnation { .. } => {}
        }
    }

    /// Renews the marks of the record, and tells of new ones.
    pub(super) fn mark_leaving(
        &mut self,
        next: &mut DomainRecord,
        now: Time,
        actions: &mut Vec<Action>,
        decisions: &mut Vec<ControlDecision>,
    ) {
        next.leaving.retain(|mark| !self.is_obsolete(mark, now));
        next.returned.retain(|mark| {
            let heard = self.seen.get(&mark.instance).and_then(|it| it.last_report);
            heard.is_none_or(|it| it.report.incarnation == mark.incarnation)
        });
        self.stragglers = self.peers.find_stragglers(now);
        for (instance, incarnation, cause) in self.found_leaving(next) {
            if next.is_leaving(&instance, incarnation) || next.is_returned(&instance, incarnation) {
                continue;
            }
            let told = LeavingInstance { instance: instance.clone(), incarnation };
            actions.push(Action::Publish(GossipItem::Leaving(told)));
            decisions.push(ControlDecision::InstanceLeaving { instance: instance.clone(), cause });
            if let Some(seen) = self.seen.get_mut(&instance) {
                seen.leaving_at = Some(now);
            }
            next.leaving.push(LeavingMark { instance, incarnation, cause });
        }
    }

    fn found_leaving(&self, record: &DomainRecord) -> Vec<(InstanceId, Incarnation, LeavingCause)> {
        let mut found = Vec::new();
        for (id, seen) in &self.seen {
            let Some(listed) = &seen.listed else { continue };
            let report = seen.last_report.map(|it| it.report);
            if listed.state == InstanceState::Leaving {
                found.push((id.clone(), listed.incarnation, LeavingCause::Listed));
            }
            let Some(report) = report else { continue };
            if report.leaving && is_own_word(record, id, &report) {
                found.push((id.clone(), report.incarnation, LeavingCause::Engine));
            }
            if self.stragglers.contains(id) {
                found.push((id.clone(), report.incarnation, LeavingCause::Straggler));
            }
        }
        found
    }

    /// A mark ends with the start of the process that it names; a straggler's
    /// after its rest.
    fn is_obsolete(&self, mark: &LeavingMark, now: Time) -> bool {
        let Some(seen) = self.seen.get(&mark.instance) else { return true };
        let restarted =
            seen.last_report.is_some_and(|it| it.report.incarnation != mark.incarnation);
        let listed_newer =
            seen.listed.as_ref().is_some_and(|it| it.incarnation == mark.incarnation);
        if restarted && !listed_newer {
            return true;
        }
        let rest = self.settings.straggler_quarantine;
        mark.cause == LeavingCause::Straggler
            && !self.stragglers.contains(&mark.instance)
            && seen.leaving_at.is_none_or(|it| rest <= now.since(it))
    }
}

/// Whether an engine that says it is leaving says so by itself. After a drain
/// that this system ordered, it reports the epoch of that order.
fn is_own_word(record: &DomainRecord, instance: &InstanceId, report: &MemberReport) -> bool {
    record.replicas.iter().any(|spec| {
        report.replica == Some(spec.id)
            && report.epoch == spec.epoch
            && spec.members.iter().any(|it| it.instance == *instance)
    })
}
