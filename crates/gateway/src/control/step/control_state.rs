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

/// Time after which weights that did not arrive are ordered again: far more than
/// a load takes when many share the weight store.
const STAGING_LIMIT: Duration = Duration::from_secs(90);

/// Time without a new instance after which weights of one model are given up for
/// another. The instances of a domain that was dark come back one by one.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// What the owner remembers between steps.
#[derive(Debug, Default)]
pub struct ControlState {
    /// When each order was last given.
    pub(super) sent: HashMap<(InstanceId, Order), Time>,
    /// Heads that confirmed that they left.
    pub(super) released: HashSet<(ReplicaId, Epoch)>,
    /// When the heads that began to open will take requests.
    pub(super) opens_at: HashMap<(ReplicaId, Epoch), Time>,
    /// Epochs that a member refused.
    pub(super) refused: HashSet<(ReplicaId, Epoch)>,
    /// Epoch that joins are to pass, as a spare had seen later ones.
    pub(super) epoch_floor: Epoch,
    /// Since when each replica lacks a member.
    pub(super) incomplete_since: HashMap<(ReplicaId, Epoch), Time>,
    /// Since when each replica is being closed.
    pub(super) closing_since: HashMap<(ReplicaId, Epoch), Time>,
    /// Since when a head is out of reach.
    pub(super) lost_heads: HashMap<(ReplicaId, Epoch), Time>,
    /// Instances known at the last step, and when one was last added.
    pub(super) known: BTreeSet<(InstanceId, Incarnation)>,
    pub(super) grown_at: Option<Time>,
    /// Weights that are on their way to each host.
    pub(super) staging: HashMap<(InstanceId, Incarnation), Staging>,
    /// Instances that load weights only with a join.
    pub(super) stage_refused: HashSet<InstanceId>,
    /// Replica of its own that each spare is kept warm in.
    pub(super) standbys: HashMap<(InstanceId, Incarnation), Standby>,
}

/// Weights on their way to a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Staging {
    pub(super) model: ModelId,
    pub(super) since: Time,
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

impl ControlState {
    /// Takes in that a head confirmed that it left.
    pub fn add_released(&mut self, replica: ReplicaId, epoch: Epoch) {
        self.released.insert((replica, epoch));
    }

    /// Takes in that a head has begun to open.
    pub fn add_opening(&mut self, replica: ReplicaId, epoch: Epoch, opens_at: Time) {
        // The order may have been given again meanwhile.
        self.opens_at.entry((replica, epoch)).or_insert(opens_at);
    }

    /// Takes in that an instance refused a join for its epoch. A spare is to get a
    /// much higher one with its next join: what it has seen is not known.
    pub fn add_refused(&mut self, instance: &InstanceId, replica: ReplicaId, epoch: Epoch) {
        if replica.0 & STANDBY_BIT == 0 {
            self.refused.insert((replica, epoch));
            return;
        }
        self.standbys.retain(|(id, _), _| id != instance);
        self.epoch_floor = self.epoch_floor.max(Epoch(epoch.0.saturating_mul(2)));
    }

    /// Takes in that an instance did not begin to load weights. One that refuses
    /// gets them with a join.
    pub fn end_staging(&mut self, instance: &InstanceId, refuses: bool) {
        self.staging.retain(|(id, _), _| id != instance);
        if refuses {
            self.stage_refused.insert(instance.clone());
        }
    }

    /// Whether weights for a host are to be ordered before it joins.
    pub(super) fn needs_staging(&self, host: &Host, model: &ModelId) -> bool {
        !host.staged.contains(model)
            && self.staging(host) != Some(model)
            && !self.stage_refused.contains(&host.id)
    }

    /// Takes in which instances there are.
    pub(super) fn update_hosts(&mut self, hosts: &Hosts, now: Time) {
        self.stage_refused.retain(|id| hosts.contains_key(id));
        self.staging.retain(|(id, incarnation), staging| {
            let host = hosts.get(id).filter(|it| it.incarnation == *incarnation);
            let is_done = host.is_none_or(|it| it.staged.contains(&staging.model));
            !is_done && now.since(staging.since) < STAGING_LIMIT
        });
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

    /// Model whose weights are on their way to a host.
    pub(super) fn staging(&self, host: &Host) -> Option<&ModelId> {
        self.staging.get(&(host.id.clone(), host.incarnation)).map(|it| &it.model)
    }

    pub(super) fn begin_staging(&mut self, host: &Host, model: &ModelId, now: Time) {
        let staging = Staging { model: model.clone(), since: now };
        self.staging.insert((host.id.clone(), host.incarnation), staging);
    }

    pub(super) fn standby(&self, host: &Host) -> Option<&Standby> {
        self.standbys.get(&(host.id.clone(), host.incarnation))
    }

    /// Gives a spare a replica of its own.
    pub(super) fn begin_standby(&mut self, host: &Host, model: &ModelId, epoch: Epoch) -> Standby {
        // An epoch below one that the spare has seen would be refused.
        let epoch = self.epoch_floor.max(epoch);
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

    pub(super) fn expire_sent(&mut self, now: Time) {
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
