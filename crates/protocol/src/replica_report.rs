//! What nodes tell each other of the replicas whose members they ask.

use citrongw_state::{
    id::{Epoch, ReplicaId},
    replica::MemberReport,
};
use serde::{Deserialize, Serialize};

use crate::engine::LoadReport;

/// What a watching node heard of one replica.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportedReplica {
    /// The replica.
    pub replica: ReplicaId,
    /// Epoch under which the watching node knows it.
    pub epoch: Epoch,
    /// What the members said, in the record's order.
    pub members: Vec<Option<ReportedMember>>,
    /// Its load.
    pub load: ReportedLoad,
}

/// Report of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedMember {
    /// The report.
    pub report: MemberReport,
    /// Time since it was asked for, when it was told.
    pub age_ms: u32,
}

/// Load of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// The report.
    pub report: LoadReport,
    /// Time since it was asked for, when it was told.
    pub age_ms: u32,
}
