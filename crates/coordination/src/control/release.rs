//! End of replicas: draining, release, and withholding of instances until their
//! engines report that they are free.

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
    /// Frees the instances that their engines have released, and withholds
    /// those that serve a replica without an allocation in the record.
    pub(super) fn settle_releases(
        &mut self,
        next: &mut DomainRecord,
        ctx: &Context<'_>,
        now: Time,
    ) {
        if self.predecessor_orders_expired(ctx, now) {
            next.releasing.retain(|it| !self.is_released(it, now));
        }
        let void: Vec<ForeignClaim> =
            next.foreign.iter().filter(|it| self.claims.is_void(it)).cloned().collect();
        next.foreign.retain(|it| !void.contains(it));
        for claim in void {
            withhold(next, claim.member);
        }
        for member in self.unallocated(next, now) {
            withhold(next, member);
        }
    }

    /// Whether a released member no longer serves anything, or was removed from
    /// the platform.
    fn is_released(&self, member: &Member, now: Time) -> bool {
        let Some(observed) = self.instances.get(&member.instance) else { return true };
        match observed.fresh(now, self.settings.freshness) {
            Some(received) => received.report.replica.is_none(),
            None => {
                let listed = observed.listed.is_some();
                !listed && self.settings.abandon_after <= now.since(observed.silent_since())
            }
        }
    }

    /// Instances that serve a replica without an allocation in the record.
    fn unallocated(&self, record: &DomainRecord, now: Time) -> Vec<Member> {
        let mut unallocated = Vec::new();
        for (id, observed) in &self.instances {
            let Some(listed) = &observed.listed else { continue };
            let Some(received) = observed.fresh(now, self.settings.freshness) else { continue };
            if received.report.replica.is_some() && !record.names_instance(id) {
                unallocated.push(Member {
                    instance: id.clone(),
                    incarnation: received.report.incarnation,
                    engine_addr: listed.engine_addr,
                });
            }
        }
        unallocated
    }

    /// Drains the replicas that the plan names.
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

    /// Releases replicas that are drained.
    pub(super) fn end_drains(&mut self, next: &mut DomainRecord, now: Time) {
        let ids: Vec<ReplicaId> = next.draining.iter().map(|it| it.spec.id).collect();
        self.draining_since.retain(|id, _| ids.contains(id));
        for id in ids {
            let since = *self.draining_since.entry(id).or_insert(now);
            let Some(idx) = next.draining.iter().position(|it| it.spec.id == id) else { continue };
            let spec = &next.draining[idx].spec;
            let requests = self.requests_on(spec, now);
            let overdue = self.drain_deadline() <= now.since(since);
            if lifecycle::resume_draining(spec).release(requests, overdue).is_ok() {
                let ended = next.draining.remove(idx).spec;
                release(next, ended);
            }
        }
    }

    /// Time after which no request that was in flight can still be running,
    /// because each request ends by the deadline of its own profile.
    pub(super) fn drain_deadline(&self) -> Duration {
        let longest = self.longest_request + self.settings.freshness;
        self.settings.drain_deadline.max(longest)
    }

    /// Number of requests that run or wait on a replica. A replica whose first
    /// member does not report counts as busy, unless the member has restarted.
    pub(super) fn requests_on(&self, spec: &ReplicaSpec, now: Time) -> u32 {
        let Some(first) = spec.members.first() else { return 0 };
        let Some(observed) = self.instances.get(&first.instance) else { return 1 };
        match observed.fresh(now, self.settings.freshness) {
            Some(received) if received.report.incarnation == first.incarnation => {
                // Until the drain order has reached the engine, the replica
                // counts as busy.
                if received.report.replica == Some(spec.id) && !received.report.leaving {
                    observed.requests.max(1)
                } else {
                    observed.requests
                }
            }
            Some(_) => 0,
            None => 1,
        }
    }
}

/// Moves a replica to the list of draining replicas.
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

/// Cancels the repair in progress of a replica that ends.
pub(super) fn abandon_repair(next: &mut DomainRecord, old: ReplicaId) {
    let dropped: Vec<ReplicaId> =
        next.replacements.iter().filter(|it| it.old == old).map(|it| it.new).collect();
    next.pending.retain(|it| !dropped.contains(&it.id));
    next.replacements.retain(|it| it.old != old);
}

/// Withholds all members of a replica that has ended.
pub(super) fn release(next: &mut DomainRecord, spec: ReplicaSpec) {
    next.epoch = next.epoch.next();
    for member in spec.members {
        withhold(next, member);
    }
}

/// Withholds an instance until its engine reports that it is free.
pub(super) fn withhold(next: &mut DomainRecord, member: Member) {
    if !next.names_instance(&member.instance) {
        next.releasing.push(member);
    }
}
