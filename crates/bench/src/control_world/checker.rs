//! Safety invariants, checked against the actual state of the model.

use std::{collections::BTreeMap, time::Duration};

use citrongw_state::{
    id::{Epoch, InstanceId, ReplicaId},
    replica::{self, ReceivedReport, ReplicaSpec},
    time::Time,
};
use derive_more::Display;

use super::{engine::EngineModel, node::NodeModel, store::StoreModel, variant::Variant};

/// Violation of a safety invariant.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Violation {
    /// An instance is a member of two replicas.
    #[display("at {at}: instance {instance} is in replicas {first} and {second}")]
    TwoReplicas {
        /// Simulated time of the violation.
        at: Time,
        /// Instance id.
        instance: InstanceId,
        /// First replica.
        first: ReplicaId,
        /// Second replica.
        second: ReplicaId,
    },
    /// An engine with fencing executed an order of an older epoch.
    #[display("at {at}: {instance} carried out an order of epoch {epoch} after {newest}")]
    OldOrder {
        /// Simulated time of the violation.
        at: Time,
        /// Instance id.
        instance: InstanceId,
        /// Epoch of the record that the order is based on.
        epoch: Epoch,
        /// Newest epoch executed before.
        newest: Epoch,
    },
    /// A replica was routable while a member was missing.
    #[display("at {at}: replica {replica} was routable without {instance}")]
    MemberMissing {
        /// Simulated time of the violation.
        at: Time,
        /// Replica id.
        replica: ReplicaId,
        /// Instance id of the member.
        instance: InstanceId,
    },
    /// A replica was routable while a member served another replica or epoch.
    #[display("at {at}: replica {replica} was routable while {instance} served something else")]
    ReportDiffers {
        /// Simulated time of the violation.
        at: Time,
        /// Replica id.
        replica: ReplicaId,
        /// Instance id of the member.
        instance: InstanceId,
    },
}

/// Checker of one simulated history.
#[derive(Debug, Default)]
pub struct Checker {
    /// Violations found so far.
    pub violations: Vec<Violation>,
    /// Number of routable replicas seen, over all checks.
    pub routes: u64,
    /// Number of orders executed.
    pub orders: u64,
    /// Number of records committed.
    pub commits: u64,
}

impl Checker {
    /// Checks all records after a commit.
    pub fn check_records(&mut self, store: &StoreModel, now: Time) {
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

    /// Checks an executed order against the epoch of the record that it is
    /// based on.
    pub fn record_order(&mut self, engine: &mut EngineModel, record_epoch: Epoch, now: Time) {
        self.orders += 1;
        if !engine.orders.enforces_fencing {
            return;
        }
        let incarnation = engine.orders.report.incarnation;
        let newest = engine.newest_epochs.entry(incarnation).or_default();
        if record_epoch < *newest {
            self.violations.push(Violation::OldOrder {
                at: now,
                instance: engine.listed.id.clone(),
                epoch: record_epoch,
                newest: *newest,
            });
        }
        *newest = record_epoch.max(*newest);
    }

    /// Checks every replica to which a node would route.
    pub fn check_routes(
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
            if !within(engine.last_alive_at.get(&member.incarnation)) {
                self.violations.push(Violation::MemberMissing {
                    at: now,
                    replica: spec.id,
                    instance,
                });
            } else if !within(engine.last_ready_at.get(&(spec.id, spec.epoch, member.incarnation)))
            {
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
    let reports: Vec<Option<ReceivedReport>> = spec
        .members
        .iter()
        .map(|member| {
            let mut report = *node.reports.get(&member.instance)?;
            match variant {
                Variant::StaleReports => report.requested_at = now,
                Variant::ReplicaUnchecked => {
                    report.report.replica = Some(spec.id);
                    report.report.epoch = spec.epoch;
                }
                _ => {}
            }
            Some(report)
        })
        .collect();
    replica::check_routable(spec, &reports, now, freshness).is_ok()
}
