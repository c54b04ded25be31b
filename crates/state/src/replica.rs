//! What is known of a replica, and when it may be routed to.
//!
//! A replica is routable only while every member has reported, within the
//! freshness bound, that it serves this replica under this epoch, and is the
//! same start of the process that the record names.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    id::{
        AdapterId, AvailabilityZone, DeploymentId, Epoch, FabricDomainId, Incarnation, InstanceId,
        ModelId, ModelVersion, ReplicaId,
    },
    time::Time,
};

/// Member of a replica, as the allocation record names it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub instance: InstanceId,
    /// The start of the engine process that was claimed.
    pub incarnation: Incarnation,
    /// Address of its engine, IP and port.
    pub engine_addr: std::net::SocketAddr,
}

/// Replica as the allocation records tell it. The first member takes requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaSpec {
    /// The replica.
    pub id: ReplicaId,
    /// Epoch of the record that formed it.
    pub epoch: Epoch,
    /// What it serves for.
    pub deployment: DeploymentId,
    /// Model it holds.
    pub model: ModelId,
    /// Version of the model.
    pub version: ModelVersion,
    /// Adapters loaded.
    pub adapters: Vec<AdapterId>,
    /// Domain of its first member.
    pub domain: FabricDomainId,
    /// Zone of its first member.
    pub zone: AvailabilityZone,
    /// All members, the one that takes requests first.
    pub members: Vec<Member>,
}

/// What a member's engine said of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Replica that it serves, if any.
    pub replica: Option<ReplicaId>,
    /// Epoch of the last order that it carried out.
    pub epoch: Epoch,
    /// Its start.
    pub incarnation: Incarnation,
    /// Whether its weights are loaded and it can answer.
    pub ready: bool,
    /// Whether it said that it is leaving.
    pub leaving: bool,
}

/// Report of a member with the time it was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceivedReport {
    /// The report.
    pub report: MemberReport,
    /// When the question was sent, not when the answer came.
    pub requested_at: Time,
}

/// Why a replica may not be routed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRoutable {
    /// A member has not reported within the freshness bound.
    MemberSilent,
    /// A member's process is not the one that the record names.
    MemberRestarted,
    /// A member serves another replica or epoch.
    MemberElsewhere,
    /// A member is not ready.
    MemberLoading,
    /// A member is leaving.
    MemberLeaving,
}

/// Checks one member's report against the record.
pub fn check_member(
    spec: &ReplicaSpec,
    member: &Member,
    heard: Option<&ReceivedReport>,
    now: Time,
    freshness: Duration,
) -> Result<(), NotRoutable> {
    let Some(heard) = heard else { return Err(NotRoutable::MemberSilent) };
    if freshness < now.since(heard.requested_at) {
        return Err(NotRoutable::MemberSilent);
    }
    let report = &heard.report;
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

/// Checks that every member vouches for the replica. `heard` has one place a
/// member, in the record's order.
pub fn check_routable(
    spec: &ReplicaSpec,
    heard: &[Option<ReceivedReport>],
    now: Time,
    freshness: Duration,
) -> Result<(), NotRoutable> {
    for (idx, member) in spec.members.iter().enumerate() {
        let heard = heard.get(idx).and_then(Option::as_ref);
        check_member(spec, member, heard, now, freshness)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
