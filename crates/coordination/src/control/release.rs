//! The end of replicas: draining, release, and instances withheld until their
//! engines say that they are free.

use std::time::Duration;

use citrongw_protocol::{
    decision::control::ControlDecision,
    record::{DomainRecord, DrainCause, DrainingReplica, ForeignClaim},
};
use citrongw_state::{
    id::ReplicaId,
    lifecycle,
    replica::{Member, ReplicaSpec},
    time::Time,
};

use super::{context::Context, domain::DomainControl};

impl DomainControl {
    /// Clears what the engines have given up, and withholds what they hold
    /// against the record.
    pub(super) fn settle_releases(
        &mut self,
        next: &mut DomainRecord,
        ctx: &Context<'_>,
        now: Time,
    ) {
        if self.predecessor_orders_expired(ctx, now) {
            next.releasing.retain(|it| !self.is_free_of(it, now));
        }
        let void: Vec<ForeignClaim> =
            next.foreign.iter().filter(|it| self.claims.is_void(it)).cloned().collect();
        next.foreign.retain(|it| !void.contains(it));
        for claim in void {
            withhold(next, claim.member);
        }
        for stray in self.strays(next, now) {
            withhold(next, stray);
        }
    }

    /// Whether a released member no longer serves anything, or is gone from
    /// the platform.
    fn is_free_of(&self, member: &Member, now: Time) -> bool {
        let Some(seen) = self.seen.get(&member.instance) else { return true };
        match seen.fresh(now, self.settings.freshness) {
            Some(heard) => heard.report.replica.is_none(),
            None => {
                let listed = seen.listed.is_some();
                !listed && self.settings.abandon_after <= now.since(seen.silent_since())
            }
        }
    }

    /// Instances that serve a replica without any allocation.
    fn strays(&self, record: &DomainRecord, now: Time) -> Vec<Member> {
        let mut strays = Vec::new();
        for (id, seen) in &self.seen {
            let Some(listed) = &seen.listed else { continue };
            let Some(heard) = seen.fresh(now, self.settings.freshness) else { continue };
            if heard.report.replica.is_some() && !record.names_instance(id) {
                strays.push(Member {
                    instance: id.clone(),
                    incarnation: heard.report.incarnation,
                    engine_addr: listed.engine_addr,
                });
            }
        }
        strays
    }

    /// Drains what the plan names.
    pub(super) fn begin_drains(
        &mut self,
        next: &mut DomainRecord,
        ctx: &Context<'_>,
        decisions: &mut Vec<ControlDecision>,
    ) {
        let Some(plan) = ctx.fleet.domains.get(&self.domain) else { return };
        if plan.revision != self.revision {
            return;
        }
        for (replica, cause) in &plan.drain {
            drain(next, *replica, *cause, decisions);
        }
    }

    /// Ends drained replicas.
    pub(super) fn end_drains(&mut self, next: &mut DomainRecord, now: Time) {
        let ids: Vec<ReplicaId> = next.draining.iter().map(|it| it.spec.id).collect();
        self.draining_since.retain(|id, _| ids.contains(id));
        for id in ids {
            let since = *self.draining_since.entry(id).or_insert(now);
            let Some(idx) = next.draining.iter().position(|it| it.spec.id == id) else { continue };
            let spec = &next.draining[idx].spec;
            let running = self.running_on(spec, now);
            let overdue = self.drain_deadline() <= now.since(since);
            if lifecycle::resume_draining(spec).release(running, overdue).is_ok() {
                let ended = next.draining.remove(idx).spec;
                release(next, ended);
            }
        }
    }

    /// Time after which nothing that was in flight can still be running: each
    /// request has ended by the deadline of its own profile.
    pub(super) fn drain_deadline(&self) -> Duration {
        let longest = self.longest_request + self.settings.freshness;
        self.settings.drain_deadline.max(longest)
    }

    /// Requests on a replica. One that cannot be asked counts as busy, unless
    /// its first member is another start of its process.
    pub(super) fn running_on(&self, spec: &ReplicaSpec, now: Time) -> u32 {
        let Some(first) = spec.members.first() else { return 0 };
        let Some(seen) = self.seen.get(&first.instance) else { return 1 };
        match seen.fresh(now, self.settings.freshness) {
            Some(heard) if heard.report.incarnation == first.incarnation => {
                // The drain has to have reached the engine first.
                if heard.report.replica == Some(spec.id) && !heard.report.leaving {
                    seen.running.max(1)
                } else {
                    seen.running
                }
            }
            Some(_) => 0,
            None => 1,
        }
    }
}

/// Moves a replica to those that drain.
pub(super) fn drain(
    next: &mut DomainRecord,
    replica: ReplicaId,
    cause: DrainCause,
    decisions: &mut Vec<ControlDecision>,
) {
    let Some(idx) = next.replicas.iter().position(|it| it.id == replica) else { return };
    let spec = next.replicas.remove(idx);
    abandon_repair(next, replica);
    next.loads.retain(|it| it.replica != replica);
    next.down.retain(|it| it.replica != replica);
    next.draining.push(DrainingReplica { spec, cause });
    decisions.push(ControlDecision::ReplicaDrained { replica, cause });
}

/// Drops a repair under way of a replica that ends.
pub(super) fn abandon_repair(next: &mut DomainRecord, old: ReplicaId) {
    let dropped: Vec<ReplicaId> =
        next.replacements.iter().filter(|it| it.old == old).map(|it| it.new).collect();
    next.pending.retain(|it| !dropped.contains(&it.id));
    next.replacements.retain(|it| it.old != old);
}

/// Withholds all members of a replica that ended.
pub(super) fn release(next: &mut DomainRecord, spec: ReplicaSpec) {
    next.epoch = next.epoch.next();
    for member in spec.members {
        withhold(next, member);
    }
}

/// Withholds an instance until its engine says that it is free.
pub(super) fn withhold(next: &mut DomainRecord, member: Member) {
    if !next.names_instance(&member.instance) {
        next.releasing.push(member);
    }
}
