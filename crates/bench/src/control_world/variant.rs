//! Faulty variants of the system, which show that the checker detects
//! violations. Each breaks one thing around the unmodified production step
//! functions.

use citrongw_protocol::record::{DomainRecord, ForeignClaim};
use citrongw_state::{
    id::{FabricDomainId, ReplicaId},
    replica::Member,
};

/// Deliberate defect of the simulated system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Variant {
    /// No defect.
    #[default]
    None,
    /// Writes skip the revision check.
    BlindWrites,
    /// Claims in other domains are assumed to be granted.
    ClaimsUnchecked,
    /// An order rejected for its epoch is resent with the epoch that the engine
    /// reported.
    RaisesRefusedEpoch,
    /// Routers accept a report of any age.
    StaleReports,
    /// Routers check only the incarnation of a member, not the replica and
    /// epoch that it serves.
    ReplicaUnchecked,
}

/// Returns the record with all claims of a replica granted.
pub fn grant_all(
    record: &DomainRecord,
    replica: ReplicaId,
    home: &FabricDomainId,
    members: Vec<Member>,
) -> DomainRecord {
    let mut record = record.clone();
    let claims =
        members.into_iter().map(|member| ForeignClaim { member, replica, home: home.clone() });
    record.foreign.extend(claims);
    record
}
