//! What a watching node tells of the replicas that it asks.
//!
//! An answer carries the age of each report. The asking node counts that age
//! back from the moment when it put its question, not from the answer's
//! arrival: so neither a slow network nor a paused node can make an old report
//! look fresh, and no two clocks are compared.

use std::{collections::HashMap, sync::Arc, time::Duration};

use citrongw_protocol::{
    engine::LoadReport,
    replica_report::{ReportedLoad, ReportedMember, ReportedReplica},
};
use citrongw_state::{id::ReplicaId, replica::ReceivedReport, time::Time};
use derive_more::{Display, Error};
use futures::future::BoxFuture;

use crate::{
    node_view::NodeInfo,
    replica_table::{ReceivedLoad, ReplicaEntry, ReplicaTable},
};

/// Failure to ask a peer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("peer did not answer")]
pub struct NoResponse;

/// Asks other nodes for the status of replicas.
pub trait QueryPeers: Send + Sync {
    /// Asks one node.
    fn query(
        &self,
        node: &NodeInfo,
        replicas: Vec<ReplicaId>,
    ) -> BoxFuture<'_, Result<Vec<ReportedReplica>, NoResponse>>;
}

/// Answers another node from what this one heard itself.
pub fn respond(table: &ReplicaTable, replicas: &[ReplicaId], now: Time) -> Vec<ReportedReplica> {
    let tell = |id: &ReplicaId| {
        let entry = table.entry(*id)?;
        let told = |heard: &Option<ReceivedReport>| {
            heard.map(|it| ReportedMember {
                report: it.report,
                age_ms: age_ms(it.requested_at, now),
            })
        };
        let load = entry.load();
        Some(ReportedReplica {
            replica: *id,
            epoch: entry.spec.epoch,
            members: entry.member_reports().iter().map(told).collect(),
            load: ReportedLoad { report: load.report, age_ms: age_ms(load.requested_at, now) },
        })
    };
    replicas.iter().filter_map(tell).collect()
}

/// Takes in an answer to a question put at `asked_at`. Gives the replicas that
/// it did not tell of.
pub fn apply_response(
    entries: &[Arc<ReplicaEntry>],
    answer: &[ReportedReplica],
    asked_at: Time,
) -> Vec<Arc<ReplicaEntry>> {
    let told: HashMap<ReplicaId, &ReportedReplica> =
        answer.iter().map(|it| (it.replica, it)).collect();
    let mut unheard = Vec::new();
    for entry in entries {
        let found = told.get(&entry.spec.id).filter(|it| {
            it.epoch == entry.spec.epoch && it.members.len() == entry.spec.members.len()
        });
        match found {
            Some(told) if told.members.iter().all(Option::is_some) => take(entry, told, asked_at),
            _ => unheard.push(Arc::clone(entry)),
        }
    }
    unheard
}

fn take(entry: &ReplicaEntry, told: &ReportedReplica, asked_at: Time) {
    let known = entry.member_reports();
    for (idx, member) in told.members.iter().enumerate() {
        let Some(member) = member else { continue };
        let heard =
            ReceivedReport { report: member.report, requested_at: asked_at - age(member.age_ms) };
        let newer =
            known.get(idx).copied().flatten().is_none_or(|it| it.requested_at < heard.requested_at);
        if newer {
            entry.set_report(idx, heard);
        }
    }
    let report: LoadReport = told.load.report;
    entry.set_load(ReceivedLoad { report, requested_at: asked_at - age(told.load.age_ms) });
}

fn age_ms(asked_at: Time, now: Time) -> u32 {
    u32::try_from(now.since(asked_at).as_millis()).unwrap_or(u32::MAX)
}

fn age(age_ms: u32) -> Duration {
    // What was cut off when the age was rounded down counts as age.
    Duration::from_millis(u64::from(age_ms) + 1)
}

#[cfg(test)]
mod tests;
