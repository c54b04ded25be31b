//! What the owner of a domain remembers between steps.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    time::Duration,
};

use citrongw_state::{
    id::{Epoch, Incarnation, InstanceId, ModelId, ReplicaId},
    time::Time,
};

use super::host::{Host, Hosts};
use crate::{adapter::Order, instance::MemberState};

/// Marks replicas of one spare, whose ids are digests; others are drawn below.
const STANDBY_BIT: u64 = 1 << 63;

/// Pause before an order without effect is given again. Orders are answered in
/// milliseconds, and one given twice does no harm.
const ORDER_INTERVAL: Duration = Duration::from_millis(400);

/// Time without a new instance after which weights of one model are given up for
/// another. The instances of a domain that was dark come back one by one.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// What the owner remembers between steps.
#[derive(Debug, Default)]
pub struct Memory {
    /// When each order was last given.
    pub(super) sent: HashMap<(InstanceId, Order), Time>,
    /// Heads that confirmed that they left.
    pub(super) released: HashSet<(ReplicaId, Epoch)>,
    /// When the heads that began to open will take requests.
    pub(super) opens_at: HashMap<(ReplicaId, Epoch), Time>,
    /// Epochs that a member refused.
    pub(super) refused: HashSet<(ReplicaId, Epoch)>,
    /// Since when each replica lacks a member.
    pub(super) lacking_since: HashMap<(ReplicaId, Epoch), Time>,
    /// Since when each replica is being closed.
    pub(super) closing_since: HashMap<(ReplicaId, Epoch), Time>,
    /// Since when a head is out of reach.
    pub(super) lost_heads: HashMap<(ReplicaId, Epoch), Time>,
    /// Instances known at the last step, and when one was last added.
    pub(super) known: BTreeSet<(InstanceId, Incarnation)>,
    pub(super) grown_at: Option<Time>,
    /// Replica of its own that each spare is kept warm in.
    pub(super) standbys: HashMap<(InstanceId, Incarnation), Standby>,
}

/// Replica with a spare as its one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Standby {
    pub(super) replica: ReplicaId,
    pub(super) epoch: Epoch,
    pub(super) model: ModelId,
}

impl Standby {
    pub(super) fn join(&self, host: &Host) -> Order {
        Order::Join {
            replica: self.replica,
            epoch: self.epoch,
            model: self.model.clone(),
            members: vec![host.id.clone()],
        }
    }
}

impl Memory {
    /// Takes in that a head confirmed that it left.
    pub fn add_released(&mut self, replica: ReplicaId, epoch: Epoch) {
        self.released.insert((replica, epoch));
    }

    /// Takes in that a head has begun to open.
    pub fn add_opening(&mut self, replica: ReplicaId, epoch: Epoch, opens_at: Time) {
        // The order may have been given again meanwhile.
        self.opens_at.entry((replica, epoch)).or_insert(opens_at);
    }

    /// Takes in that a member refused a join for its epoch.
    pub fn add_refused(&mut self, replica: ReplicaId, epoch: Epoch) {
        self.refused.insert((replica, epoch));
    }

    /// Takes in which instances there are.
    pub(super) fn note_hosts(&mut self, hosts: &Hosts, now: Time) {
        let known: BTreeSet<_> = hosts.values().map(|it| (it.id.clone(), it.incarnation)).collect();
        if !known.is_subset(&self.known) {
            self.grown_at = Some(now);
        }
        self.known = known;
    }

    /// Whether no instance was added lately.
    pub(super) fn is_settled(&self, now: Time) -> bool {
        self.grown_at.is_some_and(|at| SETTLE_TIME <= now.since(at))
    }

    pub(super) fn standby(&self, host: &Host) -> Option<&Standby> {
        self.standbys.get(&(host.id.clone(), host.incarnation))
    }

    /// Gives a spare a replica of its own.
    pub(super) fn begin_standby(&mut self, host: &Host, model: &ModelId, epoch: Epoch) -> Standby {
        // An epoch below one that the spare has seen would be refused.
        let seen = host.membership.map_or(epoch, |it| it.epoch.max(epoch));
        let replica = standby_replica(host);
        let standby = Standby { replica, epoch: seen.next(), model: model.clone() };
        self.standbys.insert((host.id.clone(), host.incarnation), standby.clone());
        standby
    }

    /// Whether the spare belongs to nothing, or only to a replica of its own.
    pub(super) fn is_free(&self, host: &Host) -> bool {
        let Some(membership) = host.membership else { return true };
        let own = standby_replica(host);
        membership.replica == Some(own) && membership.state != MemberState::Open
    }

    pub(super) fn may_send(&mut self, instance: &InstanceId, order: &Order, now: Time) -> bool {
        let key = (instance.clone(), order.clone());
        if self.sent.get(&key).is_some_and(|at| now.since(*at) < ORDER_INTERVAL) {
            return false;
        }
        self.sent.insert(key, now);
        true
    }

    pub(super) fn forget_old(&mut self, now: Time) {
        self.sent.retain(|_, at| now.since(*at) < ORDER_INTERVAL * 4);
    }
}

/// Replica that a spare is kept warm in: the same for every owner, so that a new
/// one knows it.
fn standby_replica(host: &Host) -> ReplicaId {
    let mut hasher = blake3::Hasher::new();
    hasher.update(host.id.as_str().as_bytes());
    hasher.update(&host.incarnation.0.to_le_bytes());
    let mut word = [0; 8];
    word.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    ReplicaId(STANDBY_BIT | u64::from_le_bytes(word) >> 1)
}
