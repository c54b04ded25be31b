//! Ownership of a domain: takeover, handover, and the effects of a confirmed
//! write.

use citrongw_protocol::{
    decision::control::ControlDecision,
    gossip_item::{GossipItem, RecordChange},
    record::DomainRecord,
};
use citrongw_state::{id::Epoch, ownership, time::Time};

use super::{
    context::Context,
    domain::{Action, DomainControl, PendingWrite},
    observed_instance::ObservedInstance,
};

/// Epoch of a domain's first owner.
const FIRST_EPOCH: Epoch = Epoch(1);

/// Relation of this node to a domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ownership {
    /// This node is the owner.
    Owner,
    /// This node is to take over the domain.
    TakeOver,
    /// This node is the owner, and another node is preferred.
    HandOver,
    /// This node neither owns the domain nor is to own it.
    None,
}

impl DomainControl {
    /// Current relation of this node to the domain.
    pub(super) fn ownership(&self, ctx: &Context<'_>) -> Ownership {
        let preferred = ownership::domain_owner(&self.domain, ctx.alive);
        let owner = self.record.as_ref().and_then(|it| it.owner);
        if owner == Some(self.node) {
            let is_moving = preferred != owner && preferred.is_some() && !ctx.is_view_suspect;
            return if is_moving && self.is_stable() {
                Ownership::HandOver
            } else {
                Ownership::Owner
            };
        }
        let owner_is_alive = owner.is_some_and(|it| ctx.alive.binary_search(&it).is_ok());
        if preferred == Some(self.node) && !owner_is_alive && !ctx.is_view_suspect {
            return Ownership::TakeOver;
        }
        Ownership::None
    }

    /// Whether no change is in progress in the domain.
    fn is_stable(&self) -> bool {
        self.record.as_ref().is_some_and(|it| {
            it.pending.is_empty()
                && it.draining.is_empty()
                && it.releasing.is_empty()
                && it.loads.is_empty()
                && it.down.is_empty()
        })
    }

    /// Returns the next record that this node is to write, if any.
    pub(super) fn next_record(
        &mut self,
        ctx: &Context<'_>,
        now: Time,
        actions: &mut Vec<Action>,
    ) -> Option<(DomainRecord, Vec<ControlDecision>)> {
        match self.ownership(ctx) {
            Ownership::None => None,
            Ownership::TakeOver => {
                let record = self.takeover_record();
                let (domain, epoch) = (self.domain.clone(), record.epoch);
                Some((record, vec![ControlDecision::DomainTaken { domain, epoch }]))
            }
            Ownership::HandOver => {
                let record = DomainRecord::clone(self.record.as_ref()?);
                Some((DomainRecord { owner: None, ..record }, Vec::new()))
            }
            Ownership::Owner => self.updated_record(ctx, now, actions),
        }
    }

    fn takeover_record(&self) -> DomainRecord {
        let record = self.record.as_deref().cloned().unwrap_or_default();
        DomainRecord { epoch: record.epoch.next(), owner: Some(self.node), ..record }
    }

    /// Discards all observations except the instance list, and waits until the
    /// orders of the previous owner have expired.
    pub(super) fn begin_ownership(&mut self, now: Time) {
        let epoch = self.record.as_ref().map(|it| it.epoch);
        // Nobody can have sent orders before the first owner.
        if Some(FIRST_EPOCH) < epoch {
            self.predecessor_orders_until =
                now + self.settings.order_window + self.settings.order_deadline;
        }
        self.tracked_replicas.clear();
        self.draining_since.clear();
        for observed in self.instances.values_mut() {
            *observed = ObservedInstance {
                listed: observed.listed.take(),
                first_seen_at: now,
                ..ObservedInstance::default()
            };
        }
    }

    /// Handles a confirmed write of this node. The write permits orders only if
    /// this node still owns the domain; a later write may have ended the
    /// ownership.
    pub(super) fn confirm(&mut self, write: &PendingWrite, actions: &mut Vec<Action>) {
        if self.is_owner() && write.record.owner == Some(self.node) {
            self.confirmed_at = Some(write.sent_at);
        }
        actions.extend(write.decisions.iter().cloned().map(Action::LogDecision));
        let change = RecordChange {
            domain: self.domain.clone(),
            epoch: write.record.epoch,
            revision: self.revision.unwrap_or_default(),
        };
        actions.push(Action::Publish(GossipItem::DomainChanged(change)));
    }
}
