//! Orders to engines.
//!
//! An order carries the epoch of the record that stands behind it, and the
//! start of the process that it is meant for. To an engine that does not check
//! the epoch it is given only within the window of the last confirmed write,
//! with a connection that ends inside that window, and not before the orders of
//! an earlier owner have run out.

use std::net::SocketAddr;

use citrongw_protocol::{
    engine::{Order, OrderKind},
    record::DomainRecord,
};
use citrongw_state::{
    id::{Incarnation, InstanceId},
    replica::{Member, MemberReport, ReplicaSpec},
    time::Time,
};

use super::{
    context::Context,
    domain::{Action, DomainControl, OrderCall},
    seen::MemberStatus,
};

impl DomainControl {
    /// Gives the orders that the record asks for and the engines lack.
    pub(super) fn send_orders(&mut self, ctx: &Context<'_>, now: Time, actions: &mut Vec<Action>) {
        if !self.is_owner() {
            return;
        }
        let Some(record) = self.record.clone() else { return };
        for spec in &record.replicas {
            self.order_loads(ctx, &record, spec, now, actions);
        }
        for draining in &record.draining {
            let fenced = ctx.honours_fencing(&draining.spec.deployment);
            for member in &draining.spec.members {
                let wants = |report: &MemberReport| {
                    report.replica == Some(draining.spec.id) && !report.leaving
                };
                let order = |incarnation| Order {
                    epoch: record.epoch,
                    incarnation,
                    kind: OrderKind::Drain,
                };
                self.order_if(member, fenced, wants, order, now, actions);
            }
        }
        for member in &record.releasing {
            let order =
                |incarnation| Order { epoch: record.epoch, incarnation, kind: OrderKind::Release };
            let wants = |report: &MemberReport| report.replica.is_some();
            self.order_if(member, ctx.all_honour_fencing(), wants, order, now, actions);
        }
    }

    fn order_loads(
        &mut self,
        ctx: &Context<'_>,
        record: &DomainRecord,
        spec: &ReplicaSpec,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let may_load = record.loads.iter().all(|it| it.replica != spec.id || it.running);
        let fenced = ctx.honours_fencing(&spec.deployment);
        for member in &spec.members {
            let Some(seen) = self.seen.get(&member.instance) else { continue };
            let standing = seen.standing(spec, member, now, self.settings.freshness);
            let keeps_weights = self.has_weights(record, spec, member, now);
            if standing != MemberStatus::Elsewhere || !(may_load || keeps_weights) {
                continue;
            }
            let order = |incarnation| Order {
                epoch: spec.epoch,
                incarnation,
                kind: OrderKind::Load {
                    replica: spec.id,
                    model: spec.model.clone(),
                    version: spec.version.clone(),
                    adapters: spec.adapters.clone(),
                    members: spec.members.iter().map(|it| it.instance.clone()).collect(),
                },
            };
            self.order_if(member, fenced, |_| true, order, now, actions);
        }
    }

    /// Gives an order to the start of the process that last answered, if what
    /// it said wants one.
    fn order_if(
        &mut self,
        member: &Member,
        fenced: bool,
        wants: impl Fn(&MemberReport) -> bool,
        order: impl Fn(Incarnation) -> Order,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let Some(seen) = self.seen.get(&member.instance) else { return };
        let Some(heard) = seen.fresh(now, self.settings.freshness) else { return };
        let order = order(heard.report.incarnation);
        let due = seen.ordered_at.is_none_or(|it| self.settings.order_interval <= now.since(it));
        let outrun = seen.newer_epoch.is_some_and(|it| order.epoch < it);
        if !wants(&heard.report) || !due || outrun {
            return;
        }
        if !fenced && !self.is_within_window(now) {
            self.renew = true;
            return;
        }
        self.send(&member.instance, member.engine_addr, order, now, actions);
    }

    /// Whether an order sent now has ended before a successor could give one.
    fn is_within_window(&self, now: Time) -> bool {
        let Some(confirmed_at) = self.confirmed_at else { return false };
        self.predecessor_orders_until <= now
            && now + self.settings.order_deadline <= confirmed_at + self.settings.order_window
    }

    fn send(
        &mut self,
        instance: &InstanceId,
        addr: SocketAddr,
        order: Order,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        if let Some(seen) = self.seen.get_mut(instance) {
            seen.ordered_at = Some(now);
        }
        let deadline = now + self.settings.order_deadline;
        let instance = instance.clone();
        actions.push(Action::Order(OrderCall { instance, addr, order, deadline }));
    }
}
