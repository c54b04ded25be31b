//! State that the owner of a domain keeps between steps.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    time::Duration,
};

use citrongw_state::{
    id::{Epoch, Incarnation, InstanceId, ModelId, ReplicaId, StoreEra},
    time::Time,
};

use super::host::{Host, Hosts};
use crate::{
    adapter::Order,
    control::plan::{self, DomainPlan},
    instance::MemberState,
};

/// Bit that marks standby replicas, whose ids are digests. Ids of other replicas
/// are random numbers below it.
const STANDBY_BIT: u64 = 1 << 63;

/// Epoch up to which refused joins double it. Above it, epochs grow by one, and a
/// number that JSON holds exactly never wraps.
const MAX_EPOCH_FLOOR: u64 = 1 << 52;

/// Delay before an order without effect is sent again. Responses take
/// milliseconds, and a repeated order is harmless.
const ORDER_INTERVAL: Duration = Duration::from_millis(400);

/// Time after which a load that did not finish is ordered again: far more than a
/// load takes when many share the weight store.
const STAGING_TIMEOUT: Duration = Duration::from_secs(90);

/// Time without a new instance after which weights of one model may be replaced
/// by those of another. After an outage, the instances of a domain come back one
/// by one.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// State that the owner of a domain keeps between steps.
#[derive(Debug, Default)]
pub struct ControlState {
    /// When each order was last sent.
    pub(super) sent: HashMap<(InstanceId, Order), Time>,
    /// Replica epochs whose head confirmed that it left.
    pub(super) released: HashSet<(ReplicaId, Epoch)>,
    /// When each head that is opening will take requests.
    pub(super) opens_at: HashMap<(ReplicaId, Epoch), Time>,
    /// Replica epochs that a member refused to join.
    pub(super) refused: HashSet<(ReplicaId, Epoch)>,
    /// Epoch that new joins must exceed: the last one that was given out, or that a spare
    /// may have seen.
    pub(super) epoch_floor: Epoch,
    /// Lowest epoch in the era of the key-value service.
    first_epoch: Epoch,
    /// When each replica became incomplete.
    pub(super) incomplete_since: HashMap<(ReplicaId, Epoch), Time>,
    /// When the close of each replica was first ordered.
    pub(super) closing_since: HashMap<(ReplicaId, Epoch), Time>,
    /// When each lost head became unreachable.
    pub(super) lost_heads: HashMap<(ReplicaId, Epoch), Time>,
    /// Instances known at the last step.
    pub(super) known: BTreeSet<(InstanceId, Incarnation)>,
    pub(super) last_added_at: Option<Time>,
    /// Load in progress on each instance.
    pub(super) staging: HashMap<(InstanceId, Incarnation), Staging>,
    /// Instances that refused to load weights without a join.
    pub(super) stage_refused: HashSet<InstanceId>,
    /// Standby replica of each spare.
    pub(super) standbys: HashMap<(InstanceId, Incarnation), Standby>,
}

/// Load of weights in progress on an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Staging {
    pub(super) model: ModelId,
    pub(super) since: Time,
}

/// Replica whose only member is a spare. It is never opened and keeps the weights
/// loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Standby {
    pub(super) replica: ReplicaId,
    pub(super) epoch: Epoch,
    pub(super) model: ModelId,
}

impl Standby {
    pub(super) fn join_order(&self, host: &Host) -> Order {
        Order::Join {
            replica: self.replica,
            epoch: self.epoch,
            model: self.model.clone(),
            members: vec![host.id.clone()],
        }
    }
}

impl ControlState {
    /// Records that a head confirmed that it left.
    pub fn add_released(&mut self, replica: ReplicaId, epoch: Epoch) {
        self.released.insert((replica, epoch));
    }

    /// Records that a head has begun to open.
    pub fn add_opening(&mut self, replica: ReplicaId, epoch: Epoch, opens_at: Time) {
        // The order may have been sent more than once; the first time counts.
        self.opens_at.entry((replica, epoch)).or_insert(opens_at);
    }

    /// Records that an instance refused a join because of its epoch. The next
    /// join of a spare gets a much higher epoch, because the latest epoch that
    /// the spare has seen is unknown.
    pub fn add_refused(&mut self, instance: &InstanceId, replica: ReplicaId, epoch: Epoch) {
        if replica.0 & STANDBY_BIT == 0 {
            self.refused.insert((replica, epoch));
            return;
        }
        // A join that arrived after a later one says nothing about the later one.
        let is_overtaken = |((id, _), standby): (&(InstanceId, Incarnation), &Standby)| {
            id == instance && epoch < standby.epoch
        };
        if self.standbys.iter().any(is_overtaken) {
            return;
        }
        self.standbys.retain(|(id, _), _| id != instance);
        let in_era = epoch.0.saturating_sub(self.first_epoch.0);
        let doubled = epoch.0.saturating_add(in_era).min(MAX_EPOCH_FLOOR);
        self.raise_epoch_floor(epoch.max(Epoch(doubled)));
    }

    /// Records a read of the plan in an era of the key-value service: its epochs may all
    /// have been given out.
    pub fn add_read(&mut self, plan: &DomainPlan, era: StoreEra) {
        self.first_epoch = plan::first_epoch(era);
        self.raise_epoch_floor(plan.epoch_floor(era));
    }

    /// Last epoch that was given out, or that an instance may have seen.
    pub fn epoch_floor(&self) -> Epoch {
        self.epoch_floor
    }

    pub(super) fn raise_epoch_floor(&mut self, epoch: Epoch) {
        self.epoch_floor = self.epoch_floor.max(epoch);
    }

    /// Records that an instance did not begin to load weights. An instance that
    /// refused loads them with a join.
    pub fn cancel_staging(&mut self, instance: &InstanceId, is_refused: bool) {
        self.staging.retain(|(id, _), _| id != instance);
        if is_refused {
            self.stage_refused.insert(instance.clone());
        }
    }

    /// Whether an instance needs an order to load weights before it joins.
    pub(super) fn needs_staging(&self, host: &Host, model: &ModelId) -> bool {
        !host.staged.contains(model)
            && self.staging(host) != Some(model)
            && !self.stage_refused.contains(&host.id)
    }

    /// Updates the set of known instances and drops state of those that are gone.
    pub(super) fn update_hosts(&mut self, hosts: &Hosts, now: Time) {
        self.stage_refused.retain(|id| hosts.contains_key(id));
        self.staging.retain(|(id, incarnation), staging| {
            let host = hosts.get(id).filter(|it| it.incarnation == *incarnation);
            let is_done = host.is_none_or(|it| it.staged.contains(&staging.model));
            !is_done && now.since(staging.since) < STAGING_TIMEOUT
        });
        let known: BTreeSet<_> = hosts.values().map(|it| (it.id.clone(), it.incarnation)).collect();
        if !known.is_subset(&self.known) {
            self.last_added_at = Some(now);
        }
        self.known = known;
    }

    /// Begins repairs anew once the domain is controlled again: spares and the requests of
    /// closing replicas get their full time then.
    pub(super) fn suspend_repairs(&mut self) {
        self.incomplete_since.clear();
        self.closing_since.clear();
    }

    /// Whether no instance was added within the settle time.
    pub(super) fn is_settled(&self, now: Time) -> bool {
        self.last_added_at.is_some_and(|at| SETTLE_TIME <= now.since(at))
    }

    /// Model whose weights an instance is loading.
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

    /// Assigns a standby replica to a spare. None while the record, which has epochs up
    /// to `recorded`, reserves no more: an order with an epoch that is in no record could
    /// be carried out late, after the next owner has given the spare another one.
    pub(super) fn begin_standby(
        &mut self,
        host: &Host,
        model: &ModelId,
        recorded: Epoch,
    ) -> Option<Standby> {
        // The spare would refuse an epoch below one that it has seen.
        let seen = host.membership.map_or(Epoch::default(), |it| it.epoch);
        self.raise_epoch_floor(seen);
        let epoch = self.epoch_floor.next();
        if recorded < epoch {
            return None;
        }
        // The report of the spare may still lack this epoch at the next join.
        self.raise_epoch_floor(epoch);
        let standby = Standby { replica: standby_replica(host), epoch, model: model.clone() };
        self.standbys.insert((host.id.clone(), host.incarnation), standby.clone());
        Some(standby)
    }

    /// Whether the instance is in no replica, or only in its standby replica.
    pub(super) fn is_free(&self, host: &Host) -> bool {
        let Some(membership) = host.membership else { return true };
        let standby = standby_replica(host);
        membership.replica == Some(standby) && membership.state != MemberState::Open
    }

    pub(super) fn mark_sent_if_due(
        &mut self,
        instance: &InstanceId,
        order: &Order,
        now: Time,
    ) -> bool {
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

/// Id of a spare's standby replica. Every owner derives the same id, so a new
/// owner recognizes it.
fn standby_replica(host: &Host) -> ReplicaId {
    let mut hasher = blake3::Hasher::new();
    hasher.update(host.id.as_str().as_bytes());
    hasher.update(&host.incarnation.0.to_le_bytes());
    let mut word = [0; 8];
    word.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    ReplicaId(STANDBY_BIT | u64::from_le_bytes(word) >> 1)
}
