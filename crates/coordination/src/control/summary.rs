//! Summary of replica control for operators: the phase of each replica, its
//! duration, its cause and the action being taken, and the totals of group
//! downtime and stranded accelerators by model and cause.
//!
//! The summary is computed from the records, so every node can report it for
//! the whole installation. Durations count on this node's clock from when it
//! first observed the phase.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use citrongw_protocol::{
    instance_list::ListedInstance,
    record::{DomainRecord, DrainCause},
};
use citrongw_state::{
    id::{DeploymentId, FabricDomainId, InstanceId, ModelId, ReplicaId},
    lifecycle::Phase,
    replica::{NotRoutable, ReplicaSpec},
    time::Time,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::plan::Records;
use crate::instance_watch::InstancesCell;

/// Why a replica is not serving.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "snake_case")]
pub enum DownCause {
    /// Its instances are being claimed.
    #[display("instances are being claimed")]
    Claiming,
    /// Its weight load waits for capacity of the weight store.
    #[display("weights wait for the store's rate")]
    WaitsForLoad,
    /// Its members are loading weights.
    #[display("members load weights")]
    Loads,
    /// A member does not report.
    #[display("a member does not answer")]
    MemberSilent,
    /// A member restarted.
    #[display("a member restarted")]
    MemberRestarted,
    /// A member serves something else.
    #[display("a member serves something else")]
    MemberElsewhere,
    /// A member is leaving.
    #[display("a member is leaving")]
    MemberLeaving,
    /// It drains because an operator requested it.
    #[display("drained by an operator")]
    Drained,
    /// It drains for a planned change.
    #[display("drained for a planned change")]
    Changes,
    /// It drains because its members are needed elsewhere, or because it
    /// exceeds the configured number.
    #[display("its members are needed elsewhere")]
    GivenUp,
}

impl DownCause {
    /// Action being taken to resolve the cause.
    pub fn doing(self) -> &'static str {
        match self {
            Self::Claiming => "claims instances domain by domain",
            Self::WaitsForLoad => "waits for its turn at the weight store",
            Self::Loads => "waits for the weights",
            Self::MemberSilent => "waits for the member, then puts a spare in its place",
            Self::MemberRestarted => "takes the member in anew",
            Self::MemberElsewhere => "orders the member again",
            Self::MemberLeaving => "puts a spare in the member's place",
            Self::Drained | Self::Changes | Self::GivenUp => {
                "finishes what is in flight, then frees the members"
            }
        }
    }
}

/// State of one replica.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplicaSummary {
    /// Id of the replica.
    pub replica: ReplicaId,
    /// Home domain.
    pub domain: FabricDomainId,
    /// Deployment that the replica belongs to.
    pub deployment: DeploymentId,
    /// Model that the replica serves.
    pub model: ModelId,
    /// Phase of the life cycle.
    pub phase: Phase,
    /// Time since this node first observed the phase and its cause.
    pub lasting: Duration,
    /// Why the replica is not serving. `None` if it is serving.
    pub cause: Option<DownCause>,
}

/// Seconds lost by one model for one cause.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct DowntimeTotals {
    /// Seconds that replicas were not serving.
    pub downtime_s: f64,
    /// Seconds of accelerators of replicas that were not serving.
    pub stranded_accelerator_s: f64,
}

/// View of replica control for operators.
#[derive(Debug, Default)]
pub struct ControlView {
    replicas: ArcSwap<Vec<ReplicaSummary>>,
    totals: Mutex<Totals>,
}

#[derive(Debug, Default)]
struct Totals {
    since: BTreeMap<ReplicaId, (Phase, Option<DownCause>, Time)>,
    lost: BTreeMap<(ModelId, DownCause), DowntimeTotals>,
    updated_at: Option<Time>,
}

impl ControlView {
    /// All replicas, by domain.
    pub fn replicas(&self) -> std::sync::Arc<Vec<ReplicaSummary>> {
        self.replicas.load_full()
    }

    /// Downtime since this node started, by model and cause.
    pub fn lost(&self) -> Vec<(ModelId, DownCause, DowntimeTotals)> {
        let totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        totals.lost.iter().map(|((model, cause), it)| (model.clone(), *cause, *it)).collect()
    }
}

/// Updates the view from the records and the latest instance list.
pub(super) fn refresh(view: &ControlView, records: &Records, instances: &InstancesCell, now: Time) {
    let listed = instances.load();
    let listed = listed.as_ref().map(|it| it.as_slice()).unwrap_or_default();
    update_summary(view, records, listed, now);
}

/// Updates the view and adds the time since the last update to the totals.
pub fn update_summary(view: &ControlView, records: &Records, listed: &[ListedInstance], now: Time) {
    let accelerators: BTreeMap<&InstanceId, u32> =
        listed.iter().map(|it| (&it.id, it.accelerators)).collect();
    let mut totals = view.totals.lock().unwrap_or_else(PoisonError::into_inner);
    let elapsed = totals.updated_at.map_or(Duration::ZERO, |it| now.since(it));
    totals.updated_at = Some(now);
    let mut replicas = Vec::new();
    for (domain, (record, _)) in records {
        for (spec, phase, cause) in states(record) {
            let lasting = totals.record_phase(spec.id, phase, cause, now);
            if let Some(cause) = cause {
                let members = spec.members.iter();
                let member_accelerators: u32 =
                    members.filter_map(|it| accelerators.get(&it.instance)).sum();
                totals.add_downtime(&spec.model, cause, elapsed, member_accelerators);
            }
            replicas.push(ReplicaSummary {
                replica: spec.id,
                domain: domain.clone(),
                deployment: spec.deployment.clone(),
                model: spec.model.clone(),
                phase,
                lasting,
                cause,
            });
        }
    }
    let ids: std::collections::BTreeSet<ReplicaId> = replicas.iter().map(|it| it.replica).collect();
    totals.since.retain(|id, _| ids.contains(id));
    view.replicas.store(std::sync::Arc::new(replicas));
}

fn states(record: &DomainRecord) -> Vec<(&ReplicaSpec, Phase, Option<DownCause>)> {
    let active = record.replicas.iter().map(|spec| {
        let load = record.loads.iter().find(|it| it.replica == spec.id);
        let down = record.down.iter().find(|it| it.replica == spec.id);
        match (load, down) {
            (Some(load), _) if !load.running => {
                (spec, Phase::Loading, Some(DownCause::WaitsForLoad))
            }
            (Some(_), _) => (spec, Phase::Loading, Some(DownCause::Loads)),
            (None, Some(down)) => (spec, Phase::Loading, Some(down_cause(down.cause))),
            (None, None) => (spec, Phase::Serving, None),
        }
    });
    let pending = record.pending.iter().map(|it| (it, Phase::Claiming, Some(DownCause::Claiming)));
    let draining = record.draining.iter().map(|it| {
        let cause = match it.cause {
            DrainCause::Operator => DownCause::Drained,
            DrainCause::Change => DownCause::Changes,
            DrainCause::Excess | DrainCause::TakenApart => DownCause::GivenUp,
        };
        (&it.spec, Phase::Draining, Some(cause))
    });
    active.chain(pending).chain(draining).collect()
}

fn down_cause(cause: NotRoutable) -> DownCause {
    match cause {
        NotRoutable::MemberSilent => DownCause::MemberSilent,
        NotRoutable::MemberRestarted => DownCause::MemberRestarted,
        NotRoutable::MemberElsewhere => DownCause::MemberElsewhere,
        NotRoutable::MemberLoading => DownCause::Loads,
        NotRoutable::MemberLeaving => DownCause::MemberLeaving,
    }
}

impl Totals {
    fn record_phase(
        &mut self,
        id: ReplicaId,
        phase: Phase,
        cause: Option<DownCause>,
        now: Time,
    ) -> Duration {
        let entry = self.since.entry(id).or_insert((phase, cause, now));
        if (entry.0, entry.1) != (phase, cause) {
            *entry = (phase, cause, now);
        }
        now.since(entry.2)
    }

    fn add_downtime(
        &mut self,
        model: &ModelId,
        cause: DownCause,
        elapsed: Duration,
        accelerators: u32,
    ) {
        let lost = self.lost.entry((model.clone(), cause)).or_default();
        lost.downtime_s += elapsed.as_secs_f64();
        // Accelerators that load weights or drain requests are in use.
        if !matches!(cause, DownCause::Loads | DownCause::Drained | DownCause::Changes) {
            lost.stranded_accelerator_s += elapsed.as_secs_f64() * f64::from(accelerators);
        }
    }
}

#[cfg(test)]
mod tests;
