//! Status queries to the watchers of replicas.
//!
//! A response carries the age of each report. The requester subtracts that age
//! from the time at which it sent the query, not from the arrival of the
//! response: neither a slow network nor a paused node can then make an old report
//! look fresh, and no clocks are compared between nodes.

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

/// The peer did not respond to a query.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("peer did not respond")]
pub struct NoResponse;

/// Queries other nodes for the status of replicas.
pub trait QueryPeers: Send + Sync {
    /// Queries one node.
    fn query(
        &self,
        node: &NodeInfo,
        replicas: Vec<ReplicaId>,
    ) -> BoxFuture<'_, Result<Vec<ReportedReplica>, NoResponse>>;
}

/// Builds the response to a query from the reports that this node received
/// itself.
pub fn respond(table: &ReplicaTable, replicas: &[ReplicaId], now: Time) -> Vec<ReportedReplica> {
    let report = |id: &ReplicaId| {
        let entry = table.entry(*id)?;
        let member = |received: &Option<ReceivedReport>| {
            received.map(|it| ReportedMember {
                report: it.report,
                age_ms: age_ms(it.requested_at, now),
            })
        };
        let load = entry.load();
        Some(ReportedReplica {
            replica: *id,
            epoch: entry.spec.epoch,
            members: entry.member_reports().iter().map(member).collect(),
            load: ReportedLoad { report: load.report, age_ms: age_ms(load.requested_at, now) },
        })
    };
    replicas.iter().filter_map(report).collect()
}

/// Stores the reports of a response to a query sent at `sent_at`. Returns the
/// replicas that it does not report in full.
pub fn apply_response(
    entries: &[Arc<ReplicaEntry>],
    response: &[ReportedReplica],
    sent_at: Time,
) -> Vec<Arc<ReplicaEntry>> {
    let reported: HashMap<ReplicaId, &ReportedReplica> =
        response.iter().map(|it| (it.replica, it)).collect();
    let mut missing = Vec::new();
    for entry in entries {
        let found = reported.get(&entry.spec.id).filter(|it| {
            it.epoch == entry.spec.epoch && it.members.len() == entry.spec.members.len()
        });
        match found {
            Some(item) if item.members.iter().all(Option::is_some) => store(entry, item, sent_at),
            _ => missing.push(Arc::clone(entry)),
        }
    }
    missing
}

fn store(entry: &ReplicaEntry, reported: &ReportedReplica, sent_at: Time) {
    let known = entry.member_reports();
    for (idx, member) in reported.members.iter().enumerate() {
        let Some(member) = member else { continue };
        let received =
            ReceivedReport { report: member.report, requested_at: sent_at - age(member.age_ms) };
        let newer = known
            .get(idx)
            .copied()
            .flatten()
            .is_none_or(|it| it.requested_at < received.requested_at);
        if newer {
            entry.set_report(idx, received);
        }
    }
    let report: LoadReport = reported.load.report;
    entry.set_load(ReceivedLoad { report, requested_at: sent_at - age(reported.load.age_ms) });
}

fn age_ms(requested_at: Time, now: Time) -> u32 {
    u32::try_from(now.since(requested_at).as_millis()).unwrap_or(u32::MAX)
}

fn age(age_ms: u32) -> Duration {
    // The age was rounded down to whole milliseconds; 1 ms compensates for that.
    Duration::from_millis(u64::from(age_ms) + 1)
}

#[cfg(test)]
mod tests;
