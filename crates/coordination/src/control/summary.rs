//! What operators see of replica control: each replica with its phase, since
//! when, why, and what is being done, and the sums of group downtime and
//! stranded accelerators by model and cause.
//!
//! It is worked out from the records, so every node can tell it of the whole
//! installation. Times are those of this node's clock: since it first saw it.

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
    /// Its weights wait for the store's rate.
    #[display("weights wait for the store's rate")]
    WaitsForLoad,
    /// Its members load weights.
    #[display("members load weights")]
    Loads,
    /// A member does not answer.
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
    /// It drains: an operator asked for it.
    #[display("drained by an operator")]
    Drained,
    /// It drains for a planned change.
    #[display("drained for a planned change")]
    Changes,
    /// It drains: others need its members, or it is not wanted.
    #[display("its members are needed elsewhere")]
    GivenUp,
}

impl DownCause {
    /// What is being done about it.
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

/// One replica.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplicaSummary {
    /// The replica.
    pub replica: ReplicaId,
    /// Its domain.
    pub domain: FabricDomainId,
    /// Its deployment.
    pub deployment: DeploymentId,
    /// Its model.
    pub model: ModelId,
    /// Its phase.
    pub phase: Phase,
    /// How long it has been in it, as this node saw.
    pub lasting: Duration,
    /// Why it is not serving, if it is not.
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

/// What operators see.
#[derive(Debug, Default)]
pub struct ControlView {
    replicas: ArcSwap<Vec<ReplicaSummary>>,
    ledger: Mutex<Ledger>,
}

#[derive(Debug, Default)]
struct Ledger {
    since: BTreeMap<ReplicaId, (Phase, Option<DownCause>, Time)>,
    lost: BTreeMap<(ModelId, DownCause), DowntimeTotals>,
    at: Option<Time>,
}

impl ControlView {
    /// All replicas, by domain.
    pub fn replicas(&self) -> std::sync::Arc<Vec<ReplicaSummary>> {
        self.replicas.load_full()
    }

    /// What was lost since this node started, by model and cause.
    pub fn lost(&self) -> Vec<(ModelId, DownCause, DowntimeTotals)> {
        let ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        ledger.lost.iter().map(|((model, cause), it)| (model.clone(), *cause, *it)).collect()
    }
}

/// Renews the view from the records.
pub(super) fn renew(view: &ControlView, records: &Records, instances: &InstancesCell, now: Time) {
    let listed = instances.load();
    let listed = listed.as_ref().map(|it| it.as_slice()).unwrap_or_default();
    update_summary(view, records, listed, now);
}

/// Takes in the records of a moment.
pub fn update_summary(view: &ControlView, records: &Records, listed: &[ListedInstance], now: Time) {
    let accelerators: BTreeMap<&InstanceId, u32> =
        listed.iter().map(|it| (&it.id, it.accelerators)).collect();
    let mut ledger = view.ledger.lock().unwrap_or_else(PoisonError::into_inner);
    let span = ledger.at.map_or(Duration::ZERO, |it| now.since(it));
    ledger.at = Some(now);
    let mut replicas = Vec::new();
    for (domain, (record, _)) in records {
        for (spec, phase, cause) in states(record) {
            let lasting = ledger.note(spec.id, phase, cause, now);
            if let Some(cause) = cause {
                let members = spec.members.iter();
                let all: u32 = members.filter_map(|it| accelerators.get(&it.instance)).sum();
                ledger.lose(&spec.model, cause, span, all);
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
    ledger.since.retain(|id, _| ids.contains(id));
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

impl Ledger {
    fn note(
        &mut self,
        id: ReplicaId,
        phase: Phase,
        cause: Option<DownCause>,
        now: Time,
    ) -> Duration {
        let known = self.since.entry(id).or_insert((phase, cause, now));
        if (known.0, known.1) != (phase, cause) {
            *known = (phase, cause, now);
        }
        now.since(known.2)
    }

    fn lose(&mut self, model: &ModelId, cause: DownCause, span: Duration, accelerators: u32) {
        let lost = self.lost.entry((model.clone(), cause)).or_default();
        lost.downtime_s += span.as_secs_f64();
        // Accelerators that load or drain are at work.
        if !matches!(cause, DownCause::Loads | DownCause::Drained | DownCause::Changes) {
            lost.stranded_accelerator_s += span.as_secs_f64() * f64::from(accelerators);
        }
    }
}

#[cfg(test)]
mod tests;
