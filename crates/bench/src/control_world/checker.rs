//! What must never happen, checked against the truth of the model.

use std::{collections::BTreeMap, time::Duration};

use citrongw_state::{
    id::{Epoch, InstanceId, ReplicaId},
    replica::{self, ReceivedReport, ReplicaSpec},
    time::Time,
};
use derive_more::Display;

use super::{engine::EngineModel, node::NodeModel, store::StoreModel, variant::Variant};

/// A promise broken.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Violation {
    /// An instance is in two replicas.
    #[display("at {at}: instance {instance} is in replicas {first} and {second}")]
    TwoReplicas {
        /// When.
        at: Time,
        /// The instance.
        instance: InstanceId,
        /// One replica.
        first: ReplicaId,
        /// The other.
        second: ReplicaId,
    },
    /// A fencing engine carried out an order of an older epoch.
    #[display("at {at}: {instance} carried out an order of epoch {epoch} after {newest}")]
    OldOrder {
        /// When.
        at: Time,
        /// The instance.
        instance: InstanceId,
        /// Epoch of the record behind the order.
        epoch: Epoch,
        /// Newest epoch carried out before.
        newest: Epoch,
    },
    /// A replica could be routed to while a member was missing.
    #[display("at {at}: replica {replica} was routable without {instance}")]
    MemberMissing {
        /// When.
        at: Time,
        /// The replica.
        replica: ReplicaId,
        /// The member.
        instance: InstanceId,
    },
    /// A replica could be routed to while a member reported something else.
    #[display("at {at}: replica {replica} was routable while {instance} served something else")]
    ReportDiffers {
        /// When.
        at: Time,
        /// The replica.
        replica: ReplicaId,
        /// The member.
        instance: InstanceId,
    },
}

/// Watches a history.
#[derive(Debug, Default)]
pub struct Checker {
    /// What was found.
    pub violations: Vec<Violation>,
    /// Routes that were possible.
    pub routes: u64,
    /// Orders carried out.
    pub orders: u64,
    /// Records written.
    pub commits: u64,
}

impl Checker {
    /// Looks at all records after a write.
    pub fn commit(&mut self, store: &StoreModel, now: Time) {
        self.commits += 1;
        let mut holders: BTreeMap<&InstanceId, ReplicaId> = BTreeMap::new();
        for (record, _) in store.records().values() {
            let draining = record.draining.iter().map(|it| &it.spec);
            for spec in record.replicas.iter().chain(draining) {
                for member in &spec.members {
                    let Some(first) = holders.insert(&member.instance, spec.id) else { continue };
                    self.violations.push(Violation::TwoReplicas {
                        at: now,
                        instance: member.instance.clone(),
                        first,
                        second: spec.id,
                    });
                }
            }
        }
    }

    /// Looks at an order that was carried out, with the epoch of the record
    /// that truly stands behind it.
    pub fn carried_out(&mut self, engine: &mut EngineModel, truth: Epoch, now: Time) {
        self.orders += 1;
        if !engine.orders.enforces_fencing {
            return;
        }
        let incarnation = engine.orders.report.incarnation;
        let newest = engine.carried_out.entry(incarnation).or_default();
        if truth < *newest {
            self.violations.push(Violation::OldOrder {
                at: now,
                instance: engine.listed.id.clone(),
                epoch: truth,
                newest: *newest,
            });
        }
        *newest = truth.max(*newest);
    }

    /// Looks at every replica that a node would route to.
    pub fn route(
        &mut self,
        node: &NodeModel,
        engines: &mut [EngineModel],
        variant: Variant,
        freshness: Duration,
        now: Time,
    ) {
        for engine in engines.iter_mut() {
            engine.touch(now);
        }
        for (record, _) in node.records.values() {
            for spec in &record.replicas {
                if is_routable(node, spec, variant, freshness, now) {
                    self.routes += 1;
                    self.check_members(spec, engines, freshness, now);
                }
            }
        }
    }

    fn check_members(
        &mut self,
        spec: &ReplicaSpec,
        engines: &[EngineModel],
        freshness: Duration,
        now: Time,
    ) {
        for member in &spec.members {
            let place = engines.binary_search_by(|it| it.listed.id.cmp(&member.instance));
            let Some(engine) = place.ok().map(|it| &engines[it]) else { continue };
            let within = |at: Option<&Time>| at.is_some_and(|it| now.since(*it) <= freshness);
            let instance = member.instance.clone();
            if !within(engine.alive_at.get(&member.incarnation)) {
                self.violations.push(Violation::MemberMissing {
                    at: now,
                    replica: spec.id,
                    instance,
                });
            } else if !within(engine.vouched_at.get(&(spec.id, spec.epoch, member.incarnation))) {
                self.violations.push(Violation::ReportDiffers {
                    at: now,
                    replica: spec.id,
                    instance,
                });
            }
        }
    }
}

fn is_routable(
    node: &NodeModel,
    spec: &ReplicaSpec,
    variant: Variant,
    freshness: Duration,
    now: Time,
) -> bool {
    let heard: Vec<Option<ReceivedReport>> = spec
        .members
        .iter()
        .map(|member| {
            let mut heard = *node.heard.get(&member.instance)?;
            match variant {
                Variant::StaleReports => heard.requested_at = now,
                Variant::ReplicaUnchecked => {
                    heard.report.replica = Some(spec.id);
                    heard.report.epoch = spec.epoch;
                }
                _ => {}
            }
            Some(heard)
        })
        .collect();
    replica::check_routable(spec, &heard, now, freshness).is_ok()
}
