//! Ownership of a domain: taking it over, handing it on, and what a confirmed
//! write gives its sender.

use citrongw_protocol::{
    decision::control::ControlDecision,
    gossip_item::{GossipItem, RecordChange},
    record::DomainRecord,
};
use citrongw_state::{id::Epoch, ownership, time::Time};

use super::{
    context::Context,
    domain::{Action, DomainControl, PendingWrite},
    seen::ObservedInstance,
};

/// Epoch of a domain's first owner.
const FIRST_EPOCH: Epoch = Epoch(1);

/// What this node is to a domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ownership {
    /// Its owner.
    Owner,
    /// The one to take it.
    Takes,
    /// Its owner, with another node closer to it.
    HandsOver,
    /// Nothing.
    None,
}

impl DomainControl {
    /// What this node is to the domain now.
    pub(super) fn ownership(&self, ctx: &Context<'_>) -> Ownership {
        let suggested = ownership::domain_owner(&self.domain, ctx.alive);
        let owner = self.record.as_ref().and_then(|it| it.owner);
        if owner == Some(self.node) {
            let moves = suggested != owner && suggested.is_some() && !ctx.is_view_suspect;
            return if moves && self.is_settled() {
                Ownership::HandsOver
            } else {
                Ownership::Owner
            };
        }
        let owner_lives = owner.is_some_and(|it| ctx.alive.binary_search(&it).is_ok());
        if suggested == Some(self.node) && !owner_lives && !ctx.is_view_suspect {
            return Ownership::Takes;
        }
        Ownership::None
    }

    /// Whether nothing is under way in the domain.
    fn is_settled(&self) -> bool {
        self.record.as_ref().is_some_and(|it| {
            it.pending.is_empty()
                && it.draining.is_empty()
                && it.releasing.is_empty()
                && it.loads.is_empty()
                && it.down.is_empty()
        })
    }

    /// The record as this node would have it next.
    pub(super) fn next_record(
        &mut self,
        ctx: &Context<'_>,
        now: Time,
        actions: &mut Vec<Action>,
    ) -> Option<(DomainRecord, Vec<ControlDecision>)> {
        match self.ownership(ctx) {
            Ownership::None => None,
            Ownership::Takes => {
                let record = self.taken_over();
                let (domain, epoch) = (self.domain.clone(), record.epoch);
                Some((record, vec![ControlDecision::DomainTaken { domain, epoch }]))
            }
            Ownership::HandsOver => {
                let record = DomainRecord::clone(self.record.as_ref()?);
                Some((DomainRecord { owner: None, ..record }, Vec::new()))
            }
            Ownership::Owner => self.updated_record(ctx, now, actions),
        }
    }

    fn taken_over(&self) -> DomainRecord {
        let record = self.record.as_deref().cloned().unwrap_or_default();
        DomainRecord { epoch: record.epoch.next(), owner: Some(self.node), ..record }
    }

    /// Begins anew with what is seen, and waits out the orders of the owner
    /// before.
    pub(super) fn begin_ownership(&mut self, now: Time) {
        let epoch = self.record.as_ref().map(|it| it.epoch);
        // Nobody can have given orders before the first owner.
        if Some(FIRST_EPOCH) < epoch {
            self.predecessor_orders_until =
                now + self.settings.order_window + self.settings.order_deadline;
        }
        self.tracked_replicas.clear();
        self.draining_since.clear();
        for seen in self.seen.values_mut() {
            *seen = ObservedInstance {
                listed: seen.listed.take(),
                first_seen_at: now,
                ..ObservedInstance::default()
            };
        }
    }

    /// Takes in that a write of this node took effect. Without the ownership,
    /// which a later write may have ended, it gives no right to orders.
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
