//! Whom a node asks next.
//!
//! The live members of a zone in order of id make a tree: the node at place `n`
//! is below the one at `(n - 1) / FAN_OUT`. Views that differ for a moment only
//! make a node ask another one.

use citrongw_state::id::{AvailabilityZone, NodeId};
use rand::{Rng, seq::IteratorRandom};

use super::Membership;

/// Nodes below one.
const FAN_OUT: usize = 4;

impl Membership {
    /// Place of this node in its zone.
    pub(super) fn rank_in_zone(&self) -> usize {
        let mut zone = self.members.live_in_zone(&self.this.zone);
        zone.position(|it| it == self.this.id).unwrap_or(0)
    }

    /// Whether this node is the first of its zone.
    pub(super) fn is_first_of_zone(&self) -> bool {
        self.rank_in_zone() == 0
    }

    /// Node above this one, if any.
    pub(super) fn parent(&self) -> Option<NodeId> {
        let place = self.rank_in_zone().checked_sub(1)? / FAN_OUT;
        self.members.live_in_zone(&self.this.zone).nth(place)
    }

    /// Any other member of the zone.
    pub(super) fn random_in_zone(&mut self) -> Option<NodeId> {
        let this = self.this.id;
        let others = self.members.live_in_zone(&self.this.zone).filter(|it| *it != this);
        others.choose(&mut self.rng)
    }

    /// Any member of another zone.
    pub(super) fn random_in_other_zone(&mut self) -> Option<NodeId> {
        let zone = self.other_zone()?;
        self.members.live_in_zone(&zone).choose(&mut self.rng)
    }

    /// The first member of another zone.
    pub(super) fn first_in_other_zone(&mut self) -> Option<NodeId> {
        let zone = self.other_zone()?;
        self.members.live_in_zone(&zone).next()
    }

    fn other_zone(&mut self) -> Option<AvailabilityZone> {
        let others = self.members.zones().filter(|it| **it != self.this.zone);
        others.choose(&mut self.rng).cloned()
    }

    /// Any member that is held for gone, to find out whether it is back.
    pub(super) fn random_gone(&mut self) -> Option<NodeId> {
        self.members.gone().choose(&mut self.rng)
    }

    /// Members to be told something at once: those next to this one in the
    /// tree, so that each is told by few, any other of the zone, and one outside.
    pub(super) fn push_targets(&mut self) -> Vec<NodeId> {
        let first = self.rank_in_zone() * FAN_OUT + 1;
        let below = self.members.live_in_zone(&self.this.zone).skip(first).take(FAN_OUT);
        let mut targets: Vec<NodeId> = below.chain(self.parent()).collect();
        targets.extend(self.random_in_zone());
        targets.extend(self.random_in_other_zone());
        targets
    }

    /// A number for what needs no better one.
    pub(super) fn random_id(&mut self) -> u128 {
        self.rng.random()
    }
}
