//! Repair of the domain's replicas that lost members.

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
    release::{drain, withhold},
    seen::MemberStatus,
};

/// Share of a domain that must go silent at once to hold repair back, as one
/// part in so many.
const DARK_PARTS: usize = 2;
/// Fewest silent instances that make a domain dark.
const DARK_LEAST: usize = 3;

/// Places of a replica that have to be filled anew.
struct Vacancies {
    /// Places whose instance returned as another start, free to be taken anew.
    returned: Vec<(usize, Member)>,
    /// Places that need another instance.
    open: Vec<usize>,
    /// Shortest silence of a member that may still return.
    waited: Option<Duration>,
    /// Whether any member still answers.
    any_alive: bool,
    /// Whether a member is alive and leaving, with requests in flight.
    busy: bool,
}

impl DomainControl {
    /// Repairs what may be repaired now.
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
        let held_back = self.is_held_back(next, now, decisions);
        self.abandon(next, now, decisions);
        let mut broken = self.broken(next, now);
        // A repair under way is decided by its claims.
        broken.retain(|(id, _)| !next.is_under_repair(*id));
        let mut spares = self.free_instances(next, ctx, now);
        for (id, vacancies) in &broken {
            if !held_back && vacancies.open.is_empty() && !vacancies.busy {
                self.refill(next, *id, vacancies, &mut spares, now, decisions);
            }
        }
        let open = broken.iter().filter(|(_, it)| !it.open.is_empty() && !it.busy);
        let candidates: Vec<DegradedReplica> =
            open.filter_map(|(id, it)| self.describe(next, ctx, *id, it, now)).collect();
        if held_back || candidates.is_empty() {
            return;
        }
        let patience = self.patience(ctx);
        let mut elsewhere = self.spares_elsewhere(ctx);
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        let supply =
            Spares { in_domain: count(spares.len()), in_other_domains: count(elsewhere.len()) };
        let steps = repair::decide(self.settings.objective, &candidates, supply, &patience);
        // A domain that went dark is taken in order, one replica a write.
        let most = if self.mass_outage_since.is_some() { 1 } else { steps.len() };
        for (id, step) in steps.into_iter().take(most) {
            let Some((_, vacancies)) = broken.iter().find(|it| it.0 == id) else { continue };
            match step {
                RepairAction::Replace => {
                    self.refill(next, id, vacancies, &mut spares, now, decisions);
                }
                RepairAction::ReplaceAcrossDomains => {
                    self.claim_spares(next, ctx, id, vacancies, &mut spares, &mut elsewhere);
                }
                RepairAction::Disband => drain(next, id, DrainCause::TakenApart, decisions),
            }
        }
    }

    fn patience(&self, ctx: &Context<'_>) -> WaitLimits {
        WaitLimits {
            load_time: self.settings.load_time,
            max_wait: self.settings.max_member_wait,
            disband_after: self.settings.disband_after,
            needed_elsewhere: ctx.fleet.needed_elsewhere,
        }
    }

    /// Notices when much of the domain goes silent at once.
    fn is_held_back(
        &mut self,
        record: &DomainRecord,
        now: Time,
        decisions: &mut Vec<ControlDecision>,
    ) -> bool {
        let freshness = self.settings.freshness;
        let known =
            self.seen.iter().filter(|(id, it)| it.listed.is_some() || record.names_instance(id));
        let known: Vec<bool> = known.map(|(_, it)| it.fresh(now, freshness).is_none()).collect();
        let silent = known.iter().filter(|it| **it).count();
        if silent < DARK_LEAST || silent * DARK_PARTS < known.len() {
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

    /// Gives up replicas that have no live member for long: they are missing
    /// elsewhere, and their instances are withheld until they say otherwise.
    fn abandon(
        &mut self,
        next: &mut DomainRecord,
        now: Time,
        decisions: &mut Vec<ControlDecision>,
    ) {
        let long = self.settings.abandon_after;
        let is_lost = |spec: &ReplicaSpec| {
            spec.members.iter().all(|member| match self.standing(spec, member, now) {
                MemberStatus::Silent(since) => long <= now.since(since),
                _ => false,
            })
        };
        let lost: Vec<ReplicaId> =
            next.replicas.iter().filter(|it| is_lost(it)).map(|it| it.id).collect();
        for id in lost {
            drain(next, id, DrainCause::TakenApart, decisions);
        }
    }

    fn broken(&self, record: &DomainRecord, now: Time) -> Vec<(ReplicaId, Vacancies)> {
        let vacancies = |spec: &ReplicaSpec| Some((spec.id, self.vacancies(record, spec, now)?));
        record.replicas.iter().filter_map(vacancies).collect()
    }

    fn vacancies(&self, record: &DomainRecord, spec: &ReplicaSpec, now: Time) -> Option<Vacancies> {
        let mut found = Vacancies {
            returned: Vec::new(),
            open: Vec::new(),
            waited: None,
            any_alive: false,
            busy: false,
        };
        for (idx, member) in spec.members.iter().enumerate() {
            let marked = record.is_leaving(&member.instance, member.incarnation);
            match self.standing(spec, member, now) {
                MemberStatus::Silent(since) => {
                    let waited = now.since(since);
                    found.waited = Some(found.waited.map_or(waited, |it| it.min(waited)));
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
                _ if marked => {
                    found.any_alive = true;
                    found.open.push(idx);
                }
                _ => found.any_alive = true,
            }
        }
        let leaves = spec.members.iter().any(|it| record.is_leaving(&it.instance, it.incarnation));
        found.busy = leaves && self.is_busy(spec, now);
        (!found.open.is_empty() || !found.returned.is_empty()).then_some(found)
    }

    /// Whether requests in flight on a replica with a leaving member may still
    /// finish.
    fn is_busy(&self, spec: &ReplicaSpec, now: Time) -> bool {
        let vouches =
            |member: &Member| matches!(self.standing(spec, member, now), MemberStatus::Ready);
        let left_at = spec.members.iter().filter_map(|it| self.seen.get(&it.instance)?.leaving_at);
        let Some(first) = spec.members.first() else { return false };
        let running = self.seen.get(&first.instance).map_or(0, |it| it.running);
        let deadline = self.drain_deadline();
        spec.members.iter().all(vouches)
            && 0 < running
            && left_at.min().is_some_and(|it| now.since(it) < deadline)
    }

    /// The member's instance under its new start, if it serves nothing.
    fn returned(&self, record: &DomainRecord, member: &Member, now: Time) -> Option<Member> {
        let heard = *self.seen.get(&member.instance)?.fresh(now, self.settings.freshness)?;
        let report = heard.report;
        let usable = report.replica.is_none()
            && !report.leaving
            && !record.is_leaving(&member.instance, report.incarnation);
        usable.then(|| Member { incarnation: report.incarnation, ..member.clone() })
    }

    fn describe(
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
            since_loss: vacancies.waited,
            degraded_for: since.map_or(Duration::ZERO, |it| now.since(it)),
            may_release_members: vacancies.any_alive,
            may_span_domains: self.foreign_members(ctx, spec, vacancies).is_some(),
        })
    }

    /// Members of other domains that stay, with their domains. None if the
    /// domain of one is not known.
    fn foreign_members(
        &self,
        ctx: &Context<'_>,
        spec: &ReplicaSpec,
        vacancies: &Vacancies,
    ) -> Option<Vec<(FabricDomainId, Member)>> {
        let filled = |idx: &usize| {
            vacancies.open.contains(idx) || vacancies.returned.iter().any(|(it, _)| it == idx)
        };
        let stays = spec.members.iter().enumerate().filter(|(idx, _)| !filled(idx));
        let is_own =
            |it: &Member| self.seen.get(&it.instance).is_some_and(|it| it.listed.is_some());
        if vacancies.returned.iter().any(|(_, it)| !is_own(it)) {
            return None;
        }
        let foreign = stays.map(|(_, it)| it).filter(|it| !is_own(it));
        foreign.map(|it| Some((ctx.fleet.foreign.get(&it.instance)?.clone(), it.clone()))).collect()
    }

    /// Fills the places of a replica under a new epoch, so that no member's
    /// earlier report vouches for the new composition.
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
        let mut gone = Vec::new();
        for (place, member) in &vacancies.returned {
            spec.members[*place] = member.clone();
        }
        for place in &vacancies.open {
            let spare = spares.remove(0);
            gone.push(std::mem::replace(&mut spec.members[*place], spare));
        }
        spec.epoch = epoch;
        next.epoch = epoch;
        let spec = next.replicas[idx].clone();
        let replaced =
            u32::try_from(vacancies.returned.len() + vacancies.open.len()).unwrap_or(u32::MAX);
        for member in gone {
            withhold(next, member);
        }
        self.add_load(next, &spec, now);
        decisions.push(ControlDecision::ReplicaRepaired { replica: id, replaced });
    }

    /// Whether a member holds the weights of the replica already, from before
    /// its repair.
    pub(super) fn has_weights(
        &self,
        record: &DomainRecord,
        spec: &ReplicaSpec,
        member: &Member,
        now: Time,
    ) -> bool {
        let seen = self.seen.get(&member.instance);
        let heard = seen.and_then(|it| it.fresh(now, self.settings.freshness));
        heard.is_some_and(|it| {
            let serves = it.report.replica;
            it.report.ready
                && it.report.incarnation == member.incarnation
                && (serves == Some(spec.id)
                    || serves.is_some() && serves == record.replaced_by(spec.id))
        })
    }

    /// Lists the weight load of the members that have none yet, in place of an
    /// earlier load of the replica.
    pub(super) fn add_load(&self, next: &mut DomainRecord, spec: &ReplicaSpec, now: Time) {
        next.loads.retain(|it| it.replica != spec.id);
        let members = spec.members.iter();
        let unloaded = members.filter(|it| !self.has_weights(next, spec, it, now)).count();
        let members = u32::try_from(unloaded).unwrap_or(u32::MAX);
        let accelerators = self.accelerators(spec);
        next.loads.push(WeightLoad { replica: spec.id, members, accelerators, running: false });
    }

    /// Spares of other domains, beginning at another place for each domain, so
    /// that two owners seldom reach for the same one.
    fn spares_elsewhere(&self, ctx: &Context<'_>) -> Vec<(FabricDomainId, Member)> {
        let others = ctx.fleet.spares.iter().filter(|(domain, _)| *domain != self.domain);
        let mut others: Vec<(FabricDomainId, Member)> = others.cloned().collect();
        let count = others.len().max(1);
        let domains: Vec<&FabricDomainId> = ctx.fleet.domains.keys().collect();
        let place = domains.iter().position(|it| **it == self.domain).unwrap_or_default();
        others.rotate_left(place * count / domains.len().max(1) % count);
        others
    }

    /// Lists the replica as it is to be; it stays as it is until the claims of
    /// the instances elsewhere stand.
    fn claim_spares(
        &mut self,
        next: &mut DomainRecord,
        ctx: &Context<'_>,
        id: ReplicaId,
        vacancies: &Vacancies,
        spares: &mut Vec<Member>,
        elsewhere: &mut Vec<(FabricDomainId, Member)>,
    ) {
        let Some(spec) = next.replicas.iter().find(|it| it.id == id).cloned() else { return };
        let Some(mut claimed) = self.foreign_members(ctx, &spec, vacancies) else { return };
        let mut spec = ReplicaSpec { id: self.draw_replica(), ..spec };
        for (place, member) in &vacancies.returned {
            spec.members[*place] = member.clone();
        }
        for place in &vacancies.open {
            if spares.is_empty() {
                let Some((domain, member)) = elsewhere.pop() else { return };
                spec.members[*place] = member.clone();
                claimed.push((domain, member));
            } else {
                spec.members[*place] = spares.remove(0);
            }
        }
        next.replacements.push(Replacement { new: spec.id, old: id });
        self.claims.propose(spec.id, claimed);
        next.pending.push(spec);
    }

    fn accelerators(&self, spec: &ReplicaSpec) -> u32 {
        let of = |it: &Member| {
            let seen = self.seen.get(&it.instance)?;
            seen.listed.as_ref().map(|it| it.accelerators)
        };
        let known: Vec<u32> = spec.members.iter().filter_map(of).collect();
        let members = u32::try_from(spec.members.len()).unwrap_or(u32::MAX);
        let most = known.into_iter().max().unwrap_or(1);
        members.saturating_mul(most)
    }
}
