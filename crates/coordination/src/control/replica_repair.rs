//! Repair of replicas that lost members.

use std::time::Duration;

use citrongw_protocol::{
    decision::control::ControlDecision,
    record::{DomainRecord, DrainCause, Replacement, WeightLoad},
};
use citrongw_state::{
    id::{FabricDomainId, ReplicaId},
    repair::{self, DegradedReplica, RepairAction, Spares, WaitLimits},
    replica::{Member, ReplicaSpec},
    time::Time,
};

use super::{
    context::Context,
    domain::DomainControl,
    observed_instance::MemberStatus,
    release::{drain, withhold},
};

/// Repair is suspended if at least one in this many instances of a domain is
/// silent at once.
const MASS_OUTAGE_DIVISOR: usize = 2;
/// Minimum number of silent instances that suspends repair.
const MASS_OUTAGE_MIN_SILENT: usize = 3;

/// Member slots of a replica that need a new member.
struct Vacancies {
    /// Slots whose instance restarted and serves nothing, with the new
    /// incarnation.
    returned: Vec<(usize, Member)>,
    /// Slots that need another instance.
    open: Vec<usize>,
    /// Shortest silence among the members that may still return.
    silence: Option<Duration>,
    /// Whether any member still responds.
    any_alive: bool,
    /// Whether a member is leaving while requests in flight may still finish.
    busy: bool,
}

impl DomainControl {
    /// Repairs the replicas that may be repaired now.
    pub(super) fn repair_replicas(
        &mut self,
        next: &mut DomainRecord,
        ctx: &Context<'_>,
        now: Time,
        decisions: &mut Vec<ControlDecision>,
    ) {
        if ctx.is_view_suspect {
            return;
        }
        let is_suspended = self.is_repair_suspended(next, now, decisions);
        self.drain_abandoned(next, now, decisions);
        let mut degraded = self.degraded(next, now);
        // The outcome of a repair in progress depends on its claims.
        degraded.retain(|(id, _)| !next.is_under_repair(*id));
        let mut spares = self.free_instances(next, ctx, now);
        for (id, vacancies) in &degraded {
            if !is_suspended && vacancies.open.is_empty() && !vacancies.busy {
                self.refill(next, *id, vacancies, &mut spares, now, decisions);
            }
        }
        let open = degraded.iter().filter(|(_, it)| !it.open.is_empty() && !it.busy);
        let candidates: Vec<DegradedReplica> =
            open.filter_map(|(id, it)| self.degraded_replica(next, ctx, *id, it, now)).collect();
        if is_suspended || candidates.is_empty() {
            return;
        }
        let wait_limits = self.wait_limits(ctx);
        let mut foreign_spares = self.foreign_spares(ctx);
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        let supply = Spares {
            in_domain: count(spares.len()),
            in_other_domains: count(foreign_spares.len()),
        };
        let repairs = repair::decide(self.settings.objective, &candidates, supply, &wait_limits);
        // After a mass outage, replicas are repaired in order, one per write.
        let max_repairs = if self.mass_outage_since.is_some() { 1 } else { repairs.len() };
        for (id, action) in repairs.into_iter().take(max_repairs) {
            let Some((_, vacancies)) = degraded.iter().find(|it| it.0 == id) else { continue };
            match action {
                RepairAction::Replace => {
                    self.refill(next, id, vacancies, &mut spares, now, decisions);
                }
                RepairAction::ReplaceAcrossDomains => {
                    self.claim_spares(next, ctx, id, vacancies, &mut spares, &mut foreign_spares);
                }
                RepairAction::Disband => drain(next, id, DrainCause::TakenApart, decisions),
            }
        }
    }

    fn wait_limits(&self, ctx: &Context<'_>) -> WaitLimits {
        WaitLimits {
            load_time: self.settings.load_time,
            max_wait: self.settings.max_member_wait,
            disband_after: self.settings.disband_after,
            needed_elsewhere: ctx.fleet.needed_elsewhere,
        }
    }

    /// Detects that much of the domain went silent at once. Returns whether
    /// repair is still suspended.
    fn is_repair_suspended(
        &mut self,
        record: &DomainRecord,
        now: Time,
        decisions: &mut Vec<ControlDecision>,
    ) -> bool {
        let freshness = self.settings.freshness;
        let known = self
            .instances
            .iter()
            .filter(|(id, it)| it.listed.is_some() || record.names_instance(id));
        let is_silent: Vec<bool> =
            known.map(|(_, it)| it.fresh(now, freshness).is_none()).collect();
        let silent = is_silent.iter().filter(|it| **it).count();
        if silent < MASS_OUTAGE_MIN_SILENT || silent * MASS_OUTAGE_DIVISOR < is_silent.len() {
            self.mass_outage_since = None;
            return false;
        }
        if self.mass_outage_since.is_none() {
            let domain = self.domain.clone();
            decisions.push(ControlDecision::DomainHeldBack { domain, silent });
        }
        let since = *self.mass_outage_since.get_or_insert(now);
        now.since(since) < self.settings.mass_outage_hold
    }

    /// Drains replicas that have had no live member for a long time. The plan
    /// then forms them elsewhere, and their instances are withheld until their
    /// engines report that they are free.
    fn drain_abandoned(
        &mut self,
        next: &mut DomainRecord,
        now: Time,
        decisions: &mut Vec<ControlDecision>,
    ) {
        let timeout = self.settings.abandon_after;
        let is_lost = |spec: &ReplicaSpec| {
            spec.members.iter().all(|member| match self.member_status(spec, member, now) {
                MemberStatus::Silent(since) => timeout <= now.since(since),
                _ => false,
            })
        };
        let lost: Vec<ReplicaId> =
            next.replicas.iter().filter(|it| is_lost(it)).map(|it| it.id).collect();
        for id in lost {
            drain(next, id, DrainCause::TakenApart, decisions);
        }
    }

    fn degraded(&self, record: &DomainRecord, now: Time) -> Vec<(ReplicaId, Vacancies)> {
        let vacancies = |spec: &ReplicaSpec| Some((spec.id, self.vacancies(record, spec, now)?));
        record.replicas.iter().filter_map(vacancies).collect()
    }

    fn vacancies(&self, record: &DomainRecord, spec: &ReplicaSpec, now: Time) -> Option<Vacancies> {
        let mut found = Vacancies {
            returned: Vec::new(),
            open: Vec::new(),
            silence: None,
            any_alive: false,
            busy: false,
        };
        for (idx, member) in spec.members.iter().enumerate() {
            let is_marked = record.is_leaving(&member.instance, member.incarnation);
            match self.member_status(spec, member, now) {
                MemberStatus::Silent(since) => {
                    let silence = now.since(since);
                    found.silence = Some(found.silence.map_or(silence, |it| it.min(silence)));
                    found.open.push(idx);
                }
                MemberStatus::Restarted => match self.returned(record, member, now) {
                    Some(member) => found.returned.push((idx, member)),
                    None => found.open.push(idx),
                },
                MemberStatus::Leaving => {
                    found.any_alive = true;
                    found.open.push(idx);
                }
                _ if is_marked => {
                    found.any_alive = true;
                    found.open.push(idx);
                }
                _ => found.any_alive = true,
            }
        }
        let is_member_leaving =
            spec.members.iter().any(|it| record.is_leaving(&it.instance, it.incarnation));
        found.busy = is_member_leaving && self.is_busy(spec, now);
        (!found.open.is_empty() || !found.returned.is_empty()).then_some(found)
    }

    /// Whether requests in flight on a replica with a leaving member may still
    /// finish.
    fn is_busy(&self, spec: &ReplicaSpec, now: Time) -> bool {
        let is_ready =
            |member: &Member| matches!(self.member_status(spec, member, now), MemberStatus::Ready);
        let left_at =
            spec.members.iter().filter_map(|it| self.instances.get(&it.instance)?.leaving_at);
        let Some(first) = spec.members.first() else { return false };
        let running = self.instances.get(&first.instance).map_or(0, |it| it.requests);
        let deadline = self.drain_deadline();
        spec.members.iter().all(is_ready)
            && 0 < running
            && left_at.min().is_some_and(|it| now.since(it) < deadline)
    }

    /// The member with the new incarnation of its instance, if the instance
    /// serves nothing.
    fn returned(&self, record: &DomainRecord, member: &Member, now: Time) -> Option<Member> {
        let received =
            *self.instances.get(&member.instance)?.fresh(now, self.settings.freshness)?;
        let report = received.report;
        let usable = report.replica.is_none()
            && !report.leaving
            && !record.is_leaving(&member.instance, report.incarnation);
        usable.then(|| Member { incarnation: report.incarnation, ..member.clone() })
    }

    fn degraded_replica(
        &self,
        record: &DomainRecord,
        ctx: &Context<'_>,
        id: ReplicaId,
        vacancies: &Vacancies,
        now: Time,
    ) -> Option<DegradedReplica> {
        let spec = record.replicas.iter().find(|it| it.id == id)?;
        let lost = u32::try_from(vacancies.open.len()).ok()?;
        let members = u32::try_from(spec.members.len()).ok()?;
        let since = self.tracked_replicas.get(&id).and_then(|it| it.down_since);
        Some(DegradedReplica {
            replica: id,
            lost,
            remaining: members - lost,
            accelerators: self.accelerators(spec),
            since_loss: vacancies.silence,
            degraded_for: since.map_or(Duration::ZERO, |it| now.since(it)),
            may_release_members: vacancies.any_alive,
            may_span_domains: self.foreign_members(ctx, spec, vacancies).is_some(),
        })
    }

    /// Retained members of other domains, with their domains. `None` if the
    /// domain of one is unknown.
    fn foreign_members(
        &self,
        ctx: &Context<'_>,
        spec: &ReplicaSpec,
        vacancies: &Vacancies,
    ) -> Option<Vec<(FabricDomainId, Member)>> {
        let is_refilled = |idx: &usize| {
            vacancies.open.contains(idx) || vacancies.returned.iter().any(|(it, _)| it == idx)
        };
        let retained = spec.members.iter().enumerate().filter(|(idx, _)| !is_refilled(idx));
        let is_own =
            |it: &Member| self.instances.get(&it.instance).is_some_and(|it| it.listed.is_some());
        if vacancies.returned.iter().any(|(_, it)| !is_own(it)) {
            return None;
        }
        let foreign = retained.map(|(_, it)| it).filter(|it| !is_own(it));
        foreign
            .map(|it| Some((ctx.fleet.foreign_domains.get(&it.instance)?.clone(), it.clone())))
            .collect()
    }

    /// Fills the slots of a replica under a new epoch, so that no member's
    /// earlier report counts for the new composition.
    fn refill(
        &self,
        next: &mut DomainRecord,
        id: ReplicaId,
        vacancies: &Vacancies,
        spares: &mut Vec<Member>,
        now: Time,
        decisions: &mut Vec<ControlDecision>,
    ) {
        if spares.len() < vacancies.open.len() {
            return;
        }
        let Some(idx) = next.replicas.iter().position(|it| it.id == id) else { return };
        let epoch = next.epoch.next();
        let spec = &mut next.replicas[idx];
        let mut removed = Vec::new();
        for (slot, member) in &vacancies.returned {
            spec.members[*slot] = member.clone();
        }
        for slot in &vacancies.open {
            let spare = spares.remove(0);
            removed.push(std::mem::replace(&mut spec.members[*slot], spare));
        }
        spec.epoch = epoch;
        next.epoch = epoch;
        let spec = next.replicas[idx].clone();
        let replaced =
            u32::try_from(vacancies.returned.len() + vacancies.open.len()).unwrap_or(u32::MAX);
        for member in removed {
            withhold(next, member);
        }
        self.add_load(next, &spec, now);
        decisions.push(ControlDecision::ReplicaRepaired { replica: id, replaced });
    }

    /// Whether a member already holds the weights of the replica from before
    /// its repair.
    pub(super) fn has_weights(
        &self,
        record: &DomainRecord,
        spec: &ReplicaSpec,
        member: &Member,
        now: Time,
    ) -> bool {
        let observed = self.instances.get(&member.instance);
        let received = observed.and_then(|it| it.fresh(now, self.settings.freshness));
        received.is_some_and(|it| {
            let serves = it.report.replica;
            it.report.ready
                && it.report.incarnation == member.incarnation
                && (serves == Some(spec.id)
                    || serves.is_some() && serves == record.replaced_by(spec.id))
        })
    }

    /// Lists a weight load for the members without weights. Replaces an earlier
    /// load of the replica.
    pub(super) fn add_load(&self, next: &mut DomainRecord, spec: &ReplicaSpec, now: Time) {
        next.loads.retain(|it| it.replica != spec.id);
        let members = spec.members.iter();
        let unloaded = members.filter(|it| !self.has_weights(next, spec, it, now)).count();
        let members = u32::try_from(unloaded).unwrap_or(u32::MAX);
        let accelerators = self.accelerators(spec);
        next.loads.push(WeightLoad { replica: spec.id, members, accelerators, running: false });
    }

    /// Spares of other domains. The list is rotated by a different offset for
    /// each domain, so that two owners rarely claim the same instance.
    fn foreign_spares(&self, ctx: &Context<'_>) -> Vec<(FabricDomainId, Member)> {
        let others = ctx.fleet.spares.iter().filter(|(domain, _)| *domain != self.domain);
        let mut others: Vec<(FabricDomainId, Member)> = others.cloned().collect();
        let count = others.len().max(1);
        let domains: Vec<&FabricDomainId> = ctx.fleet.domains.keys().collect();
        let domain_idx = domains.iter().position(|it| **it == self.domain).unwrap_or_default();
        others.rotate_left(domain_idx * count / domains.len().max(1) % count);
        others
    }

    /// Lists the repaired replica as pending. The old one stays unchanged until
    /// the claims in the other domains are granted.
    fn claim_spares(
        &mut self,
        next: &mut DomainRecord,
        ctx: &Context<'_>,
        id: ReplicaId,
        vacancies: &Vacancies,
        spares: &mut Vec<Member>,
        foreign_spares: &mut Vec<(FabricDomainId, Member)>,
    ) {
        let Some(spec) = next.replicas.iter().find(|it| it.id == id).cloned() else { return };
        let Some(mut claimed) = self.foreign_members(ctx, &spec, vacancies) else { return };
        let mut spec = ReplicaSpec { id: self.new_replica_id(), ..spec };
        for (slot, member) in &vacancies.returned {
            spec.members[*slot] = member.clone();
        }
        for slot in &vacancies.open {
            if spares.is_empty() {
                let Some((domain, member)) = foreign_spares.pop() else { return };
                spec.members[*slot] = member.clone();
                claimed.push((domain, member));
            } else {
                spec.members[*slot] = spares.remove(0);
            }
        }
        next.replacements.push(Replacement { new: spec.id, old: id });
        self.claims.set_foreign_members(spec.id, claimed);
        next.pending.push(spec);
    }

    fn accelerators(&self, spec: &ReplicaSpec) -> u32 {
        let of = |it: &Member| {
            let observed = self.instances.get(&it.instance)?;
            observed.listed.as_ref().map(|it| it.accelerators)
        };
        let known: Vec<u32> = spec.members.iter().filter_map(of).collect();
        let members = u32::try_from(spec.members.len()).unwrap_or(u32::MAX);
        let max_accelerators = known.into_iter().max().unwrap_or(1);
        members.saturating_mul(max_accelerators)
    }
}
