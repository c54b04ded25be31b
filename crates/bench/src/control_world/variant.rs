//! Faulty systems, to show that the checker can fail. Each breaks one thing
//! around the shipped step functions, which stay as they are.

use citrongw_protocol::record::{DomainRecord, ForeignClaim};
use citrongw_state::{
    id::{FabricDomainId, ReplicaId},
    replica::Member,
};

/// What is broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Variant {
    /// Nothing.
    #[default]
    None,
    /// Records are written without comparing.
    BlindWrites,
    /// Claims in other domains are taken for granted.
    ClaimsUnchecked,
    /// An order refused for its epoch is sent again under the epoch seen.
    RaisesRefusedEpoch,
    /// Routers take a report of any age.
    StaleReports,
    /// Routers look at the start of the process alone, not at what it serves.
    ReplicaUnchecked,
}

/// The record with all claims of a replica granted.
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
