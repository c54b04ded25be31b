//! Changes of replica control that operators request, each made as one change
//! of a domain's record.
//!
//! A change stores its attempt id in the record. A write whose response was lost
//! is therefore looked up before the operator gets a response, and a repeated
//! request takes effect once.

use std::sync::Arc;

use bytes::Bytes;
use citrongw_protocol::{
    record::{
        DomainRecord, DrainCause, DrainingReplica, LeavingCause, LeavingMark, ReturnedMark,
        domain_key,
    },
    store::{Change, Expected, Store, StoreError, Write, WriteResult},
};
use citrongw_state::id::{AttemptId, FabricDomainId, Incarnation, InstanceId, ReplicaId, Revision};
use derive_more::{Display, Error};

use super::{call::decode_record, release::abandon_repair};

/// Maximum number of attempt ids kept in a record.
const MAX_STORED_ATTEMPTS: usize = 32;
/// Number of conflicts after which a change is abandoned.
const MAX_CONFLICTS: u32 = 8;

/// Change that an operator requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorChange {
    /// Drain the replica: it takes no new work and is then released.
    Drain(ReplicaId),
    /// Stop giving new work to this incarnation of the instance.
    Leave(InstanceId, Incarnation),
    /// Allow new work on this incarnation of the instance again.
    Return(InstanceId, Incarnation),
}

/// Outcome of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The record contains the change as of this revision.
    Committed(Revision),
    /// The record already had the requested state.
    AlreadySo,
}

/// Failure of a change.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum OperatorChangeError {
    /// No record names the replica or the domain.
    #[display("domain or replica is not known")]
    Unknown,
    /// The service did not respond; the change may have taken effect. Repeating
    /// the request with the same attempt id is safe.
    #[display("key-value service did not answer; the change may have taken effect")]
    NoAnswer,
    /// The service was not reached; nothing changed.
    #[display("key-value service was not reached; nothing changed")]
    NotReached,
    /// Each attempt conflicted with another write.
    #[display("record is changing too often; nothing changed")]
    Conflicts,
}

/// Applies a change to the record of `domain`.
pub async fn request_change(
    store: &dyn Store,
    domain: &FabricDomainId,
    change: &OperatorChange,
    attempt: AttemptId,
) -> Result<ChangeOutcome, OperatorChangeError> {
    let mut may_have_written = false;
    for _ in 0..MAX_CONFLICTS {
        let failed = |error: StoreError| match error {
            StoreError::NotReached if !may_have_written => OperatorChangeError::NotReached,
            _ => OperatorChangeError::NoAnswer,
        };
        let snapshot = store.get(domain_key(domain)).await.map_err(failed)?;
        let found = snapshot.into_entry().as_ref().and_then(decode_record);
        let (record, revision) = found.ok_or(OperatorChangeError::Unknown)?;
        if record.asked.contains(&attempt) {
            return Ok(ChangeOutcome::Committed(revision));
        }
        let Some(next) = apply(&record, change, attempt)? else {
            return Ok(ChangeOutcome::AlreadySo);
        };
        match write(store, domain, &next, revision).await {
            Ok(WriteResult::Committed(revision)) => return Ok(ChangeOutcome::Committed(revision)),
            Ok(WriteResult::Conflict(_)) => {}
            Err(StoreError::NotReached) if !may_have_written => {
                return Err(OperatorChangeError::NotReached);
            }
            Err(_) => may_have_written = true,
        }
    }
    Err(if may_have_written {
        OperatorChangeError::NoAnswer
    } else {
        OperatorChangeError::Conflicts
    })
}

async fn write(
    store: &dyn Store,
    domain: &FabricDomainId,
    record: &DomainRecord,
    revision: Revision,
) -> Result<WriteResult, StoreError> {
    let refused = |error: serde_json::Error| StoreError::Refused { reason: error.to_string() };
    let value = serde_json::to_vec(record).map_err(refused)?;
    let write = Write {
        key: domain_key(domain),
        expected: Expected::Revision(revision),
        change: Change::Put(Bytes::from(value)),
        lease: None,
    };
    store.compare_and_swap(write).await
}

/// Returns the record with the change, or `None` if it has the requested state
/// already.
fn apply(
    record: &Arc<DomainRecord>,
    change: &OperatorChange,
    attempt: AttemptId,
) -> Result<Option<DomainRecord>, OperatorChangeError> {
    let mut next = DomainRecord::clone(record);
    match change {
        OperatorChange::Drain(replica) => {
            if next.draining.iter().any(|it| it.spec.id == *replica) {
                return Ok(None);
            }
            let idx = next.replicas.iter().position(|it| it.id == *replica);
            let spec = next.replicas.remove(idx.ok_or(OperatorChangeError::Unknown)?);
            abandon_repair(&mut next, *replica);
            next.loads.retain(|it| it.replica != *replica);
            next.down.retain(|it| it.replica != *replica);
            next.draining.push(DrainingReplica { spec, cause: DrainCause::Operator });
        }
        OperatorChange::Leave(instance, incarnation) => {
            if next.is_leaving(instance, *incarnation) && !next.is_returned(instance, *incarnation)
            {
                return Ok(None);
            }
            next.returned.retain(|it| it.instance != *instance || it.incarnation != *incarnation);
            next.leaving.retain(|it| it.instance != *instance);
            next.leaving.push(LeavingMark {
                instance: instance.clone(),
                incarnation: *incarnation,
                cause: LeavingCause::Operator,
            });
        }
        OperatorChange::Return(instance, incarnation) => {
            if next.is_returned(instance, *incarnation) {
                return Ok(None);
            }
            next.leaving.retain(|it| it.instance != *instance || it.incarnation != *incarnation);
            next.returned.retain(|it| it.instance != *instance);
            next.returned
                .push(ReturnedMark { instance: instance.clone(), incarnation: *incarnation });
        }
    }
    next.asked.push(attempt);
    if MAX_STORED_ATTEMPTS < next.asked.len() {
        next.asked.remove(0);
    }
    Ok(Some(next))
}

#[cfg(test)]
mod tests;
