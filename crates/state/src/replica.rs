//! Specification of a replica, reports of its members, and the check whether it
//! is routable.
//!
//! A replica is routable only while every member has reported, within the
//! freshness bound, that it serves this replica in this epoch, with the process
//! incarnation that the record names.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    id::{
        AdapterId, AvailabilityZone, DeploymentId, Epoch, FabricDomainId, Incarnation, InstanceId,
        ModelId, ModelVersion, ReplicaId,
    },
    time::Time,
};

/// Member of a replica, as listed in the allocation record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Instance that the member runs on.
    pub instance: InstanceId,
    /// Incarnation of the engine process that was claimed.
    pub incarnation: Incarnation,
    /// IP address and port of the engine.
    pub engine_addr: std::net::SocketAddr,
}

/// Replica as described by the allocation records. The first member receives
/// the requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaSpec {
    /// Id of the replica.
    pub id: ReplicaId,
    /// Epoch of the record that formed the replica.
    pub epoch: Epoch,
    /// Deployment that the replica belongs to.
    pub deployment: DeploymentId,
    /// Model that the replica serves.
    pub model: ModelId,
    /// Version of the model.
    pub version: ModelVersion,
    /// Adapters loaded with the model.
    pub adapters: Vec<AdapterId>,
    /// Domain of its first member.
    pub domain: FabricDomainId,
    /// Zone of its first member.
    pub zone: AvailabilityZone,
    /// All members. The first one receives the requests.
    pub members: Vec<Member>,
}

/// Status that a member's engine reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Replica that the member serves, if any.
    pub replica: Option<ReplicaId>,
    /// Epoch of the last order that the member executed.
    pub epoch: Epoch,
    /// Incarnation of the engine process.
    pub incarnation: Incarnation,
    /// Whether the weights are loaded and the engine can respond.
    pub ready: bool,
    /// Whether the member is shutting down.
    pub leaving: bool,
}

/// Report of a member with the time at which it was requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceivedReport {
    /// Report as received.
    pub report: MemberReport,
    /// Time at which the request was sent, not at which the response arrived.
    pub requested_at: Time,
}

/// Reason for which a replica is not routable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRoutable {
    /// A member has not reported within the freshness bound.
    MemberSilent,
    /// A member's process has another incarnation than the record names.
    MemberRestarted,
    /// A member serves another replica or another epoch.
    MemberElsewhere,
    /// A member is not ready.
    MemberLoading,
    /// A member is shutting down.
    MemberLeaving,
}

/// Checks one member's report against the record.
pub fn check_member(
    spec: &ReplicaSpec,
    member: &Member,
    received: Option<&ReceivedReport>,
    now: Time,
    freshness: Duration,
) -> Result<(), NotRoutable> {
    let Some(received) = received else { return Err(NotRoutable::MemberSilent) };
    if freshness < now.since(received.requested_at) {
        return Err(NotRoutable::MemberSilent);
    }
    let report = &received.report;
    if report.incarnation != member.incarnation {
        return Err(NotRoutable::MemberRestarted);
    }
    if report.replica != Some(spec.id) || report.epoch != spec.epoch {
        return Err(NotRoutable::MemberElsewhere);
    }
    if report.leaving {
        return Err(NotRoutable::MemberLeaving);
    }
    if !report.ready {
        return Err(NotRoutable::MemberLoading);
    }
    Ok(())
}

/// Checks that the reports of all members confirm that they serve the replica.
/// `received` has one entry per member, in the record's order.
pub fn check_routable(
    spec: &ReplicaSpec,
    received: &[Option<ReceivedReport>],
    now: Time,
    freshness: Duration,
) -> Result<(), NotRoutable> {
    for (idx, member) in spec.members.iter().enumerate() {
        let received = received.get(idx).and_then(Option::as_ref);
        check_member(spec, member, received, now, freshness)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
