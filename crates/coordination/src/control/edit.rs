//! Computes the next version of a domain's record. All changes that are due go
//! into one write.

use std::sync::Arc;

use citrongw_protocol::{
    decision::control::ControlDecision,
    instance_list::InstanceState,
    record::{DomainRecord, DownReplica, DrainCause, FailedChange},
};
use citrongw_state::{
    id::{InstanceId, ReplicaId},
    lifecycle,
    replica::{Member, ReceivedReport, ReplicaSpec},
    time::Time,
};

use super::{
    claim::ClaimStep,
    context::{Context, Formation},
    domain::{Action, DomainControl, TrackedReplica},
    observed_instance::{MemberStatus, ObservedInstance},
    release::{drain, withhold},
};

/// Maximum number of failed changes kept in one record.
const MAX_FAILED_CHANGES: usize = 16;
/// Silence after which a free instance is excluded from planning.
const UNUSABLE_AFTER: std::time::Duration = std::time::Duration::from_secs(10);

impl DomainControl {
    /// Returns the record with all changes that are due, or `None` if there are
    /// none.
    pub(super) fn updated_record(
        &mut self,
        ctx: &Context<'_>,
        now: Time,
        actions: &mut Vec<Action>,
    ) -> Option<(DomainRecord, Vec<ControlDecision>)> {
        self.longest_request = self.longest_request.max(ctx.fleet.longest_request);
        self.advance_claims(now, actions);
        let record = Arc::clone(self.record.as_ref()?);
        let mut next = DomainRecord::clone(&record);
        let mut decisions = Vec::new();
        self.mark_leaving(&mut next, now, actions, &mut decisions);
        self.settle_releases(&mut next, ctx, now);
        self.begin_drains(&mut next, ctx, &mut decisions);
        self.end_drains(&mut next, now);
        self.raise_epochs(&mut next);
        self.update_down(&mut next, now);
        self.halt_changes(&mut next, ctx, now, &mut decisions);
        self.repair_replicas(&mut next, ctx, now, &mut decisions);
        self.settle_claims(&mut next, now, &mut decisions);
        self.form(&mut next, ctx, now, &mut decisions);
        self.start_loads(&mut next, ctx);
        self.update_unusable(&mut next, now);
        let changed = next != *record;
        (changed || self.renewal_due).then_some((next, decisions))
    }

    pub(super) fn member_status(
        &self,
        spec: &ReplicaSpec,
        member: &Member,
        now: Time,
    ) -> MemberStatus {
        self.instances.get(&member.instance).map_or(MemberStatus::Silent(now), |observed| {
            observed.member_status(spec, member, now, self.settings.freshness)
        })
    }

    /// Whether no order of an earlier owner can still arrive and take effect.
    pub(super) fn predecessor_orders_expired(&self, ctx: &Context<'_>, now: Time) -> bool {
        self.predecessor_orders_until <= now || ctx.all_honour_fencing()
    }

    /// Instances that may join a replica now.
    pub(super) fn free_instances(
        &self,
        record: &DomainRecord,
        ctx: &Context<'_>,
        now: Time,
    ) -> Vec<Member> {
        if !self.predecessor_orders_expired(ctx, now) {
            return Vec::new();
        }
        self.instances
            .iter()
            .filter_map(|(id, observed)| self.to_free_member(record, id, observed, now))
            .collect()
    }

    fn to_free_member(
        &self,
        record: &DomainRecord,
        id: &InstanceId,
        observed: &ObservedInstance,
        now: Time,
    ) -> Option<Member> {
        let listed = observed.listed.as_ref()?;
        let report = observed.fresh(now, self.settings.freshness)?.report;
        if listed.state == InstanceState::Leaving && !record.is_returned(id, report.incarnation) {
            return None;
        }
        let free = report.replica.is_none()
            && !report.leaving
            && !record.names_instance(id)
            && !record.is_leaving(id, report.incarnation);
        free.then(|| Member {
            instance: id.clone(),
            incarnation: report.incarnation,
            engine_addr: listed.engine_addr,
        })
    }

    /// Raises the epoch above those with which engines refused orders.
    fn raise_epochs(&self, next: &mut DomainRecord) {
        let newest = self.instances.values().filter_map(|it| it.newer_epoch).max();
        if newest.is_some_and(|it| next.epoch < it) {
            next.epoch = newest.unwrap_or_default().next();
        }
        let is_outdated = |spec: &ReplicaSpec| {
            let by = |it: &Member| self.instances.get(&it.instance)?.newer_epoch;
            spec.members.iter().filter_map(by).any(|it| spec.epoch < it)
        };
        if next.replicas.iter().any(is_outdated) {
            next.epoch = next.epoch.next();
            let epoch = next.epoch;
            next.replicas.iter_mut().filter(|it| is_outdated(it)).for_each(|it| it.epoch = epoch);
        }
    }

    /// Updates the list of replicas that are down, and removes finished loads.
    fn update_down(&mut self, next: &mut DomainRecord, now: Time) {
        let mut down = Vec::new();
        for spec in &next.replicas {
            let reports: Vec<Option<ReceivedReport>> = spec
                .members
                .iter()
                .map(|it| self.instances.get(&it.instance)?.last_report)
                .collect();
            let res =
                lifecycle::resume(spec).confirm_serving(&reports, now, self.settings.freshness);
            let Some(tracked) = self.tracked_replicas.get_mut(&spec.id) else { continue };
            match res {
                Ok(_) => tracked.down_since = None,
                Err((_, cause)) => {
                    tracked.down_since.get_or_insert(now);
                    down.push(DownReplica { replica: spec.id, cause });
                }
            }
        }
        next.loads.retain(|it| down.iter().any(|down| down.replica == it.replica));
        // A replacement is complete once the new replica serves, or is gone.
        next.replacements.retain(|it| {
            down.iter().any(|down| down.replica == it.new)
                || next.pending.iter().any(|spec| spec.id == it.new)
        });
        // A change of the cause alone doesn't justify a write.
        let ids = |list: &[DownReplica]| Vec::from_iter(list.iter().map(|it| it.replica));
        if ids(&down) != ids(&next.down) {
            next.down = down;
        }
    }

    /// Halts a planned change if its replica does not become ready although all
    /// members are alive.
    fn halt_changes(
        &self,
        next: &mut DomainRecord,
        ctx: &Context<'_>,
        now: Time,
        decisions: &mut Vec<ControlDecision>,
    ) {
        next.failed_changes.retain(|change| {
            let deployment = ctx.deployment(&change.deployment);
            deployment
                .is_some_and(|it| it.version == change.version && it.adapters == change.adapters)
        });
        let failed = next.replicas.iter().find_map(|spec| {
            let target = ctx.fleet.targets.get(&spec.deployment)?;
            let (previous_version, previous_adapters) = target.previous.clone()?;
            let has_target = spec.version == target.version && spec.adapters == target.adapters;
            let tracked = self.tracked_replicas.get(&spec.id)?;
            let is_overdue = self.settings.change_deadline <= now.since(tracked.formed_at);
            let is_loading = |it: &Member| {
                matches!(
                    self.member_status(spec, it, now),
                    MemberStatus::Loading | MemberStatus::Elsewhere
                )
            };
            let is_alive = |it: &Member| {
                is_loading(it) || self.member_status(spec, it, now) == MemberStatus::Ready
            };
            let is_stuck = spec.members.iter().all(is_alive) && spec.members.iter().any(is_loading);
            (has_target && is_overdue && is_stuck).then(|| {
                let change = FailedChange {
                    deployment: spec.deployment.clone(),
                    version: spec.version.clone(),
                    adapters: spec.adapters.clone(),
                    previous_version,
                    previous_adapters,
                };
                (spec.id, change)
            })
        });
        let Some((replica, change)) = failed else { return };
        let (deployment, version) = (change.deployment.clone(), change.version.clone());
        decisions.push(ControlDecision::ChangeHalted { deployment, version, replica });
        if !next.failed_changes.contains(&change) {
            next.failed_changes.push(change);
        }
        if MAX_FAILED_CHANGES < next.failed_changes.len() {
            next.failed_changes.remove(0);
        }
        drain(next, replica, DrainCause::Change, decisions);
    }

    /// Activates pending replicas whose claims are granted, and drops those
    /// whose claims are refused.
    fn settle_claims(
        &mut self,
        next: &mut DomainRecord,
        now: Time,
        decisions: &mut Vec<ControlDecision>,
    ) {
        for mut spec in std::mem::take(&mut next.pending) {
            match self.claims.step(spec.id) {
                Some(ClaimStep::Granted) => {
                    let granted = spec.members.len();
                    if lifecycle::claim(&spec).activate(granted).is_ok() {
                        next.epoch = next.epoch.next();
                        spec.epoch = next.epoch;
                        self.activate(next, spec, now, decisions);
                    }
                }
                Some(ClaimStep::Refused) => {
                    next.epoch = next.epoch.next();
                    next.replacements.retain(|it| it.new != spec.id);
                    for member in spec.members {
                        withhold_own(self, next, member);
                    }
                }
                _ => next.pending.push(spec),
            }
        }
    }

    /// Adds an active replica. After a repair, it replaces the old one.
    fn activate(
        &self,
        next: &mut DomainRecord,
        spec: ReplicaSpec,
        now: Time,
        decisions: &mut Vec<ControlDecision>,
    ) {
        let (replica, epoch, domain) = (spec.id, spec.epoch, self.domain.clone());
        let old = next.replaced_by(replica);
        let old = old.and_then(|old| next.replicas.iter().position(|it| it.id == old));
        let old = old.map(|idx| next.replicas.remove(idx));
        self.add_load(next, &spec, now);
        next.replicas.push(spec);
        let Some(old) = old else {
            decisions.push(ControlDecision::ReplicaFormed { replica, domain, epoch });
            return;
        };
        next.loads.retain(|it| it.replica != old.id);
        next.down.retain(|it| it.replica != old.id);
        let removed: Vec<Member> =
            old.members.into_iter().filter(|it| !next.names_instance(&it.instance)).collect();
        let replaced = u32::try_from(removed.len()).unwrap_or(u32::MAX);
        for member in removed {
            withhold(next, member);
        }
        decisions.push(ControlDecision::ReplicaRepaired { replica, replaced });
    }

    /// Forms the replicas that the plan assigns to this domain.
    fn form(
        &mut self,
        next: &mut DomainRecord,
        ctx: &Context<'_>,
        now: Time,
        decisions: &mut Vec<ControlDecision>,
    ) {
        let Some(plan) = ctx.fleet.domains.get(&self.domain) else { return };
        if ctx.is_view_suspect || plan.revision != self.revision || self.mass_outage_since.is_some()
        {
            return;
        }
        let mut free = self.free_instances(next, ctx, now);
        for formation in &plan.formations {
            let Some(spec) = self.new_spec(ctx, formation, &mut free) else { continue };
            if formation.foreign_members.is_empty() {
                next.epoch = next.epoch.next();
                let spec = ReplicaSpec { epoch: next.epoch, ..spec };
                self.activate(next, spec, now, decisions);
            } else {
                self.claims.set_foreign_members(spec.id, formation.foreign_members.clone());
                next.pending.push(spec);
            }
        }
    }

    fn new_spec(
        &mut self,
        ctx: &Context<'_>,
        formation: &Formation,
        free: &mut Vec<Member>,
    ) -> Option<ReplicaSpec> {
        let id = &formation.assignment.deployment;
        let deployment = ctx.deployment(id)?;
        let target = ctx.fleet.targets.get(id)?;
        let here = formation.assignment.parts.first()?.instances as usize;
        if free.len() < here {
            return None;
        }
        let mut members: Vec<Member> = free.drain(..here).collect();
        let first = self.instances.get(&members.first()?.instance)?;
        let zone = first.listed.as_ref()?.zone.clone();
        members.extend(formation.foreign_members.iter().map(|(_, member)| member.clone()));
        Some(ReplicaSpec {
            id: self.new_replica_id(),
            epoch: citrongw_state::id::Epoch::default(),
            deployment: id.clone(),
            model: deployment.model.clone(),
            version: target.version.clone(),
            adapters: target.adapters.clone(),
            domain: self.domain.clone(),
            zone,
            members,
        })
    }

    fn start_loads(&self, next: &mut DomainRecord, ctx: &Context<'_>) {
        let Some(plan) = ctx.fleet.domains.get(&self.domain) else { return };
        for load in &mut next.loads {
            load.running |= plan.loads_to_start.contains(&load.replica);
        }
    }

    /// Updates the list of free instances that are excluded from planning.
    fn update_unusable(&self, next: &mut DomainRecord, now: Time) {
        let is_unusable = |observed: &ObservedInstance| {
            let reports_leaving = observed.last_report.is_some_and(|it| it.report.leaving);
            reports_leaving || UNUSABLE_AFTER <= now.since(observed.silent_since())
        };
        let unusable = self.instances.iter().filter(|(id, observed)| {
            observed.listed.is_some() && !next.names_instance(id) && is_unusable(observed)
        });
        let unusable: Vec<InstanceId> = unusable.map(|(id, _)| id.clone()).collect();
        if unusable != next.unusable {
            next.unusable = unusable;
        }
    }

    /// Updates the in-memory state of the replicas in the record.
    pub(super) fn track_replicas(&mut self, now: Time) {
        let Some(record) = &self.record else { return };
        let mut ids: Vec<ReplicaId> = record.replicas.iter().map(|it| it.id).collect();
        ids.sort_unstable();
        self.tracked_replicas.retain(|id, _| ids.binary_search(id).is_ok());
        for spec in &record.replicas {
            let new = TrackedReplica { down_since: None, formed_at: now, epoch: spec.epoch };
            let tracked = self.tracked_replicas.entry(spec.id).or_insert(new);
            if tracked.epoch != spec.epoch {
                tracked.epoch = spec.epoch;
                tracked.formed_at = now;
            }
        }
    }
}

/// Withholds a member of a dropped claim if its instance is in this domain. The
/// other domains handle their own instances.
fn withhold_own(control: &DomainControl, next: &mut DomainRecord, member: Member) {
    let own = control.instances.get(&member.instance).is_some_and(|it| it.listed.is_some());
    if own {
        withhold(next, member);
    }
}
