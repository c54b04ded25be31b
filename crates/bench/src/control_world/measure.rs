//! Measurements of a run: group downtime and stranded accelerators.
//!
//! An accelerator is stranded while it is alive and serves nothing although a
//! configured replica is missing that it belongs to or could be part of. Its
//! cost is wasted whether it waits, loads weights, or is a spare in the wrong
//! domain. The part of that time without any loading is summed separately.

use std::{collections::BTreeSet, time::Duration};

use citrongw_state::{
    config::Config,
    replica::{MemberReport, ReplicaSpec},
};

use super::{engine::EngineModel, store::StoreModel};

/// Totals over simulated time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Measures {
    /// Seconds during which configured replicas were not serving.
    pub downtime_s: f64,
    /// Seconds during which accelerators were idle because their replica could
    /// not form.
    pub stranded_accelerator_s: f64,
    /// Part of the stranded time during which the accelerators were not loading
    /// weights.
    pub waiting_accelerator_s: f64,
    /// Measured time in seconds.
    pub elapsed_s: f64,
}

impl Measures {
    /// Adds a period in which nothing changed.
    pub fn add(
        &mut self,
        config: &Config,
        store: &StoreModel,
        engines: &[EngineModel],
        span: Duration,
    ) {
        if span.is_zero() {
            return;
        }
        let records = store.records().values();
        let specs: Vec<&ReplicaSpec> = records.flat_map(|(it, _)| &it.replicas).collect();
        self.add_specs(config, &specs, engines, span);
    }

    /// Adds a period in which these replicas were allocated.
    pub fn add_specs(
        &mut self,
        config: &Config,
        specs: &[&ReplicaSpec],
        engines: &[EngineModel],
        span: Duration,
    ) {
        let seconds = span.as_secs_f64();
        self.elapsed_s += seconds;
        let mut busy = BTreeSet::new();
        let mut missing_instances = 0;
        for deployment in &config.deployments {
            let of = specs.iter().filter(|it| it.deployment == deployment.id);
            let mut serving = 0;
            for spec in of.filter(|it| serves(it, engines)) {
                serving += 1;
                busy.extend(spec.members.iter().map(|it| &it.instance));
            }
            let missing = deployment.replicas.saturating_sub(serving);
            self.downtime_s += f64::from(missing) * seconds;
            missing_instances += missing * deployment.instances_per_replica;
        }
        let idle = engines.iter().filter(|it| it.is_responsive() && !busy.contains(&it.listed.id));
        let idle: Vec<&EngineModel> = idle.collect();
        let waiting = idle.iter().filter(|it| {
            let report = it.orders.report;
            report.replica.is_none() || report.ready
        });
        let sum = |list: &mut dyn Iterator<Item = u32>| {
            f64::from(list.take(missing_instances as usize).sum::<u32>()) * seconds
        };
        self.stranded_accelerator_s += sum(&mut idle.iter().map(|it| it.listed.accelerators));
        self.waiting_accelerator_s += sum(&mut waiting.map(|it| it.listed.accelerators));
    }
}

fn serves(spec: &ReplicaSpec, engines: &[EngineModel]) -> bool {
    spec.members.iter().all(|member| {
        let place = engines.binary_search_by(|it| it.listed.id.cmp(&member.instance));
        place.is_ok_and(|it| {
            let expected = MemberReport {
                replica: Some(spec.id),
                epoch: spec.epoch,
                incarnation: member.incarnation,
                ready: true,
                leaving: false,
            };
            engines[it].is_responsive() && engines[it].orders.report == expected
        })
    })
}
