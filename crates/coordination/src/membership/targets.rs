//! Choice of the nodes to ping or notify.
//!
//! The live members of a zone in order of id form a tree: the parent of the node
//! at index `n` is at `(n - 1) / FAN_OUT`. If the views of nodes differ, the
//! only effect is that a node pings a different parent.

use citrongw_state::id::{AvailabilityZone, NodeId};
use rand::{Rng, seq::IteratorRandom};

use super::Membership;

/// Children of a node.
const FAN_OUT: usize = 4;

impl Membership {
    /// Index of this node among the live members of its zone, in order of id.
    pub(super) fn rank_in_zone(&self) -> usize {
        let mut zone = self.members.live_in_zone(&self.this.zone);
        zone.position(|it| it == self.this.id).unwrap_or(0)
    }

    /// Whether this node is the root of its zone's tree.
    pub(super) fn is_first_of_zone(&self) -> bool {
        self.rank_in_zone() == 0
    }

    /// Parent of this node; `None` for the root.
    pub(super) fn parent(&self) -> Option<NodeId> {
        let index = self.rank_in_zone().checked_sub(1)? / FAN_OUT;
        self.members.live_in_zone(&self.this.zone).nth(index)
    }

    /// A random other live member of this zone.
    pub(super) fn random_in_zone(&mut self) -> Option<NodeId> {
        let this = self.this.id;
        let others = self.members.live_in_zone(&self.this.zone).filter(|it| *it != this);
        others.choose(&mut self.rng)
    }

    /// A random live member of a random other zone.
    pub(super) fn random_in_other_zone(&mut self) -> Option<NodeId> {
        let zone = self.other_zone()?;
        self.members.live_in_zone(&zone).choose(&mut self.rng)
    }

    /// The first live member of a random other zone.
    pub(super) fn first_in_other_zone(&mut self) -> Option<NodeId> {
        let zone = self.other_zone()?;
        self.members.live_in_zone(&zone).next()
    }

    fn other_zone(&mut self) -> Option<AvailabilityZone> {
        let others = self.members.zones().filter(|it| **it != self.this.zone);
        others.choose(&mut self.rng).cloned()
    }

    /// A random dead or left member, to check whether it has returned.
    pub(super) fn random_gone(&mut self) -> Option<NodeId> {
        self.members.gone().choose(&mut self.rng)
    }

    /// Targets of a push: the parent and children, so that each node is notified
    /// by few others, a random member of the zone, and one of another zone.
    pub(super) fn push_targets(&mut self) -> Vec<NodeId> {
        let first = self.rank_in_zone() * FAN_OUT + 1;
        let children = self.members.live_in_zone(&self.this.zone).skip(first).take(FAN_OUT);
        let mut targets: Vec<NodeId> = children.chain(self.parent()).collect();
        targets.extend(self.random_in_zone());
        targets.extend(self.random_in_other_zone());
        targets
    }

    /// A random number that is not cryptographically secure.
    pub(super) fn random_id(&mut self) -> u128 {
        self.rng.random()
    }
}
