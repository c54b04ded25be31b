//! Orders to engines.
//!
//! An order carries the epoch of the record that it is based on, and the
//! process incarnation for which it is meant. An engine that does not check the
//! epoch gets orders only within the window of the last confirmed write, over a
//! connection that ends inside that window, and only after the orders of an
//! earlier owner have expired.

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
    observed_instance::MemberStatus,
};

impl DomainControl {
    /// Sends the orders that the record requires and the engines have not
    /// executed yet.
    pub(super) fn send_orders(&mut self, ctx: &Context<'_>, now: Time, actions: &mut Vec<Action>) {
        if !self.is_owner() {
            return;
        }
        let Some(record) = self.record.clone() else { return };
        for spec in &record.replicas {
            self.order_load(ctx, &record, spec, now, actions);
        }
        for draining in &record.draining {
            let fenced = ctx.honours_fencing(&draining.spec.deployment);
            for member in &draining.spec.members {
                let needs_order = |report: &MemberReport| {
                    report.replica == Some(draining.spec.id) && !report.leaving
                };
                let order = |incarnation| Order {
                    epoch: record.epoch,
                    incarnation,
                    kind: OrderKind::Drain,
                };
                self.order_if_needed(member, fenced, needs_order, order, now, actions);
            }
        }
        for member in &record.releasing {
            let order =
                |incarnation| Order { epoch: record.epoch, incarnation, kind: OrderKind::Release };
            let needs_order = |report: &MemberReport| report.replica.is_some();
            self.order_if_needed(
                member,
                ctx.all_honour_fencing(),
                needs_order,
                order,
                now,
                actions,
            );
        }
    }

    fn order_load(
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
            let Some(observed) = self.instances.get(&member.instance) else { continue };
            let status = observed.member_status(spec, member, now, self.settings.freshness);
            let has_weights = self.has_weights(record, spec, member, now);
            if status != MemberStatus::Elsewhere || !(may_load || has_weights) {
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
            self.order_if_needed(member, fenced, |_| true, order, now, actions);
        }
    }

    /// Sends an order to the process incarnation that last replied, if its
    /// report requires one.
    fn order_if_needed(
        &mut self,
        member: &Member,
        fenced: bool,
        needs_order: impl Fn(&MemberReport) -> bool,
        order: impl Fn(Incarnation) -> Order,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let Some(observed) = self.instances.get(&member.instance) else { return };
        let Some(received) = observed.fresh(now, self.settings.freshness) else { return };
        let order = order(received.report.incarnation);
        let is_due =
            observed.ordered_at.is_none_or(|it| self.settings.order_interval <= now.since(it));
        let is_outdated = observed.newer_epoch.is_some_and(|it| order.epoch < it);
        if !needs_order(&received.report) || !is_due || is_outdated {
            return;
        }
        if !fenced && !self.is_within_window(now) {
            self.renewal_due = true;
            return;
        }
        self.send(&member.instance, member.engine_addr, order, now, actions);
    }

    /// Whether an order sent now ends before a successor could send one.
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
        if let Some(observed) = self.instances.get_mut(instance) {
            observed.ordered_at = Some(now);
        }
        let deadline = now + self.settings.order_deadline;
        let instance = instance.clone();
        actions.push(Action::Order(OrderCall { instance, addr, order, deadline }));
    }
}
