//! Reports that nodes exchange about replicas. One node polls the members and
//! the others receive its reports.

use citrongw_state::{
    id::{Epoch, ReplicaId},
    replica::MemberReport,
};
use serde::{Deserialize, Serialize};

use crate::engine::LoadReport;

/// Reports about a replica that the polling node received from its members.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportedReplica {
    /// Id of the replica.
    pub replica: ReplicaId,
    /// Epoch of the replica as known to the polling node.
    pub epoch: Epoch,
    /// Reports of the members in the order of the record. None for a member
    /// without a report.
    pub members: Vec<Option<ReportedMember>>,
    /// Load of the replica.
    pub load: ReportedLoad,
}

/// Report of a member with its age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedMember {
    /// Report as received.
    pub report: MemberReport,
    /// Milliseconds from the request for the report to the sending of this
    /// message.
    pub age_ms: u32,
}

/// Load report of a replica with its age.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Report as received.
    pub report: LoadReport,
    /// Milliseconds from the request for the report to the sending of this
    /// message.
    pub age_ms: u32,
}
